package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/rowstore"
)

// leaseReads returns the number of readings of the leases that the host has made itself.
func (r *recordedStore) leaseReads() int {
	return len(slices.DeleteFunc(slices.Clone(r.reads()), func(call string) bool { return call != "list "+tableLease+"/keyed" }))
}

// Guards against primary readers that each read the leases from the store at the full rate,
// and against readings that stop when the host that makes them is lost.
func TestLeaseReadingsAreShared(t *testing.T) {
	t.Parallel()
	c := newZonedCluster(t, map[string]string{"h1": "z2", "h2": "z3"})
	var stores []*recordedStore
	for i := range 4 {
		store := &recordedStore{Store: c.store}
		stores = append(stores, store)
		c.addWithStore(fmt.Sprintf("h%d", i), "keyed", store)
	}
	c.waitReady()
	c.eventually("there is a key map", func() bool { m, _ := c.hosts[3].index.get("keyed"); return m != nil })
	count := func(d time.Duration) (reads []int, took time.Duration) {
		began := time.Now()
		for _, s := range stores {
			reads = append(reads, -s.leaseReads())
		}
		time.Sleep(d)
		for i, s := range stores {
			reads[i] += s.leaseReads()
		}
		return reads, time.Since(began)
	}
	reads, took := count(6 * time.Second)
	t.Logf("readings of the leases in %v: %v", took, reads)
	if most := int(took/minShareInterval) + 1; reads[0] > most || reads[0] < 2 {
		t.Errorf("the first host made %d readings in %v, want 2 to %d", reads[0], took, most)
	}
	if most := int(took / leaseReadInterval); reads[1]+reads[2] > most {
		t.Errorf("the other primary readers made %d and %d readings in %v, want less than %d together", reads[1], reads[2], took, most)
	}
	c.hosts[0].cancel()
	<-c.hosts[0].done
	reads, took = count(4 * time.Second)
	t.Logf("readings of the leases in %v after the stop of the first host: %v", took, reads)
	if reads[1] < 2 {
		t.Errorf("after the loss of the first host the second one made %d readings in %v", reads[1], took)
	}
}

// Guards against a reading that was made before it was asked for: an end of a lease would be
// found late, and the store's clock be taken for slower than it is.
func TestSharedReadingIsNotOlderThanQuestion(t *testing.T) {
	var l leaseShare
	l.publish(leaseReading{service: "s", sent: boottime.Now(), version: 1})
	woken := make(chan struct{}, 1)
	got := make(chan leaseReading, 1)
	go func() {
		r, err := l.await(t.Context(), "s", func() { woken <- struct{}{} })
		if err != nil {
			t.Error(err)
		}
		got <- r
	}()
	<-woken
	if !l.isWanted() {
		t.Error("the driver does not learn that a reading is wanted")
	}
	l.publish(leaseReading{service: "other", sent: boottime.Now(), version: 2})
	l.publish(leaseReading{service: "s", sent: boottime.Now(), version: 3})
	if r := <-got; r.version != 3 {
		t.Errorf("got the reading with version %d, want 3", r.version)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := l.await(ctx, "s", func() {}); !errors.Is(err, rowstore.ErrFeedClosed) {
		t.Errorf("without a reading: %v", err)
	}
}

// Guards against questions in a circle, questions of many backups to another zone, and a host
// that is asked although it did not respond.
func TestShareSource(t *testing.T) {
	zones := []string{"z2", "z1", "z1", "z1", "z1"}
	for _, c := range []struct {
		self     string
		interval time.Duration
		avoided  []string
		want     string
	}{
		{"h0", leaseReadInterval, nil, ""},
		{"h1", leaseReadInterval, nil, "h0"},
		{"h2", leaseReadInterval, nil, "h0"},
		{"h2", leaseReadInterval, []string{"h0"}, "h1"},
		{"h2", leaseReadInterval, []string{"h0", "h1"}, ""},
		{"h4", backupReadInterval, nil, "h1"},
		{"h4", backupReadInterval, []string{"h1"}, "h2"},
		{"h4", backupReadInterval, []string{"h1", "h2"}, ""}, // h3 is no primary reader
	} {
		d := &keyDriver{host: c.self, zone: "z1", fleet: fleet.NewDirectory("z1", "r1", newHopClient)}
		for i, zone := range zones {
			host := fmt.Sprintf("h%d", i)
			d.fleet.Put(fleet.Member{Host: host, Zone: zone, Region: "r1", Service: "s", Address: host + ":1", State: fleet.Ready})
		}
		for _, host := range c.avoided {
			d.share.begin()
			d.share.end(host, nil)
		}
		got := ""
		if source, _ := d.shareSource("s", c.interval); source != nil {
			got = source.Member().Host
		}
		if got != c.want {
			t.Errorf("%s, which avoids %v, asks %q at an interval of %v, want %q", c.self, c.avoided, got, c.interval, c.want)
		}
	}
}
