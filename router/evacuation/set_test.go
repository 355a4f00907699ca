package evacuation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/boottime"
)

const second = boottime.Time(time.Second)

// Guards against requests that reach an evacuated zone, against keys that are refused
// before they can move or served there for longer than the limit, against an incomplete
// report that takes a zone back, and against reports that are sent for too short or for
// ever.
func TestWhatMayBeServedInAnEvacuatedZone(t *testing.T) {
	var s Set
	s.Confirm(0, 10)
	s.PutRow(second, "z1", 11)
	v := s.View()
	for _, c := range []struct {
		zone  string
		keyed bool
		at    boottime.Time
		want  bool
	}{
		{"z2", false, 9 * second, true},
		{"z1", false, second, false},
		{"z1", true, 3*second - 1, true},
		{"z1", true, 3 * second, false},
	} {
		if got := v.MayServe(c.at, c.zone, c.keyed, 2*time.Second); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
	s.PutRow(5*second, "z1", 12)
	s.Merge(5*second, Report{Zones: map[string]int64{}})
	if s.View().MayServe(5*second, "z1", true, 2*time.Second) {
		t.Error("writing the row again has extended the time")
	}
	s.DeleteRow(6*second, "z1", 13)
	if v := s.View(); !v.MayServe(6*second, "z1", false, 0) || v.Evacuated("z1") || !v.Reported(606*second-1) || v.Reported(606*second) {
		t.Error("z1 is not taken back, or not since 6 s: the set is not reported for 10 minutes after")
	}
	if !v.Reported(9000*second) || !s.View().Reported(7*second) || s.View().Reported(900*second) {
		t.Error("reports are not sent, or are sent for ever")
	}
}

// Hosts read one history with different delays, lose parts of it and exchange reports at
// random. Guards against a host that returns to an older state, and against hosts that do
// not agree in the end, such as one for which the row of a reported zone had vanished before
// it read the table.
func TestSetsConvergeAndNeverRegress(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHistory(random)
		hosts := make([]*Set, 3)
		position := make([]int64, 3)
		explained := map[string]int64{} // by host and zone, the earliest version with the state shown
		for i := range hosts {
			hosts[i] = &Set{}
		}
		check := func(i int) {
			for _, z := range historyZones {
				at := fmt.Sprint(i, z)
				explained[at] = max(explained[at], hosts[i].asOf)
				evacuated := hosts[i].View().Evacuated(z)
				for hosts[i].known && h.evacuated(explained[at], z) != evacuated {
					if explained[at]++; explained[at] > h.last() {
						t.Fatalf("seed %d: host %d returned to an older state of %s", seed, i, z)
					}
				}
			}
		}
		follow := func(i int, until int64) {
			if random.IntN(3) == 0 { // the history is lost: the rows are read as they are
				for _, z := range historyZones {
					if h.rows[until][z] > 0 {
						hosts[i].PutRow(0, z, h.rows[until][z])
					} else if hosts[i].rows[z] > 0 {
						hosts[i].DeleteRow(0, z, until)
					}
				}
			} else {
				for v := position[i] + 1; v <= until; v++ {
					if z := h.changed[v]; h.rows[v][z] > 0 {
						hosts[i].PutRow(0, z, v)
					} else {
						hosts[i].DeleteRow(0, z, v)
					}
				}
			}
			hosts[i].Confirm(0, until)
			position[i] = until
		}
		follow(0, 1)
		follow(1, 1)
		for range random.IntN(40) {
			i, j := random.IntN(3), random.IntN(3)
			if i < 2 && random.IntN(2) == 0 { // host 2 never reads the store
				follow(i, position[i]+random.Int64N(h.last()-position[i]+1))
			} else if hosts[j].known {
				merge(t, hosts[i], hosts[j])
			}
			check(i)
		}
		follow(0, h.last())
		merge(t, hosts[2], hosts[0])
		follow(1, h.last()) // without reports that would tell it of removals
		for i, host := range hosts {
			check(i)
			for _, z := range historyZones {
				if host.View().Evacuated(z) != h.evacuated(h.last(), z) {
					t.Fatalf("seed %d: host %d differs from the store for %s", seed, i, z)
				}
			}
		}
	}
}

func merge(t *testing.T, into, from *Set) {
	t.Helper()
	r, err := Decode(from.View().Report())
	if err != nil {
		t.Fatal(err)
	}
	into.Merge(0, r)
}

var historyZones = []string{"a", "b;=%"}

// history is a sequence of changes of rows: by version, the zone that changed and the rows
// afterwards.
type history struct {
	changed []string
	rows    []map[string]int64
}

func newHistory(random *rand.Rand) history {
	h := history{changed: []string{""}, rows: []map[string]int64{{}}}
	for v := int64(1); v < 40; v++ {
		z := historyZones[random.IntN(len(historyZones))]
		rows := maps.Clone(h.rows[v-1])
		if rows[z] == 0 {
			rows[z] = v
		} else {
			delete(rows, z)
		}
		h.changed, h.rows = append(h.changed, z), append(h.rows, rows)
	}
	return h
}

func (h history) last() int64 { return int64(len(h.rows)) - 1 }

func (h history) evacuated(version int64, z string) bool { return h.rows[version][z] > 0 }

// Guards against reports of other writers that are accepted with invalid entries.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{"", "0", "12;z1=3", "12;z1", "12;=3", "x", "1;a=0", "1;%zz=2", "1;a=1;", "0;" + strings.Repeat("!", 100) + "=1"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Decode(r.Encode())
		if err != nil || !maps.Equal(again.Zones, r.Zones) || again.AsOf != r.AsOf {
			t.Errorf("%q: %+v became %+v, %v", text, r, again, err)
		}
		for z, version := range r.Zones {
			if z == "" || version <= 0 {
				t.Errorf("%q: accepted %q=%d", text, z, version)
			}
		}
	})
}
