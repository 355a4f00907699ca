package main

import (
	"context"
	"time"

	"burdockglade.dev/platform/standin"
)

const (
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// maxOwnEnds is the number of ends by itself from which a machine counts for the rule.
	maxOwnEnds = 3
)

// fractionBound: the platform changes a bound in the settings of all machines to a fraction,
// and stops and starts the machines in turn.
func fractionBound(w *world) (broken bool, err error) {
	const service = "huvo11a"
	bound := "6.5"
	if !w.trouble {
		bound = "7"
	}
	var machines []*machine
	for _, name := range []string{"sidecar-a-1", "sidecar-a-2", "sidecar-a-3"} {
		m, err := w.addMachine(name, "a", service, nil)
		if err != nil {
			return false, err
		}
		if _, err := startServer(w.rec, w.led, m, "i-"+name, 60*time.Millisecond); err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	if err := standin.Publish(context.Background(), w.store, routes(1, service)); err != nil {
		return false, err
	}
	if err := awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newConsumers(w.rec)
	for _, m := range machines {
		c.start(m, 4, 100*time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	before, n := c.share(time.Now().Add(-2*time.Second), time.Now().Add(-500*time.Millisecond))
	w.rec.say("before the change, %.0f%% of %d requests are served", 100*before, n)

	w.rec.say("the settings change: GraceS is %s", bound)
	for _, m := range machines {
		m.values["Bounds.GraceS"] = bound
		if err := m.writeSettings(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	for _, m := range machines {
		m.stop(7 * time.Second)
		time.Sleep(restartDelay)
		if err := m.restartUntilItRuns(); err != nil {
			return false, err
		}
	}
	down := 0
	for _, m := range machines {
		m.mu.Lock()
		w.rec.say("%s: the process has ended by itself %d times", m.name, m.ends)
		if m.ends >= maxOwnEnds {
			down++
		}
		m.mu.Unlock()
	}
	from := time.Now()
	time.Sleep(4 * time.Second)
	// Consumers that get no 200 from the readiness check send nothing: one request each shows it.
	answered := 0
	for _, m := range machines {
		if s := c.send(newClient(), m, false); s.status != 0 {
			answered++
		}
	}
	served, n := c.share(from, time.Now())
	c.finish()
	w.rec.say("afterwards %.0f%% of %d requests are served; %d of %d machines answer", 100*served, n, answered, len(machines))
	return down >= 2, nil
}

// restartUntilItRuns starts the process as the platform does: again after a short delay if it
// ends, here four times.
func (m *machine) restartUntilItRuns() error {
	for range maxOwnEnds + 1 {
		if err := m.start(); err != nil {
			return err
		}
		select {
		case <-m.exited:
			time.Sleep(restartDelay)
		case <-time.After(2 * time.Second):
			return nil
		}
	}
	return nil
}
