package keyrange

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/boottime"
)

func claim(host string, from, to uint16, generation uint64) Range {
	return Range{From: from, To: to, Generation: generation, Holder: Holder{Host: host, Instance: "i-" + host, Started: 1}}
}

// Guards against a recovered map in which a host loses what it claims, keys get lost, or
// generations come again that the store has forgotten.
func TestNewMapFromClaims(t *testing.T) {
	a := Claims{Generation: 40, Ranges: []Range{claim("a", 0, 99, 7), claim("a", 200, 299, 40)}}
	b := Claims{Generation: 38, Ranges: []Range{claim("b", 100, 199, 8)}}
	if CoverAllKeys([]Claims{a, b}) {
		t.Error("keys from 300 on are not claimed")
	}
	generation := NextEraGeneration(1, []Claims{a, b}, 30)
	if generation <= 40 {
		t.Errorf("generation %d of the new map is not above all earlier ones", generation)
	}
	m := NewMapFromClaims(generation, []Claims{b, a}, 40_000)
	want := []Range{claim("a", 0, 99, 7), claim("b", 100, 199, 8), claim("a", 200, 299, 40), {From: 300, To: 40_299}, {From: 40_300, To: MaxKey}}
	if diff := cmp.Diff(want, m.Ranges); diff != "" {
		t.Errorf("ranges (-want +got):\n%s", diff)
	}
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeMap(data); err != nil {
		t.Error(err)
	}
	m.AssignFree([]Member{{Holder: Holder{Host: "b"}}})
	if g := m.Ranges[3].Generation; g <= generation {
		t.Errorf("free keys are assigned with generation %d", g)
	}
	rest := Claims{Ranges: []Range{claim("c", 300, MaxKey, 9)}}
	if !CoverAllKeys([]Claims{rest, b, a}) {
		t.Error("all keys are claimed")
	}
}

// Guards against a key with two holders should two hosts claim it all the same.
func TestNewMapFromOverlappingClaims(t *testing.T) {
	m := NewMapFromClaims(100, []Claims{{Ranges: []Range{claim("a", 0, 50, 3)}}, {Ranges: []Range{claim("b", 40, MaxKey, 5)}}, {Ranges: []Range{claim("c", 45, 48, 4)}}}, MaxKey+1)
	next := 0
	for _, r := range m.Ranges {
		if int(r.From) != next {
			t.Fatalf("range from %d, want %d: %+v", r.From, next, m.Ranges)
		}
		next = int(r.To) + 1
	}
	if next != MaxKey+1 {
		t.Errorf("ranges end before key %d", next)
	}
}

// Guards against claims to keys that the host has released: a change of which it got no
// response may have given them to another host.
func TestReleasedRangesAreNotClaimed(t *testing.T) {
	own := Holder{Host: "a", Instance: "i-a", Started: 1}
	g := NewGrants(boottime.Now(), 0)
	g.Reset(own)
	m := &Map{Generation: 9, Ranges: []Range{claim("a", 0, 99, 7), claim("a", 100, 199, 8), claim("b", 200, MaxKey, 9)}}
	m.Ranges[0].Next = "b"
	g.RecordRelease(m, Handover{From: 100, To: 199, Token: "t"})
	got := g.ClaimsOf("a", m)
	if diff := cmp.Diff(Claims{Generation: 9, Ranges: []Range{claim("a", 0, 99, 7)}}, got); diff != "" {
		t.Errorf("claims (-want +got):\n%s", diff)
	}
}

// Guards against claims that change on their way through a row, and against odd rows.
func TestLeaseRow(t *testing.T) {
	want := LeaseRow{End: 5_000_000, Claims: &Claims{Generation: 9, Ranges: []Range{claim("a", 0, 99, 7)}}}
	data, err := want.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeLeaseRow("a", data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("row (-want +got):\n%s", diff)
	}
	for _, odd := range []string{"", "[]", `{"end_ms":1e99}`, `{"claims":{"holders":[{"instance":"i","ranges":[{"from":9,"to":3}]}]}}`, `{"claims":{"holders":[{"ranges":[{"from":3,"to":9}]}]}}`,
		`{"claims":{"holders":[{"instance":"i","ranges":[{"from":3,"to":70000}]}]}}`, `{"claims":{"holders":[{"instance":"i","ranges":[{"from":3,"to":9,"generation":5}]}]}}`} {
		if _, err := DecodeLeaseRow("a", []byte(odd)); err == nil {
			t.Errorf("%q was accepted", odd)
		}
	}
}

// Guards against generations that come again when the store is put back twice and no host
// remembers those of the era between.
func TestGenerationsRiseWithTheEra(t *testing.T) {
	before := NextEraGeneration(2, []Claims{{Generation: 144}}, 0) + 5000
	if next := NextEraGeneration(3, nil, 144); next <= before {
		t.Errorf("generation %d in the third era, %d was used in the second", next, before)
	}
}
