package keyrange

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func member(i int) Member {
	return Member{Holder: Holder{Host: fmt.Sprintf("h%d", i), Instance: fmt.Sprintf("i-%d", i), Started: int64(i)}}
}

func members(n int) []Member {
	all := make([]Member, 0, n)
	for i := range n {
		all = append(all, member(i))
	}
	return all
}

// Guards against gaps and overlaps in a new map, which would leave keys without a
// holder or with two.
func TestNewMapCoversAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "members")
		perMember := rapid.IntRange(1, 20).Draw(t, "ranges per member")
		m := NewMap(members(n), perMember)
		next := 0
		for _, r := range m.Ranges {
			if int(r.From) != next || !r.Held() {
				t.Fatalf("range %+v: want a holder and first key %d", r, next)
			}
			next = int(r.To) + 1
		}
		if next != MaxKey+1 {
			t.Fatalf("the ranges end at %d", next-1)
		}
		key := rapid.Uint16().Draw(t, "key")
		if r := m.Find(key); key < r.From || key > r.To {
			t.Fatalf("key %d found in %+v", key, r)
		}
	})
}

// Guards against a generation that does not increase when a range changes its
// holder: an upstream would refuse the grant, or two upstreams would hold the
// range with the same generation.
func TestGenerationsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(5)
		m := NewMap(all, 3)
		highest := map[uint16]uint64{}
		holders := map[uint16]Holder{}
		check := func() {
			for _, r := range m.Ranges {
				if r.Held() && holders[r.From] != r.Holder {
					if r.Generation <= highest[r.From] {
						t.Fatalf("range from %d: holder changed with generation %d after %d", r.From, r.Generation, highest[r.From])
					}
					highest[r.From], holders[r.From] = r.Generation, r.Holder
				}
			}
		}
		check()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			i := rapid.IntRange(0, len(m.Ranges)-1).Draw(t, "range")
			host := rapid.IntRange(0, 4).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.PlanMove(i, all[host].Host)
			case 1:
				m.Release(i, "token", all)
			case 2:
				m.FreeRangesOf(all[host].Host)
			case 3:
				m.AssignFree(all)
			case 4:
				all[host].Started += 100
				m.ReassignIncarnation(all[host].Holder)
			}
			check()
		}
	})
}

// Guards against a map that changes when it is encoded and decoded.
func TestEncodeDecodeMap(t *testing.T) {
	m := NewMap(members(3), 4)
	m.Release(2, "left-over", nil)
	m.PlanMove(3, "h2")
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeMap(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, got); diff != "" {
		t.Errorf("decoded map (+) differs (-):\n%s", diff)
	}
}

// Guards against rows of other writers that are accepted as maps.
func TestDecodeMapRejectsInvalidRows(t *testing.T) {
	wire := func(ranges ...wireRange) []byte {
		data, err := cbor.Marshal(wireMap{Ranges: ranges})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	for name, data := range map[string][]byte{
		"not CBOR":       []byte(`{`),
		"gap at the end": wire(wireRange{To: 100}),
		"not sorted":     wire(wireRange{To: 100}, wireRange{To: 50}, wireRange{To: 65535}),
		"unknown holder": wire(wireRange{To: 65535, Holder: 1}),
		"unknown next":   wire(wireRange{To: 65535, Next: -1}),
		"other type":     []byte(`"none"`),
	} {
		if m, err := DecodeMap(data); err == nil {
			t.Errorf("%s: got %+v, want an error", name, m)
		}
	}
}

// Guards against a map that exceeds the store's row size, and against tokens that
// change when they are encoded and decoded.
func TestEncodedSize(t *testing.T) {
	m := NewMap(members(124), 6)
	for i := range m.Ranges {
		m.Ranges[i].Handover = "5c0e7a21d94b36f8"
	}
	m.Ranges[1].Handover, m.Ranges[2].Handover, m.Ranges[3].Handover = "", "5C0E", "not hexadecimal"
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d ranges of %d hosts encode to %d bytes", len(m.Ranges), 124, len(data))
	got, err := DecodeMap(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(m, got); diff != "" {
		t.Errorf("decoded map (+) differs (-):\n%s", diff)
	}
	large := NewMap(members(124), 60)
	if _, err := large.Encode(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("%d ranges: got %v, want ErrTooLarge", len(large.Ranges), err)
	}
}

// Guards against a planned move to a host that is gone: the range must become
// free and go to a live member.
func TestReleaseToRemovedHost(t *testing.T) {
	m := NewMap(members(3), 1)
	m.PlanMove(0, "h9")
	m.Release(0, "token", members(3))
	if m.Ranges[0].Held() {
		t.Fatalf("range has holder %+v", m.Ranges[0].Holder)
	}
	if !m.AssignFree(members(3)) || !m.Ranges[0].Held() {
		t.Fatal("the free range was not assigned")
	}
	if m.Ranges[0].Handover != "token" {
		t.Errorf("handover %q, want the token of the release", m.Ranges[0].Handover)
	}
}

// Guards against a leaving host that keeps ranges or moves all of them to one
// member.
func TestEvacuateSpreadsRanges(t *testing.T) {
	all := members(4)
	m := NewMap(all, 6)
	if !m.Evacuate("h0", all[1:]) {
		t.Fatal("no move was planned")
	}
	counts := m.CountByHost()
	want := map[string]int{"h1": 8, "h2": 8, "h3": 8}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Error(diff)
	}
	if m.Evacuate("h0", all[1:]) {
		t.Error("a second call changed the map again")
	}
}

// Guards against busy ranges of an evacuated host that go to a member without spare
// capacity, and against moves to a host that is no member any more.
func TestEvacuateByLoadUsesSpareCapacity(t *testing.T) {
	all := members(4)
	all[1].Load, all[1].Slots, all[2].Slots, all[3].Slots = 0.95, 10, 2, 10
	m := NewMap(all, 6)
	m.PlanMove(0, "gone")
	busy := func(i int) float64 { return float64(max(9-i, 0)) / 4 }
	if !m.EvacuateByLoad("h0", 10, loadsOf(m, busy), all[1:]) || m.EvacuateByLoad("h0", 10, loadsOf(m, busy), all[1:]) {
		t.Error("want moves by the first call only")
	}
	counts := m.CountByHost()
	if m.Ranges[0].Next != "h3" || m.Ranges[4].Next != "h3" || m.Ranges[8].Next == "h1" || counts["h0"] != 0 || counts["h1"]+counts["h2"]+counts["h3"] != 24 {
		t.Errorf("ranges by host %v, %+v", counts, m.Ranges[:9])
	}
}

// loadsOf returns loads with load(i) on the first key of range i.
func loadsOf(m *Map, load func(i int) float64) Loads {
	meter := LoadMeter{mean: map[uint16]float64{}, busy: map[uint16]time.Duration{}}
	for i := range m.Ranges {
		meter.mean[m.Ranges[i].From] = load(i)
	}
	return meter.Snapshot(0)
}

// The hot keys are adjacent and in one range. Guards against a range that a single
// host has to serve, and against parts that lose keys or change their holder.
func TestSplitDividesBusyRanges(t *testing.T) {
	all := members(3)
	m := NewMap(all, 4)
	meter := LoadMeter{mean: map[uint16]float64{}, busy: map[uint16]time.Duration{}}
	for key := uint16(900); key < 1000; key++ {
		meter.mean[key] = 0.09
	}
	meter.mean[950] = 4
	loads := meter.Snapshot(0)
	before := m.Clone()
	if !m.Split("h0", 10, loads, len(all)) {
		t.Fatal("no range was split")
	}
	for _, p := range m.Ranges {
		if load := loads.Sum(p.From, p.To); load > 6 {
			t.Errorf("range %d to %d has a load of %.1f", p.From, p.To, load)
		}
	}
	for key := range MaxKey + 1 {
		a, b := before.Find(uint16(key)), m.Find(uint16(key))
		if a.Holder != b.Holder || a.Generation != b.Generation {
			t.Fatalf("key %d: %+v became %+v", key, a, b)
		}
	}
	for range 100 {
		m.Split("h0", 10, loads, len(all))
	}
	if n := len(m.Ranges); n > 3*maxRangesPerMember {
		t.Errorf("%d ranges after repeated splits", n)
	}
}

// One key is hot. Guards against moving its range, which would only overload
// another host, instead of the host's other ranges.
func TestOffloadKeepsHotRange(t *testing.T) {
	all := members(3)
	m := NewMap(all, 4)
	loads := loadsOf(m, func(i int) float64 {
		if i == 0 {
			return 9
		}
		return 1
	})
	all[0].Load, all[1].Load, all[2].Load = 1.2, 0.3, 0.3
	moves := m.Offload("h0", 1.2, 10, loads, all)
	if len(moves) == 0 {
		t.Fatal("no move was planned")
	}
	for _, mv := range moves {
		if mv.Range == 0 {
			t.Errorf("the hot range moves to %s", mv.To)
		}
		if mv.To == "h0" {
			t.Error("a range moves to its own holder")
		}
	}
}

// All hosts are overloaded. Guards against moves that do not reduce the overload.
func TestOffloadPlansNoMovesWhenAllAreBusy(t *testing.T) {
	all := members(3)
	for i := range all {
		all[i].Load = 1.1
	}
	m := NewMap(all, 4)
	if moves := m.Offload("h0", 1.2, 10, loadsOf(m, func(int) float64 { return 1 }), all); moves != nil {
		t.Errorf("planned moves %+v, want none", moves)
	}
}

// Most upstreams can take only a part of what they took. Guards against moves that are
// measured by the slots of the giver: limited hosts then hand their keys to each other, and
// the others get too little.
func TestOffloadHeedsTheSlotsOfTheReceiver(t *testing.T) {
	all := members(3)
	m := NewMap(all, 16)
	loads := loadsOf(m, func(i int) float64 {
		if m.Ranges[i].Holder.Host == "h0" {
			return 0.25
		}
		return 0
	})
	all[0].Load, all[0].Slots = 2, 2
	all[1].Load, all[1].Slots = 0.6, 2
	all[2].Load, all[2].Slots = 0.45, 14
	moved := 0.0
	for _, mv := range m.Offload("h0", 2, 2, loads, all) {
		if mv.To != "h2" {
			t.Errorf("a range moves to %s, which has few slots", mv.To)
		}
		moved += loads.Sum(m.Ranges[mv.Range].From, m.Ranges[mv.Range].To)
	}
	if moved < 2 {
		t.Errorf("%.2f slots of load move away, want 2 of the 4 at least", moved)
	}
}

// An upstream joins. Guards against a new member that never receives keys, and
// against two hosts that move ranges back and forth.
func TestMovesToNewMembersOnly(t *testing.T) {
	all := members(3)
	m := NewMap(all, 8)
	if moves := m.MovesToNewMembers("h0", 0.5, Loads{}, all); moves != nil {
		t.Errorf("moves between members with equal numbers of ranges: %+v", moves)
	}
	newMember := member(7)
	moves := m.MovesToNewMembers("h0", 0.5, Loads{}, append(all, newMember))
	if len(moves) == 0 {
		t.Fatal("no move to the new member was planned")
	}
	for _, mv := range moves {
		if mv.To != "h7" {
			t.Errorf("move to %s", mv.To)
		}
	}
	newMember.Load = 0.5
	if moves := m.MovesToNewMembers("h0", 0.5, Loads{}, append(all, newMember)); moves != nil {
		t.Errorf("moves to a member with few ranges and high load: %+v", moves)
	}
}

// A cold upstream joins, or other hosts lose theirs. Guards against a cold upstream that
// gets keys with more load than it can serve.
func TestColdMembersGetFewKeys(t *testing.T) {
	all := members(3)
	m := NewMap(all, 8)
	meter := LoadMeter{mean: map[uint16]float64{}, busy: map[uint16]time.Duration{}}
	for _, r := range m.Ranges {
		meter.mean[r.From] = 0.5
	}
	loads := meter.Snapshot(0)
	cold := member(7)
	cold.Slots, cold.Cold = 2, true
	if moves := m.MovesToNewMembers("h0", 2, loads, append(all, cold)); len(moves) != 3 {
		t.Errorf("%d ranges of half a slot move to a cold member, want the 3 that it can serve", len(moves))
	}
	for _, plan := range []func(*Map) bool{
		func(m *Map) bool { return m.Evacuate("h0", append(all[1:], cold)) },
		func(m *Map) bool { m.FreeRangesOf("h0"); return m.AssignFree(append(all[1:], cold)) },
	} {
		next := m.Clone()
		if !plan(next) || next.CountByHost()["h7"] > 0 || next.HasIncoming(cold.Holder) {
			t.Errorf("a cold member got ranges although others are warm: %v", next.CountByHost())
		}
	}
}

// One range has several times the load that one upstream can serve. Guards against
// offloading in small steps, which would leave the keys overloaded for seconds.
func TestOffloadSpreadsHotRangeAtOnce(t *testing.T) {
	all := members(12)
	m := NewMap(all, 4)
	meter := LoadMeter{mean: map[uint16]float64{}, busy: map[uint16]time.Duration{}}
	hot := m.Ranges[0]
	for key := hot.From; key < hot.From+200; key++ {
		meter.mean[key] = 0.3
	}
	loads := meter.Snapshot(0)
	const slots = 18
	for i := range all {
		all[i].Load = 0.3
	}
	m.Split("h0", slots, loads, len(all))
	before := m.Demand("h0", loads) / slots
	for _, mv := range m.Offload("h0", before, slots, loads, all) {
		m.PlanMove(mv.Range, mv.To)
	}
	if after := m.Demand("h0", loads) / slots; after > 0.9 {
		t.Errorf("demand %.2f of the slots after offloading, %.2f before", after, before)
	}
	received := map[string]float64{}
	for _, r := range m.Ranges {
		received[r.Next] += loads.Sum(r.From, r.To) / slots
	}
	for host, load := range received {
		if host != "" && 0.3+load > 0.9 {
			t.Errorf("host %s receives a demand of %.2f of its slots", host, load)
		}
	}
}

// Guards against hosts with more ranges than fit into the response to a heartbeat,
// when most hosts are lost at once.
func TestMergeFreeBoundsRangesPerHost(t *testing.T) {
	all := members(35)
	m := NewMap(all, 24)
	for _, x := range all[8:] {
		m.FreeRangesOf(x.Host)
	}
	m.MergeFree()
	m.AssignFree(all[:8])
	next := 0
	for _, r := range m.Ranges {
		if int(r.From) != next || !r.Held() {
			t.Fatalf("range %+v: want a holder and first key %d", r, next)
		}
		next = int(r.To) + 1
	}
	for host, n := range m.CountByHost() {
		if n > MaxGrants {
			t.Errorf("host %s has %d ranges", host, n)
		}
	}
}

// Guards against heartbeat responses that wait for incoming keys while the upstream
// has to learn that it must release some.
func TestHasIncoming(t *testing.T) {
	a, b := member(0).Holder, member(1).Holder
	restarted := a
	restarted.Started += 5
	for _, c := range []struct {
		name   string
		ranges []Range
		want   bool
	}{
		{"nothing incoming", []Range{{Holder: a}, {Holder: b}}, false},
		{"from another host", []Range{{Holder: a}, {Holder: b, Next: a.Host}}, true},
		{"from an earlier incarnation", []Range{{Holder: Holder{Host: a.Host, Instance: "old", Started: 1}}}, true},
		{"with a range to release", []Range{{Holder: b, Next: a.Host}, {Holder: a, Next: b.Host}}, false},
	} {
		if got := (&Map{Ranges: c.ranges}).HasIncoming(a); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
