package keyrange

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// When the store was put back to an older copy, the key map in it is older than the grants
// of the hosts. Hosts then claim the ranges that they hold, in the rows of their leases, and
// a new map is made from the claims. No two hosts claim the same key, because a claim needs
// a lease that was valid before.

// lostGenerations is above the number of generations that the store can have lost: those of
// some seconds. The generations of the new map are above all earlier ones by it.
const lostGenerations = 1_000_000

// maxLeaseEnd bounds the end of a lease on the store's clock.
const maxLeaseEnd = 100 * 365 * 24 * time.Hour

// Claims are the ranges of a host that it held before the store was put back.
type Claims struct {
	// Generation is the highest generation that the host knows.
	Generation uint64
	Ranges     []Range
}

// LeaseRow is the content of a lease's row.
type LeaseRow struct {
	// End is the time on the store's clock at which the lease has certainly ended, or 0
	// if it is not known.
	End time.Duration
	// Claims is not nil while the host waits for the key map of a new era.
	Claims *Claims
}

// leaseValue is the stored form of a LeaseRow.
type leaseValue struct {
	EndMs  int64        `json:"end_ms,omitempty"`
	Claims *claimsValue `json:"claims,omitempty"`
}

type claimsValue struct {
	Generation uint64        `json:"generation"`
	Holders    []holderValue `json:"holders,omitempty"`
}

// holderValue holds the claimed ranges of one incarnation of the host's upstream.
type holderValue struct {
	Instance string       `json:"instance"`
	Started  int64        `json:"started"`
	Ranges   []claimValue `json:"ranges"`
}

type claimValue struct {
	From       uint16 `json:"from"`
	To         uint16 `json:"to"`
	Generation uint64 `json:"generation"`
	Handover   string `json:"handover,omitempty"`
}

// Encode returns the value of the row.
func (l LeaseRow) Encode() ([]byte, error) {
	v := leaseValue{EndMs: l.End.Milliseconds()}
	if l.Claims != nil {
		v.Claims = l.Claims.value()
	}
	return json.Marshal(v)
}

// value returns the stored form, in which the claims of each holder stand together.
func (c *Claims) value() *claimsValue {
	v := &claimsValue{Generation: c.Generation}
	index := map[Holder]int{}
	for _, r := range c.Ranges {
		i, ok := index[r.Holder]
		if !ok {
			i = len(v.Holders)
			index[r.Holder] = i
			v.Holders = append(v.Holders, holderValue{Instance: r.Holder.Instance, Started: r.Holder.Started})
		}
		v.Holders[i].Ranges = append(v.Holders[i].Ranges, claimValue{From: r.From, To: r.To, Generation: r.Generation, Handover: r.Handover})
	}
	return v
}

// DecodeLeaseRow decodes the value of the row of a host.
func DecodeLeaseRow(host string, data []byte) (LeaseRow, error) {
	var v leaseValue
	if err := json.Unmarshal(data, &v); err != nil {
		return LeaseRow{}, fmt.Errorf("lease: %w", err)
	}
	if v.EndMs < 0 || v.EndMs > maxLeaseEnd.Milliseconds() {
		return LeaseRow{}, fmt.Errorf("lease: end at %d ms", v.EndMs)
	}
	l := LeaseRow{End: time.Duration(v.EndMs) * time.Millisecond}
	if v.Claims == nil {
		return l, nil
	}
	claims, err := v.Claims.decode(host)
	if err != nil {
		return LeaseRow{}, err
	}
	l.Claims = &claims
	return l, nil
}

// decode returns the claims of a host.
func (v *claimsValue) decode(host string) (Claims, error) {
	claims := Claims{Generation: v.Generation}
	for _, h := range v.Holders {
		holder := Holder{Host: host, Instance: h.Instance, Started: h.Started}
		for _, c := range h.Ranges {
			if c.From > c.To || h.Instance == "" || c.Generation > v.Generation || c.Generation > maxGeneration {
				return Claims{}, fmt.Errorf("lease: claim of keys %d to %d by instance %q with generation %d", c.From, c.To, h.Instance, c.Generation)
			}
			claims.Ranges = append(claims.Ranges, Range{From: c.From, To: c.To, Generation: c.Generation, Handover: c.Handover, Holder: holder})
		}
	}
	return claims, nil
}

// ClaimsOf returns what a host claims by the last map that it knows: the ranges that the map
// gives to it and that it has not released. What it has released may belong to another host
// by a change of which this one got no response.
func (g *Grants) ClaimsOf(host string, m *Map) Claims {
	c := Claims{Generation: m.Generation}
	for _, r := range m.Ranges {
		_, released := g.released[span{r.From, r.To, r.Generation}]
		if r.Holder.Host == host && !released {
			r.Next = ""
			c.Ranges = append(c.Ranges, r)
		}
	}
	return c
}

// sortClaims returns all claimed ranges in the order of their keys, and of two that begin
// with the same key the one with the higher generation first.
func sortClaims(claims []Claims) []Range {
	var all []Range
	for _, c := range claims {
		all = append(all, c.Ranges...)
	}
	slices.SortFunc(all, func(a, b Range) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(b.Generation, a.Generation))
	})
	return all
}

// CoverAllKeys reports whether each key is claimed, so that no other host can hold any.
func CoverAllKeys(claims []Claims) bool {
	next := 0
	for _, r := range sortClaims(claims) {
		if int(r.From) > next {
			return false
		}
		next = max(next, int(r.To)+1)
	}
	return next > MaxKey
}

// NextEraGeneration returns the generation from which the map of an era counts on. known is
// the highest generation in the store's copy. The number of the era keeps it above the
// generations of earlier eras also if no host remembers these.
func NextEraGeneration(era int64, claims []Claims, known uint64) uint64 {
	for _, c := range claims {
		known = max(known, c.Generation)
	}
	return max(known+lostGenerations, uint64(era)*lostGenerations)
}

// NewMapFromClaims returns the map in which each host has the ranges that it claims, with
// the generation with which it holds them. Keys that nobody claims have no holder; their
// ranges have freeWidth keys at most, so that they can go to several hosts.
func NewMapFromClaims(generation uint64, claims []Claims, freeWidth int) *Map {
	m := &Map{Generation: generation}
	next := 0
	addFree := func(end int) {
		for ; next < end; next = min(next+freeWidth, end) {
			m.Ranges = append(m.Ranges, Range{From: uint16(next), To: uint16(min(next+freeWidth, end) - 1)})
		}
	}
	for _, r := range sortClaims(claims) {
		if int(r.To) < next {
			continue
		}
		addFree(int(r.From))
		r.From = max(r.From, uint16(next))
		m.Ranges = append(m.Ranges, r)
		next = int(r.To) + 1
	}
	addFree(MaxKey + 1)
	return m
}
