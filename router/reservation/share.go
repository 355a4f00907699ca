package reservation

import (
	"math"
	"time"
)

const (
	// demandTime is the time constant of the moving averages of demand and use. It is shorter
	// than the bursts that callers compete in, which take some seconds.
	demandTime = time.Second
	// maxAccounts bounds the accounts of a class. Hosts beyond it share the last one.
	maxAccounts = 256
	// idleTime is the time without a request after which an account may be reused.
	idleTime = 5 * time.Second
	// levelTime is how long a computed share is used for.
	levelTime = 20 * time.Millisecond
	// ranks bounds the priorities that are told apart; less urgent ones count as the last.
	ranks = 8
	// maxClasses bounds the classes of a ledger.
	maxClasses = 4 * ranks
	// maxLevelRounds bounds the rounds in which a fair level is approached.
	maxLevelRounds = 8
)

// rank returns the index of a priority.
func rank(priority int) int {
	return min(max(priority, 0), ranks-1)
}

// line returns the index of the time line of a class.
func (c Class) line() int {
	if c.Late {
		return ranks + rank(c.Priority)
	}
	return rank(c.Priority)
}

// average is a moving average of a rate, weighted by age.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(now time.Time, amount float64) {
	a.sum = a.rate(now)*demandTime.Seconds() + amount
	if now.After(a.at) {
		a.at = now
	}
}

// rate returns the average per second.
func (a *average) rate(now time.Time) float64 {
	if a.sum == 0 {
		return 0
	}
	age := max(now.Sub(a.at).Seconds(), 0)
	return a.sum * math.Exp(-age/demandTime.Seconds()) / demandTime.Seconds()
}

// usage is the capacity that served requests take, by rank, as a share of all.
type usage [ranks]average

func (u *usage) add(now time.Time, priority int, interval time.Duration) {
	u[rank(priority)].add(now, interval.Seconds())
}

// above returns the share that more urgent priorities take.
func (u *usage) above(now time.Time, priority int) float64 {
	total := 0.0
	for i := range rank(priority) {
		total += u[i].rate(now)
	}
	return total
}

// account is the demand of a host for reservations of one class.
type account struct {
	host   string
	demand average
	// next is when the next reservation should begin while the share of the host is bounded.
	next time.Time
}

// classAccounts are the accounts of one class.
type classAccounts struct {
	class Class
	// interval is the time that the gate takes for each request of the class, and length
	// what a reservation occupies of the time line.
	interval, length time.Duration
	demand           average
	accounts         []*account
	// level is the highest share of the reserved capacity that a host may have while others
	// ask for more than is left. It was computed at levelAt.
	level   float64
	levelAt time.Time
}

// classOf returns the accounts of a class.
func (l *Ledger) classOf(class Class) *classAccounts {
	for _, c := range l.classes {
		if c.class == class {
			return c
		}
	}
	if len(l.classes) >= maxClasses { // priorities come from the configuration and are few
		return l.classes[len(l.classes)-1]
	}
	c := &classAccounts{class: class}
	l.classes = append(l.classes, c)
	return c
}

// account returns the account of a host. A new one takes the place of one that is idle.
func (c *classAccounts) account(now time.Time, host string) *account {
	var idle *account
	for _, a := range c.accounts {
		if a.host == host {
			return a
		}
		if idle == nil && now.Sub(a.demand.at) > idleTime {
			idle = a
		}
	}
	if idle != nil {
		*idle = account{host: host}
		return idle
	}
	if len(c.accounts) >= maxAccounts {
		return c.accounts[len(c.accounts)-1]
	}
	a := &account{host: host}
	c.accounts = append(c.accounts, a)
	return a
}

// hostShare returns the share of the reserved capacity that the host may have, above 0 and
// at most 1.
func (l *Ledger) hostShare(now time.Time, c *classAccounts) float64 {
	if now.Sub(c.levelAt) < levelTime {
		return c.level
	}
	classShare := fairLevel(1, func(yield func(float64)) {
		for _, o := range l.classes {
			if o.class.sharesLine(c.class) {
				yield(o.demand.rate(now))
			}
		}
	})
	c.level = min(fairLevel(classShare, func(yield func(float64)) {
		for _, a := range c.accounts {
			yield(a.demand.rate(now))
		}
	}), 1)
	c.levelAt = now
	return c.level
}

// fairLevel returns the level of the max-min fair division of the capacity between the
// demands: demands below it are met, all others get the level. It is 1 if all demands are
// met.
func fairLevel(capacity float64, demands func(yield func(float64))) float64 {
	level := 0.0
	for range maxLevelRounds {
		below, others := 0.0, 0
		demands(func(d float64) {
			if d <= level {
				below += d
			} else {
				others++
			}
		})
		if others == 0 {
			return 1
		}
		next := max((capacity-below)/float64(others), level)
		if next == level {
			break
		}
		level = next
	}
	return level
}
