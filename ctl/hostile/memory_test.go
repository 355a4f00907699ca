package hostile

import (
	"fmt"
	"sync"
	"testing"
)

const (
	// hostileConnections is the number of hostile clients, each with one connection at a
	// time.
	hostileConnections = 1000
	// ordinaryCallers is the number of callers that send ordinary requests beside them, one
	// after another.
	ordinaryCallers = 8
)

// smallestHost is the smallest host on which the program runs. The process may take half of
// its memory; the other half belongs to the upstream.
var smallestHost = size{memoryMB: 184, maxFiles: 4100, peakMB: 92}

// Guards against a process that takes more than half of the memory of its host, or more
// descriptors than it may, while 1,000 hostile clients of all kinds are connected beside
// ordinary callers, and against one that answers nothing afterwards.
func TestMemoryBesideHostileConnections(t *testing.T) {
	mix := kinds(t)["mix"]
	tests := map[string]func(h *host) []group{
		"callers": func(h *host) []group { return []group{{h.caller, mix.http, hostileConnections}} },
		"all-listeners": func(h *host) []group {
			return []group{
				{h.caller, mix.http, hostileConnections * 4 / 10}, {h.hop, mix.routers, hostileConnections * 3 / 10},
				{h.control, mix.http, hostileConnections / 10}, {h.ready, mix.http, hostileConnections / 10}, {h.metrics, mix.http, hostileConnections / 10},
			}
		},
	}
	for name, groups := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, smallestHost)
			stop := d.sendOrdinaryRequests()
			d.attack(groups(d.hosts[0]))
			stop()
			for i, h := range d.hosts {
				h.check(t, fmt.Sprintf("h%d", i))
			}
			for _, h := range d.hosts {
				d.awaitAnswers(h, recoveryTime)
			}
		})
	}
}

// sendOrdinaryRequests sends ordinary requests to the first host until the returned function
// is called. How many are served is not checked: the clients share the processors with the
// process.
func (d *deployment) sendOrdinaryRequests() (stop func()) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range ordinaryCallers {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_, _ = ordinaryRequest(d.hosts[0].caller, services[i%len(services)])
				}
			}
		})
	}
	return func() {
		close(done)
		callers.Wait()
	}
}
