package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

const (
	// keyedMachines are the machines of the service that is divided by key at the start,
	// leftMachines those that are left after the scale-in.
	keyedMachines = 24
	leftMachines  = 1
	// leaveShare is the share of the servers that leave in one step.
	leaveShare = 0.2
	// acknowledgeTime bounds the wait for the confirmation that a server leaves.
	acknowledgeTime = 4 * time.Second
	// settleTime is the time from the last step to the measurement, and that of the latter.
	settleTime = 15 * time.Second
)

// scaleIn: the servers of a keyed service are emptied and taken away step by step, until one is
// left. Another service goes on as it is.
func scaleIn(w *world) (broken bool, err error) {
	const keyed, plain = "huvo11a", "wuno96b"
	ledger := &standin.Ledger{}
	type member struct {
		m *machine
		s *keyedServer
	}
	var members []member
	for i := range keyedMachines {
		m, err := w.addMachine(fmt.Sprintf("sidecar-a-%d", i+1), "a", keyed, nil)
		if err != nil {
			return false, err
		}
		s, err := startKeyedServer(w, ledger, m)
		if err != nil {
			return false, err
		}
		members = append(members, member{m, s})
	}
	var callers []*machine
	for i := range 2 {
		m, err := w.addMachine(fmt.Sprintf("sidecar-b-%d", i+1), "b", plain, nil)
		if err != nil {
			return false, err
		}
		if _, err := startServer(w.rec, w.led, m, "i-"+m.name, 20*time.Millisecond); err != nil {
			return false, err
		}
		callers = append(callers, m)
	}
	config := routes(1, plain)
	keyedRoute := config.Routes[0]
	keyedRoute.Name, keyedRoute.Prefix, keyedRoute.Clusters = "find", "/find/", []vhost.Cluster{{Service: keyed, Weight: 1}}
	config.Routes = append(config.Routes, keyedRoute)
	config.Services = append(config.Services, vhost.Service{Name: keyed, HealthPath: "/healthz", MaxConnections: 120, Keyed: true})
	if err := standin.Publish(context.Background(), w.store, config); err != nil {
		return false, err
	}
	all := append([]*machine{}, callers...)
	for _, x := range members {
		all = append(all, x.m)
	}
	if err := awaitReady(20*time.Second, all...); err != nil {
		return false, err
	}
	time.Sleep(10 * time.Second)
	// One request in six is for a key.
	begun := time.Now()
	find, look := newConsumers(w.rec), newConsumers(w.rec)
	find.keyed, find.path = true, "/find/1"
	look.next.Store(1 << 32)
	for _, m := range callers {
		find.start(m, 2, 100*time.Millisecond)
		look.start(m, 10, 100*time.Millisecond)
	}
	measure := func(from, to time.Time) (keyedShare, allShare float64) {
		k, n := find.share(from, to)
		o, l := look.share(from, to)
		allShare = (k*float64(n) + o*float64(l)) / float64(max(n+l, 1))
		w.rec.say("%.1f%% of %d requests for keys are served, %.1f%% of all %d requests", 100*k, n, 100*allShare, n+l)
		return k, allShare
	}
	time.Sleep(4 * time.Second)
	w.rec.say("with %d servers of the keyed service:", len(members))
	measure(time.Now().Add(-3*time.Second), time.Now().Add(-500*time.Millisecond))
	for w.trouble && len(members) > leftMachines {
		n := max(int(leaveShare*float64(len(members))), 1)
		leaving := members[:n]
		members = members[n:]
		w.rec.say("%d servers leave, %d stay", n, len(members))
		for _, x := range leaving {
			x.s.server.Drain()
		}
		deadline := time.Now().Add(acknowledgeTime)
		for _, x := range leaving {
			for x.s.server.Acknowledged().IsZero() {
				if time.Now().After(deadline) {
					return false, errors.New("a server got no confirmation that it leaves")
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(drainMs + 500*time.Millisecond)
		for _, x := range leaving {
			c := http.Client{Timeout: time.Second}
			if resp, err := c.Post("http://"+x.m.control+names.DeregisterPath+"i-"+x.m.name, "application/json", nil); err == nil {
				_ = resp.Body.Close()
			}
			x.s.end()
			go x.m.stop(grace)
		}
		time.Sleep(500 * time.Millisecond)
	}
	last := time.Now()
	time.Sleep(settleTime)
	w.rec.say("5 to 15 s after the last step, with %d servers of the keyed service:", len(members))
	measure(last.Add(5*time.Second), last.Add(settleTime-500*time.Millisecond))
	time.Sleep(settleTime)
	w.rec.say("15 to 30 s after the last step:")
	measure(last.Add(settleTime), last.Add(2*settleTime-500*time.Millisecond))
	w.rec.say("over the whole run:")
	// The rule is one of the gate and looks at the whole day.
	keyedShare, allShare := measure(begun, last.Add(2*settleTime-500*time.Millisecond))
	find.finish()
	look.finish()
	return keyedShare < allShare/4, nil
}
