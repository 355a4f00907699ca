package soak

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/rowstore"
)

// storePutBack is the kind of a fault in which the store comes back from an older copy.
const storePutBack = "store-put-back"

// putBack is one time at which the store comes back from an older copy.
type putBack struct {
	// age is the age of the copy, outage the time for which the store is away, and gap the
	// time until the operator has written again what is lost.
	age, outage, gap time.Duration
}

func drawPutBack(rng *rand.Rand) putBack {
	return putBack{
		age:    between(rng, time.Second, 6*time.Second),
		outage: between(rng, 300*time.Millisecond, 1500*time.Millisecond),
		gap:    between(rng, 0, time.Second),
	}
}

// run takes the copy, and puts the store back to it later. The operator changes nothing
// meanwhile.
func (p putBack) run(d *deployment, operator sync.Locker) {
	older := d.store.Copy()
	time.Sleep(p.age)
	operator.Lock()
	defer operator.Unlock()
	d.configs.duringFault(everyHost, storePutBack, func() {
		rows, _, err := d.store.List(d.t.Context(), "op", "")
		if err != nil {
			d.t.Error(err)
			return
		}
		d.store.SetFaults(standin.Faults{Down: true})
		time.Sleep(p.outage)
		restoredAt := time.Now()
		d.store.Restore(older)
		deletes := d.restoreEvacuations(restoredAt, rows)
		d.store.SetFaults(standin.Faults{})
		time.Sleep(p.gap)
		txn := rowstore.Txn{Era: d.store.Era(), Deletes: deletes}
		for _, r := range rows {
			txn.Writes = append(txn.Writes, rowstore.Write{Key: r.Key, Value: r.Value})
		}
		if _, err := d.store.Commit(d.t.Context(), txn); err != nil {
			d.t.Error(err)
		}
		d.rewriteEvacuations(rows)
	})
}

// startPutBacks puts the store back to older copies until the returned function is called.
// The draws are apart from those of the faults.
func (d *deployment) startPutBacks(seed uint64) func() {
	rng := rand.New(rand.NewPCG(seed, 3))
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			pause, p := between(rng, time.Second, 6*time.Second), drawPutBack(rng)
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			p.run(d, &d.operator)
		}
	})
	return func() {
		close(stop)
		wg.Wait()
	}
}

// Guards against configurations that never come into force, or go back, after the store
// came back from an older copy.
func TestConfigAfterStorePutBack(t *testing.T) {
	s := newConfigSoak(t, 2)
	stopProbers := s.startProbers(2)
	for range 3 {
		s.operator.publish()
		p := putBack{age: 4 * time.Second, outage: 500 * time.Millisecond, gap: 500 * time.Millisecond}
		var wg sync.WaitGroup
		wg.Go(func() { p.run(s.deployment, &s.operator.mu) })
		s.change(4)
		wg.Wait()
		time.Sleep(faultFreeTime)
		s.operator.publish()
		time.Sleep(configLimit + time.Second)
	}
	stopProbers()
	s.awaitWorkDone()
	s.judge()
}
