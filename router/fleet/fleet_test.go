package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/hop"
)

func directory(members ...Member) *Directory {
	d := NewDirectory("z1", "r1", func(address string) *hop.Client {
		return hop.NewClient(connpool.Options{Address: address})
	})
	for _, m := range members {
		d.Put(m)
	}
	return d
}

func upstream(host, zone, region string) Member {
	return Member{Host: host, Instance: "i-" + host, Service: "s", Zone: zone, Region: region, Address: host + ":1", Slots: 10, State: Ready}
}

func report(d *Directory, host string, load Load) {
	h := d.Host(host)
	h.RequestStarted()
	h.RequestDone(time.Now(), Result{Reached: true, Load: load, HasLoad: true})
}

func shares(d *Directory) map[string]int {
	got := map[string]int{}
	for range 200 {
		got[d.Choose(time.Now(), "s", nil).Member().Host]++
	}
	return got
}

// Guards against traffic between zones, which is paid for, while the own zone
// has room.
func TestChooseStaysInTheZone(t *testing.T) {
	d := directory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"))
	if got := shares(d); got["near"] != 200 {
		t.Errorf("choices %v, want all near", got)
	}
}

// Pattern: the own zone is full. Guards against requests that pile up there, and
// against ones that cross regions while the region has room.
func TestChooseLeavesAFullZone(t *testing.T) {
	d := directory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"))
	report(d, "near", Load{Busy: 10, Waiting: 4, Slots: 10})
	if got := shares(d); got["next"] != 200 {
		t.Errorf("choices %v, want all next", got)
	}
}

// Pattern: hosts are lost. Guards against requests that keep going to a host
// that cannot be reached.
func TestChoosePausesUnreachableHosts(t *testing.T) {
	d := directory(upstream("near", "z1", "r1"), upstream("far", "z3", "r2"))
	h := d.Host("near")
	h.RequestStarted()
	h.RequestDone(time.Now(), Result{Reached: false})
	if got := shares(d); got["far"] != 200 {
		t.Errorf("choices %v, want all far", got)
	}
}

// Pattern: an upstream fails part of its requests while its health checks pass.
func TestChooseAvoidsFailingUpstreams(t *testing.T) {
	d := directory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"))
	h := d.Host("near")
	for range 10 {
		h.RequestStarted()
		h.RequestDone(time.Now(), Result{Reached: true, Failed: true})
	}
	if got := shares(d); got["next"] != 200 {
		t.Errorf("choices %v, want all next", got)
	}
}

// Pattern: a host falls silent, with requests under way. Guards against requests
// that are sent there until their deadlines, and against a host that is never
// tried again.
func TestSilentHostIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := directory(upstream("near", "z1", "r1"), upstream("far", "z3", "r2"))
		h := d.Host("near")
		h.RequestStarted()
		h.RequestDone(time.Now(), Result{Reached: true, Latency: 50 * time.Millisecond, Objective: time.Second})
		h.RequestStarted()
		if got := shares(d); got["near"] != 200 {
			t.Errorf("choices %v before the silence", got)
		}
		time.Sleep(shortestSilence + time.Millisecond)
		if got := shares(d); got["far"] != 200 {
			t.Errorf("choices %v during the silence", got)
		}
		if !h.AllowRequest(time.Now()) || h.AllowRequest(time.Now()) {
			t.Error("want one request that tries the silent host")
		}
		time.Sleep(probeInterval)
		if !h.AllowRequest(time.Now()) {
			t.Error("the silent host is not tried again")
		}
		h.RequestDone(time.Now(), Result{Reached: true})
		if got := shares(d); got["near"] != 200 || !h.AllowRequest(time.Now()) {
			t.Errorf("choices %v after an answer", got)
		}
	})
}

// Guards against new work for upstreams that leave, and against an upstream that
// gets none after its host has changed its address or its run.
func TestChooseFollowsMembers(t *testing.T) {
	d := directory(upstream("a", "z1", "r1"), upstream("b", "z1", "r1"))
	leaving := upstream("a", "z1", "r1")
	leaving.State = Draining
	d.Put(leaving)
	if got := shares(d); got["b"] != 200 {
		t.Errorf("choices %v, want all b", got)
	}
	d.Remove("b")
	if h := d.Choose(time.Now(), "s", nil); h != nil {
		t.Errorf("chose %s", h.Member().Host)
	}
	moved := upstream("a", "z1", "r1")
	moved.Address = "elsewhere:1"
	d.Put(moved)
	if h := d.Choose(time.Now(), "s", nil); h == nil || h.Client.Address() != "elsewhere:1" {
		t.Error("the new address is not used")
	}
}

// Guards against rows of other writers that would become hosts without a usable
// address.
func TestDecodeMemberRefuses(t *testing.T) {
	for _, text := range []string{``, `{`, `[]`, `{"host":"h"}`, `{"host":1,"service":"s","instance":"i","address":"a"}`} {
		if m, err := DecodeMember([]byte(text)); err == nil {
			t.Errorf("%q: got %+v", text, m)
		}
	}
}

// Guards against hosts of one zone that choose different readers, which would
// all ask the store, and against a reader that is known not to answer.
func TestReaderIsTheSameForAllHostsOfAZone(t *testing.T) {
	members := []Member{
		{Host: "a", Zone: "z1", LinkMbps: 10}, {Host: "b", Zone: "z1", LinkMbps: 200},
		{Host: "c", Zone: "z1", LinkMbps: 200}, {Host: "d", Zone: "z2", LinkMbps: 1000},
	}
	now := time.Now()
	for _, self := range []string{"a", "b", "c"} {
		d := NewDirectory("z1", "r", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
		for _, m := range members {
			d.Put(m)
		}
		want := "b"
		if self == "b" {
			want = ""
		}
		if got := readerName(d, now, self); got != want {
			t.Errorf("host %s reads through %q, want %q", self, got, want)
		}
		d.Host("b").AvoidAsReader(now.Add(time.Second))
		want = map[string]string{"a": "c", "b": "", "c": ""}[self]
		if got := readerName(d, now, self); got != want {
			t.Errorf("host %s, b avoided: %q, want %q", self, got, want)
		}
		if got := d.ZoneCount(); got != 2 {
			t.Errorf("%d zones, want 2", got)
		}
	}
}

func readerName(d *Directory, now time.Time, self string) string {
	if h := d.ZoneReader(now, self); h != nil {
		return h.Member().Host
	}
	return ""
}

// Guards against requests to a host that is gone and whose address another host
// has: that host refuses them, and a probe of the address succeeds.
func TestReplacedHostGetsNoRequests(t *testing.T) {
	d := NewDirectory("z1", "r1", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
	d.PutRow(Member{Host: "old", Service: "s", Address: "10.0.0.1:1", State: Ready}, 5)
	d.PutRow(Member{Host: "other", Service: "s", Address: "10.0.0.2:1", State: Ready}, 6)
	if d.AddressReassigned("old") {
		t.Fatal("replaced by nobody")
	}
	d.PutRow(Member{Host: "new", Service: "t", Address: "10.0.0.1:1", State: Ready}, 9)
	if !d.AddressReassigned("old") || d.AddressReassigned("new") || d.AddressReassigned("other") {
		t.Error("want the earlier host of the address alone to be replaced")
	}
	if members := d.Members("s"); len(members) != 1 || members[0].Host != "other" {
		t.Errorf("members %+v, want the other host alone", members)
	}
	d.Remove("new")
	if d.AddressReassigned("old") {
		t.Error("still replaced after the other host's row was removed")
	}
}
