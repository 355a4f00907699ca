package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/connpool"
	"burdockglade.dev/router/hop"
)

// newDirectory returns the directory of a host in zone z1 and region r1.
func newDirectory(members ...Member) *Directory {
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

// reportLoad records a load that the host reported with a response.
func reportLoad(d *Directory, host string, load Load) {
	h := d.Host(host)
	h.RequestStarted()
	h.RequestDone(time.Now(), Result{Reached: true, Load: load, HasLoad: true})
}

// choices returns how often each host is chosen in 200 calls.
func choices(d *Directory) map[string]int {
	got := map[string]int{}
	for range 200 {
		got[d.Choose(time.Now(), "s", nil).Member().Host]++
	}
	return got
}

// Guards against traffic between zones, which is billed, while hosts of the own
// zone have free slots.
func TestChoosePrefersOwnZone(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"))
	if got := choices(d); got["near"] != 200 {
		t.Errorf("choices %v, want all near", got)
	}
}

// The own zone is overloaded. Guards against requests that queue there, and against
// requests that cross regions while hosts of the own region have free slots.
func TestChooseLeavesOverloadedZone(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"), upstream("far", "z3", "r2"))
	reportLoad(d, "near", Load{Busy: 10, Waiting: 4, Slots: 10})
	if got := choices(d); got["next"] != 200 {
		t.Errorf("choices %v, want all next", got)
	}
}

// Guards against requests that keep going to a host that is unreachable.
func TestChooseAvoidsUnreachableHosts(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("far", "z3", "r2"))
	h := d.Host("near")
	h.RequestStarted()
	h.RequestDone(time.Now(), Result{Reached: false})
	if got := choices(d); got["far"] != 200 {
		t.Errorf("choices %v, want all far", got)
	}
}

// Guards against requests to an upstream that fails requests while its health
// checks pass.
func TestChooseAvoidsFailingUpstreams(t *testing.T) {
	d := newDirectory(upstream("near", "z1", "r1"), upstream("next", "z2", "r1"))
	h := d.Host("near")
	for range 10 {
		h.RequestStarted()
		h.RequestDone(time.Now(), Result{Reached: true, Failed: true})
	}
	if got := choices(d); got["next"] != 200 {
		t.Errorf("choices %v, want all next", got)
	}
}

// A host stops responding while requests are in flight. Guards against requests
// that wait there until their deadlines, and against a host that is never probed
// again.
func TestSilentHostIsAvoidedAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(upstream("near", "z1", "r1"), upstream("far", "z3", "r2"))
		h := d.Host("near")
		h.RequestStarted()
		h.RequestDone(time.Now(), Result{Reached: true, Latency: 50 * time.Millisecond, Objective: time.Second})
		h.RequestStarted()
		if got := choices(d); got["near"] != 200 {
			t.Errorf("choices %v before the host is silent", got)
		}
		time.Sleep(minSilence + time.Millisecond)
		if got := choices(d); got["far"] != 200 {
			t.Errorf("choices %v while the host is silent", got)
		}
		if !h.AllowRequest(time.Now()) || h.AllowRequest(time.Now()) {
			t.Error("want exactly one probe of the silent host")
		}
		time.Sleep(probeInterval)
		if !h.AllowRequest(time.Now()) {
			t.Error("the silent host is not probed again")
		}
		h.RequestDone(time.Now(), Result{Reached: true})
		if got := choices(d); got["near"] != 200 || !h.AllowRequest(time.Now()) {
			t.Errorf("choices %v after a response", got)
		}
	})
}

// Guards against new requests to leaving upstreams, and against an upstream that
// gets none after its host's address or its incarnation has changed.
func TestChooseFollowsMemberUpdates(t *testing.T) {
	d := newDirectory(upstream("a", "z1", "r1"), upstream("b", "z1", "r1"))
	leaving := upstream("a", "z1", "r1")
	leaving.State = Draining
	d.Put(leaving)
	if got := choices(d); got["b"] != 200 {
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

// Guards against slots that stay unused while a router begins to stop and all other hosts
// are busy, and against requests to it that will be refused.
func TestStoppingHostIsChosenBehindOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(upstream("a", "z1", "r1"), upstream("b", "z1", "r1"))
		stopping := upstream("a", "z1", "r1")
		stopping.State = Stopping
		d.Put(stopping)
		if got := choices(d); got["b"] != 200 {
			t.Errorf("choices %v while b is idle, want all b", got)
		}
		busy := d.Host("b")
		for range 10 {
			busy.RequestStarted()
		}
		if got := choices(d); got["a"] != 200 {
			t.Errorf("choices %v while b is full, want all a", got)
		}
		d.Put(stopping) // the same news once more
		time.Sleep(stoppingUseTime)
		if got := choices(d); got["b"] != 200 {
			t.Errorf("choices %v after %v, want all b", got, stoppingUseTime)
		}
		d.Put(upstream("a", "z1", "r1"))
		if got := choices(d); got["a"] != 200 {
			t.Errorf("choices %v after the restart, want all a", got)
		}
		stopping.Leaving = true
		d.Put(stopping)
		if got := choices(d); got["b"] != 200 {
			t.Errorf("choices %v while the upstream of a leaves as well, want all b", got)
		}
	})
}

// Guards against rows of other writers that are accepted as hosts without a usable
// address.
func TestDecodeMemberRejectsInvalidRows(t *testing.T) {
	for _, text := range []string{``, `{`, `[]`, `{"host":"h"}`, `{"host":1,"service":"s","instance":"i","address":"a"}`} {
		if m, err := DecodeMember([]byte(text)); err == nil {
			t.Errorf("%q: got %+v", text, m)
		}
	}
}

// Guards against hosts of one zone that choose different readers, which would all
// read from the store, and against a reader that is known not to respond.
func TestZoneReaderIsSameForAllHostsOfZone(t *testing.T) {
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

// Guards against several hosts that read the store for the whole fleet, and against a second
// host that is tried in place of one that does not respond.
func TestFleetReaderIsSameForAllHosts(t *testing.T) {
	now := time.Now()
	for _, self := range []string{"a", "b", "c", "d"} {
		d := newDirectory()
		for _, m := range []Member{
			{Host: "a", Zone: "z1", LinkMbps: 10}, {Host: "b", Zone: "z2", LinkMbps: 200},
			{Host: "c", Zone: "z3", LinkMbps: 200}, {Host: "d", Zone: "z2", LinkMbps: 1000, State: Stopping},
		} {
			d.Put(m)
		}
		check := func(what, want string) {
			t.Helper()
			reader, isSelf := d.FleetReader(now, self)
			got := ""
			if reader != nil {
				got = reader.Member().Host
			}
			if isSelf != (self == "b") || self != "b" && got != want {
				t.Errorf("%s: host %s reads through %q (self %v), want %q", what, self, got, isSelf, want)
			}
		}
		check("all respond", "b")
		d.Host("b").FleetReaderFailed(now, time.Second)
		check("b has failed", "")
		now = now.Add(time.Second)
		check("after the backoff", "b")
		d.Host("b").FleetReaderFailed(now, time.Second)
		now = now.Add(time.Second)
		check("b has failed again", "")
		now = now.Add(time.Second)
		check("after twice the backoff", "b")
	}
}

func readerName(d *Directory, now time.Time, self string) string {
	if h := d.ZoneReader(now, self); h != nil {
		return h.Member().Host
	}
	return ""
}

// Guards against requests to a host that is gone and whose address belongs to
// another host: that host refuses them, while probes of the address succeed.
func TestHostWithReassignedAddressGetsNoRequests(t *testing.T) {
	d := NewDirectory("z1", "r1", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
	d.PutRow(Member{Host: "old", Service: "s", Address: "10.0.0.1:1", State: Ready}, 5)
	d.PutRow(Member{Host: "other", Service: "s", Address: "10.0.0.2:1", State: Ready}, 6)
	if d.AddressReassigned("old") {
		t.Fatal("address reassigned although no other host has it")
	}
	d.PutRow(Member{Host: "new", Service: "t", Address: "10.0.0.1:1", State: Ready}, 9)
	if !d.AddressReassigned("old") || d.AddressReassigned("new") || d.AddressReassigned("other") {
		t.Error("want only the address of its earlier host to be reassigned")
	}
	if members := d.Members("s"); len(members) != 1 || members[0].Host != "other" {
		t.Errorf("members %+v, want only the host other", members)
	}
	d.Remove("new")
	if d.AddressReassigned("old") {
		t.Error("still reassigned after the other host was removed")
	}
}

// Guards against a host that has stopped or does not respond and is taken for the one that
// checks the configuration for the others.
func TestRunningHosts(t *testing.T) {
	now := time.Now()
	d := NewDirectory("z1", "r", func(address string) *hop.Client { return hop.NewClient(connpool.Options{Address: address}) })
	d.Put(Member{Host: "a", Zone: "z2", Address: "10.0.0.1:1", State: Stopping})
	d.Put(Member{Host: "b", Zone: "z2", Address: "10.0.0.2:1", State: Ready})
	d.Put(Member{Host: "c", Zone: "z1", Address: "10.0.0.3:1", State: Ready})
	check := func(want ...string) {
		t.Helper()
		var names []string
		for _, m := range d.Running(now) {
			names = append(names, m.Host)
		}
		if slices.Sort(names); !slices.Equal(names, want) {
			t.Errorf("%v run, want %v", names, want)
		}
	}
	check("b", "c")
	d.Host("b").AvoidAsReader(now.Add(time.Second))
	check("c")
}

// Guards against a slow host whose requests are always overtaken by another one and which
// therefore never counts as slow.
func TestOvertakenHostIsAvoided(t *testing.T) {
	d := newDirectory(upstream("slow", "z1", "r1"), upstream("fast", "z1", "r1"))
	for range 30 {
		d.Host("slow").RequestStarted()
		d.Host("slow").RequestCancelled()
		d.Host("slow").Overtaken(time.Second, time.Second)
	}
	if got := choices(d); got["fast"] != 200 {
		t.Errorf("choices %v, want all fast", got)
	}
}

// Guards against a spare capacity that counts hosts which a request cannot use: those that
// are not allowed, leave or do not respond.
func TestSpareCountsUsableHosts(t *testing.T) {
	d := newDirectory(upstream("a", "z1", "r1"), upstream("b", "z2", "r1"), upstream("other", "z3", "r2"), upstream("leaves", "z1", "r1"), upstream("lost", "z1", "r1"))
	for _, host := range []string{"b", "other", "leaves"} {
		reportLoad(d, host, Load{Busy: 10, Slots: 10})
	}
	d.MarkLeaving(time.Now(), "leaves", d.Host("leaves").Member().Incarnation())
	d.Host("lost").RequestStarted()
	d.Host("lost").RequestDone(time.Now(), Result{})
	hosts, utilization := d.Spare(time.Now(), "s", func(m Member) bool { return m.Region == "r1" })
	if hosts != 2 || utilization != reportWeight/2 {
		t.Errorf("%d hosts with utilization %v, want a and b with %v", hosts, utilization, reportWeight/2)
	}
}

// Guards against spare capacity that counts a host whose router stops: its slots are lost
// within seconds, and second requests would compete with the work that it leaves to others.
func TestSpareLeavesOutStoppingHosts(t *testing.T) {
	d := newDirectory(upstream("a", "z1", "r1"), upstream("b", "z1", "r1"))
	reportLoad(d, "a", Load{Busy: 10, Slots: 10})
	stopping := upstream("b", "z1", "r1")
	stopping.State = Stopping
	d.Put(stopping)
	if hosts, utilization := d.Spare(time.Now(), "s", nil); hosts != 1 || utilization != reportWeight {
		t.Errorf("%d hosts with utilization %v, want a alone with %v", hosts, utilization, reportWeight)
	}
}

// Guards against an attempt that is called final although Choose would offer the request to
// another host afterwards, and against one that is not although no host is left.
func TestHasOtherAgreesWithChoose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(upstream("a", "z1", "r1"), upstream("b", "z1", "r1"))
		evacuated := ""
		d.SetEvacuated(func(zone string) bool { return zone == evacuated })
		first := d.Host("a")
		check := func(when string, want bool, exclude []*Host, allowed func(Member) bool) {
			t.Helper()
			now := time.Now()
			chosen := d.ChooseAllowed(now, "s", append([]*Host{first}, exclude...), allowed)
			if other := d.HasOther(now, "s", first, exclude, allowed); other != want || (chosen != nil) != want {
				t.Errorf("%s: another host %v, chosen %v, want %v", when, other, chosen != nil, want)
			}
		}
		b := upstream("b", "z1", "r1")
		check("b is ready", true, nil, nil)
		check("b was tried", false, []*Host{d.Host("b")}, nil)
		check("b is not allowed", false, nil, func(m Member) bool { return m.Host != "b" })
		evacuated = "z1"
		check("the zone is evacuated", false, nil, nil)
		evacuated = ""
		b.State = Stopping
		d.Put(b)
		check("b begins to stop", true, nil, nil)
		time.Sleep(stoppingUseTime)
		check("b stops for longer", false, nil, nil)
		b.State = Draining
		d.Put(b)
		check("b leaves", false, nil, nil)
	})
}
