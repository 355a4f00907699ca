package sidecar

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

const (
	// shareLead is how long before its own reading is due a primary reader asks another host.
	// The asked host reads at once if its last reading is at least minShareInterval ago, and
	// otherwise when it reads for itself. Both allow for checkInterval.
	shareLead        = 300 * time.Millisecond
	minShareInterval = leaseReadInterval - shareLead
	// backupShareLead is shareLead of the backups, whose readings are at any time between
	// those of the asked host.
	backupShareLead = leaseReadInterval
	// shareSlack is the time after which a host reads the leases itself although it waits for
	// another one.
	shareSlack = 300 * time.Millisecond
	// shareCollectDelay lets the questions of several hosts meet the same reading.
	shareCollectDelay = 30 * time.Millisecond
	// maxShareDelay is the longest response after which a shared reading still determines the
	// store's clock, and maxShareClockAge the time after which this host reads the leases itself
	// to determine it. The end of its own lease in its row is late by as much as the first, or
	// by 1/33 of the second, and so is the takeover of its keys after its loss.
	maxShareDelay    = 150 * time.Millisecond
	maxShareClockAge = 5 * time.Second
	// shareTimeout bounds a question; shareBackoff is the time for which a host that did not
	// respond is not asked.
	shareTimeout = leaseReadInterval + shareSlack
	shareBackoff = 10 * time.Second
)

// leaseReading is a reading of the leases of a service.
type leaseReading struct {
	service string
	// sent is the time at which the call was sent, or the question to the host that made it.
	sent    boottime.Time
	rows    []rowstore.Row
	version int64
	// noClock is true if the reading was made too long after sent to determine the store's
	// clock.
	noClock bool
}

// leaseShare holds the last reading of this host for others, and what other hosts have read
// for this one. It is safe for concurrent use.
type leaseShare struct {
	mu sync.Mutex
	// read is the last own reading. changed announces it.
	read    leaseReading
	changed broadcast
	// wanted is true if another host waits for a reading.
	wanted bool
	// pending is true while this host waits for the response of another one; received is
	// that response until it is applied.
	pending  bool
	received *leaseReading
	// avoidUntil is the time until which a host is not asked.
	avoidUntil map[string]time.Time
}

// publish hands an own reading to the hosts that wait for it.
func (l *leaseShare) publish(r leaseReading) {
	l.mu.Lock()
	l.read, l.wanted = r, false
	l.mu.Unlock()
	l.changed.notify()
}

// await returns the first reading of the service that this host sends after the call. So the
// reading is as new as if the asking host had sent it, and no clock but its own counts.
func (l *leaseShare) await(ctx context.Context, service string, wake func()) (leaseReading, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	began := boottime.Now()
	l.mu.Lock()
	l.wanted = true
	l.mu.Unlock()
	time.AfterFunc(shareCollectDelay, wake)
	for {
		changed := l.changed.next()
		l.mu.Lock()
		r := l.read
		l.mu.Unlock()
		if r.service == service && r.sent > began {
			return r, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return leaseReading{}, rowstore.ErrFeedClosed
		}
	}
}

func (l *leaseShare) isWanted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted
}

// take returns the reading of another host that has not been applied, or nil, and whether one
// is being waited for.
func (l *leaseShare) take() (r *leaseReading, pending bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, l.received = l.received, nil
	return r, l.pending
}

func (l *leaseShare) avoided(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.avoidUntil[host])
}

// begin records that a question is sent. It returns false if another one has no response.
func (l *leaseShare) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending {
		return false
	}
	l.pending = true
	return true
}

// end records the response of a host, nil if there was none.
func (l *leaseShare) end(host string, r *leaseReading) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending, l.received = false, r
	if r == nil {
		if l.avoidUntil == nil {
			l.avoidUntil = map[string]time.Time{}
		}
		l.avoidUntil[host] = time.Now().Add(shareBackoff)
	}
}

// leaseReadDue reports whether this host is to read the leases from the store now. It applies
// a reading that another host has made, and asks for the next one.
func (d *keyDriver) leaseReadDue(ctx context.Context, service string) bool {
	pending := d.applySharedReading(service)
	interval := d.currentReadInterval(service)
	since, untilEnd := boottime.Now().Sub(d.lastLeaseRead), d.leaseWatch.UntilNextEnd(suspectAfter, interval)
	if wait := untilEnd - since; wait > 0 && wait < checkInterval && untilEnd < interval {
		time.AfterFunc(wait, d.wake) // the next check of the driver may be later
	}
	switch {
	case since >= untilEnd && untilEnd < interval:
		return true // a lease ends now, unless it was renewed
	case since >= minShareInterval && d.share.isWanted():
		return true
	case d.lastLeaseRead == 0 || d.recovering(service) || interval == idleReadInterval:
		return since >= interval
	case d.storeClock.Age(boottime.Now()) > shareClockAge(interval):
		return since >= interval
	}
	if source, lead := d.shareSource(service, interval); source != nil && since >= interval-lead && since < interval && d.share.begin() {
		pending = true
		go d.askForLeases(ctx, service, source)
	}
	if pending {
		interval += shareSlack
	}
	return since >= interval
}

// applySharedReading applies the reading that another host has made for this one, if it is newer
// than the last one. It reports whether this host waits for a further reading.
func (d *keyDriver) applySharedReading(service string) (pending bool) {
	r, pending := d.share.take()
	if r == nil || r.service != service || d.lastLeaseRead == 0 || r.sent <= d.lastLeaseRead {
		return pending
	}
	d.lastLeaseRead = boottime.Now()
	d.countLeaseReading("host")
	d.applyLeases(*r)
	// The hosts that got the same reading ask for the next one together.
	time.AfterFunc(minShareInterval, d.wake)
	return pending
}

// shareClockAge returns the age of the store's clock from which on a host with the interval
// between its readings reads the leases itself. That of backups is the one that they also have
// while they suspect nothing.
func shareClockAge(interval time.Duration) time.Duration {
	if interval == leaseReadInterval {
		return maxShareClockAge
	}
	return idleReadInterval
}

// shareSource returns the host that this one asks for its reading of the leases, and how long
// before its own reading is due; nil if there is none. It is one of the primary readers whose
// names sort before that of this host. Backups ask only hosts of their zone, because there
// may be many of them and bytes between zones cost money.
func (d *keyDriver) shareSource(service string, interval time.Duration) (source *fleet.Host, lead time.Duration) {
	now := time.Now()
	lead = shareLead
	if interval != leaseReadInterval {
		lead = backupShareLead
	}
	for i, m := range d.fleet.Members(service) {
		if i >= primaryReaders || m.Host >= d.host {
			break
		}
		h := d.fleet.Host(m.Host)
		if h == nil || !h.Reachable(now) || d.share.avoided(m.Host, now) || (lead == backupShareLead && m.Zone != d.zone) {
			continue
		}
		return h, lead
	}
	return nil, 0
}

// askForLeases asks a host for a reading of the leases and wakes the driver.
func (d *keyDriver) askForLeases(ctx context.Context, service string, source *fleet.Host) {
	defer d.wake()
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	sent, host := boottime.Now(), source.Member().Host
	rows, version, err := readLeasesThrough(ctx, source.Client, service)
	if err != nil {
		d.share.end(host, nil)
		d.log.Log(eventLeaseShareFailed, event.F("host", host), event.F("service", service), event.F("error", err.Error()))
		return
	}
	d.share.end(host, &leaseReading{service: service, sent: sent, rows: rows, version: version, noClock: boottime.Now().Sub(sent) > maxShareDelay})
}

// awaitLeases returns the next reading of the leases for another host. It returns
// rowstore.ErrFeedClosed if this host makes none in time.
func (d *keyDriver) awaitLeases(ctx context.Context, service string) (leaseReading, error) {
	return d.share.await(ctx, service, d.wake)
}

// readLeasesThrough requests from another router the next reading of the leases that it sends.
func readLeasesThrough(ctx context.Context, client *hop.Client, service string) ([]rowstore.Row, int64, error) {
	result, err := (&remoteStore{client: client}).call(ctx, storeCall{Call: storeLeases, Part: service})
	return result.Rows, result.Version, err
}

func (d *keyDriver) countLeaseReading(source string) {
	if d.scope == nil {
		return
	}
	d.scope.Tagged(map[string]string{"source": source}).Counter("lease_readings").Inc(1)
}
