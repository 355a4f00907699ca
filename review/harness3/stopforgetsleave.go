package main

import (
	"context"
	"time"

	"burdockglade.dev/platform/standin"
)

const (
	drainMs   = 2000 * time.Millisecond
	contactMs = 3000 * time.Millisecond
	grace     = 6 * time.Second
	// clockSlack is left to the times that the stand-ins read.
	clockSlack = 200 * time.Millisecond
)

// stopForgetsLeave: a server leaves by its deregistration alone and goes on serving. Its router
// is stopped and started again meanwhile, and a heartbeat of the server from before its notice
// arrives late.
func stopForgetsLeave(w *world) (broken bool, err error) {
	const service = "huvo11a"
	var machines []*machine
	var servers []*server
	for _, name := range []string{"sidecar-a-1", "sidecar-a-2", "sidecar-a-3"} {
		m, err := w.addMachine(name, "a", service, nil)
		if err != nil {
			return false, err
		}
		s, err := startServer(w.rec, w.led, m, "i-"+name, 250*time.Millisecond)
		if err != nil {
			return false, err
		}
		machines, servers = append(machines, m), append(servers, s)
	}
	if err := standin.Publish(context.Background(), w.store, routes(1, service)); err != nil {
		return false, err
	}
	if err := awaitReady(10*time.Second, machines...); err != nil {
		return false, err
	}
	time.Sleep(contactMs + time.Second)
	c := newConsumers(w.rec)
	for _, m := range machines {
		c.start(m, 6, 100*time.Millisecond)
	}
	time.Sleep(2 * time.Second)

	leaver, m := servers[0], machines[0]
	late, sequence := leaver.heartbeat("ready")
	w.rec.printf("server %s sends heartbeat %d, which is held up on its way", leaver.id, sequence)
	leaver.stopBeats()
	time.Sleep(100 * time.Millisecond)
	if err := leaver.post(names.DeregisterPath, ""); err != nil {
		return false, err
	}
	acknowledged := time.Now()
	w.rec.say("server %s has said that it leaves, and got the confirmation", leaver.id)

	time.Sleep(300 * time.Millisecond)
	restarted := acknowledged
	if w.trouble {
		m.stop(grace)
		time.Sleep(300 * time.Millisecond)
		if err := m.start(); err != nil {
			return false, err
		}
		restarted = time.Now()
		if err := awaitReady(10*time.Second, m); err != nil {
			return false, err
		}
	} else {
		time.Sleep(3500 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	lateness := time.Since(acknowledged)
	err = leaver.post(names.HeartbeatPath, late)
	w.rec.say("heartbeat %d arrives, %.1f s late; confirmed: %v", sequence, lateness.Seconds(), err == nil)

	time.Sleep(time.Until(acknowledged.Add(11 * time.Second)))
	_ = leaver.web.Close()
	exited := time.Now()
	w.rec.say("server %s exits, %.1f s after the confirmation", leaver.id, exited.Sub(acknowledged).Seconds())
	time.Sleep(time.Second)
	c.finish()
	return w.judgeDrain(c, leaver, acknowledged, restarted, exited), nil
}

// judgeDrain counts the requests that reached the server later than DrainMs after the
// confirmation, through machines in touch.
func (w *world) judgeDrain(c *consumers, leaver *server, acknowledged, restarted, exited time.Time) bool {
	late, lost, out := 0, 0, 0
	w.led.mu.Lock()
	defer w.led.mu.Unlock()
	for _, a := range w.led.all {
		if a.server != leaver.id || a.at.Before(acknowledged.Add(drainMs+clockSlack)) {
			continue
		}
		s := c.all[a.id]
		if s == nil || s.at.Before(restarted.Add(contactMs+clockSlack)) {
			out++ // from a machine that was not in touch
			continue
		}
		late++
		if !a.ended {
			lost++
		}
		if late <= 3 {
			w.rec.say("request %s (sent to %s) reached server %s %.1f s after the confirmation; answer: %d %s", a.id, s.machine.name, leaver.id, a.at.Sub(acknowledged).Seconds(), s.status, s.err)
		}
	}
	w.rec.say("%d requests reached the server later than DrainMs after its confirmation through machines in touch, %d more through one that was not; %d of the former were cut when the server exited", late, out, lost)
	return late > 0
}
