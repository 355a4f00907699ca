package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"burdockglade.dev/platform/standin"
)

const (
	recovery        = 15 * time.Second
	zones           = 6
	machinesPerZone = 12
	// measured is the time over which the served requests are counted.
	measured = 30 * time.Second
	// consumerMachines is the number of machines with consumers.
	consumerMachines = 8
)

// keyedServer is a server that holds keys, the project's own stand-in.
type keyedServer struct {
	server *standin.Server
	web    *http.Server
	stop   context.CancelFunc
}

func startKeyedServer(w *world, ledger *standin.Ledger, m *machine) (*keyedServer, error) {
	l, err := net.Listen("tcp4", m.app)
	if err != nil {
		return nil, err
	}
	s := standin.NewServer(standin.ServerOptions{
		Instance: "i-" + m.name, Service: m.service, Slots: 14, Control: m.control,
		HeartbeatInterval: 870 * time.Millisecond, WorkTime: 20 * time.Millisecond, Keyed: true, Ledger: ledger,
	})
	k := &keyedServer{server: s, web: &http.Server{Handler: s}}
	go func() { _ = k.web.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	go s.Run(ctx)
	return k, nil
}

// end ends the server as a loss of power does.
func (k *keyedServer) end() {
	k.stop()
	_ = k.web.Close()
}

// manyLost: all machines lose power at once. Those of the last zone come back; the others are
// lost for good, and others come in their place at other addresses. With ALL=0 the machines of
// the last zone keep running.
func manyLost(w *world) (broken bool, err error) {
	const service = "huvo11a"
	perZone := machinesPerZone
	if n, err := strconv.Atoi(os.Getenv("PER_ZONE")); err == nil {
		perZone = n
	}
	lost, total := (zones-1)*perZone, zones*perZone
	ledger := &standin.Ledger{}
	var machines []*machine
	var servers []*keyedServer
	add := func(from, to int) error {
		for i := from; i < to; i++ {
			zone := fmt.Sprintf("zone-%d", i%total/perZone)
			m, err := w.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, i), zone, service, nil)
			if err != nil {
				return err
			}
			s, err := startKeyedServer(w, ledger, m)
			if err != nil {
				return err
			}
			machines, servers = append(machines, m), append(servers, s)
		}
		return nil
	}
	if err := add(0, total); err != nil {
		return false, err
	}
	config := routes(1, service)
	config.Services[0].Keyed = true
	if err := standin.Publish(context.Background(), w.store, config); err != nil {
		return false, err
	}
	if err := awaitReady(20*time.Second, machines...); err != nil {
		return false, err
	}
	c := newConsumers(w.rec)
	c.keyed = true
	survivors := machines[lost:total]
	for _, m := range survivors[:min(consumerMachines, perZone)] {
		c.start(m, 2, 100*time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	before, n := c.share(time.Now().Add(-5*time.Second), time.Now().Add(-time.Second))
	w.rec.say("before the loss, %.0f%% of %d requests are served", 100*before, n)
	if before < 0.9 {
		return false, fmt.Errorf("the service is not up")
	}
	back := time.Now()
	if w.trouble {
		w.rec.say("all machines lose power (with ALL=0 only those that are lost); %d of %d are lost for good", lost, total)
		for i := range lost {
			machines[i].signal(syscall.SIGKILL)
			servers[i].end()
		}
		all := os.Getenv("ALL") != "0"
		for i := lost; i < total && all; i++ {
			machines[i].signal(syscall.SIGKILL)
			servers[i].end()
		}
		time.Sleep(2 * time.Second)
		for i := lost; i < total && all; i++ {
			if err := machines[i].start(); err != nil {
				return false, err
			}
			if servers[i], err = startKeyedServer(w, ledger, machines[i]); err != nil {
				return false, err
			}
		}
		if err := add(total, total+lost); err != nil {
			return false, err
		}
		if err := awaitReady(20*time.Second, machines[total:]...); err != nil {
			return false, err
		}
		back = time.Now()
		w.rec.say("%d other machines have come in their place, at other addresses", lost)
	}
	for _, after := range []time.Duration{0, 5 * time.Second, 10 * time.Second, recovery, recovery + 5*time.Second, recovery + 10*time.Second, recovery + measured - 5*time.Second} {
		time.Sleep(time.Until(back.Add(after + 5*time.Second)))
		served, n := c.share(back.Add(after), back.Add(after+4*time.Second))
		w.rec.say("%.0f to %.0f s after the machines are back, %.0f%% of %d requests are served", after.Seconds(), (after + 4*time.Second).Seconds(), 100*served, n)
	}
	served, n := c.share(back.Add(recovery), back.Add(recovery+measured-time.Second))
	c.finish()
	w.rec.say("later than RecoveryS after the machines are back, %.1f%% of %d requests are served; the store has refused %d transactions with more than %d entries, the largest of %d", 100*served, n, w.store.refused.Load(), maxTxnEntries, w.store.largest.Load())
	return served < 0.25, nil
}
