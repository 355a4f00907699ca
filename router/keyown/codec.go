package keyown

import (
	"encoding/json"
	"fmt"
)

// wireMap is the stored form. Holders and hosts are named once and referred to
// by index, because a map of many ranges is read by every host.
type wireMap struct {
	Generation uint64       `json:"generation"`
	Holders    []wireHolder `json:"holders"`
	Ranges     []wireRange  `json:"ranges"`
}

type wireHolder struct {
	Host     string `json:"host"`
	Instance string `json:"instance,omitempty"`
	Started  int64  `json:"started,omitempty"`
}

// wireRange leaves out what has its usual value. Holder and Next are indexes of
// Holders plus 1; 0 means none.
type wireRange struct {
	To         uint16 `json:"t"`
	Holder     int    `json:"h,omitempty"`
	Generation uint64 `json:"g"`
	Handover   string `json:"x,omitempty"`
	Next       int    `json:"n,omitempty"`
}

// Encode returns the stored form.
func (m *Map) Encode() ([]byte, error) {
	w := wireMap{Generation: m.Generation, Ranges: make([]wireRange, 0, len(m.Ranges))}
	index := map[wireHolder]int{}
	ref := func(h wireHolder) int {
		if h.Host == "" {
			return 0
		}
		if i, ok := index[h]; ok {
			return i
		}
		w.Holders = append(w.Holders, h)
		index[h] = len(w.Holders)
		return len(w.Holders)
	}
	for _, r := range m.Ranges {
		w.Ranges = append(w.Ranges, wireRange{
			To:         r.To,
			Holder:     ref(wireHolder(r.Holder)),
			Generation: r.Generation,
			Handover:   r.Handover,
			Next:       ref(wireHolder{Host: r.Next}),
		})
	}
	return json.Marshal(w)
}

// Decode reads the stored form and checks that the ranges cover all keys.
func Decode(data []byte) (*Map, error) {
	var w wireMap
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("key map: %w", err)
	}
	m := &Map{Generation: w.Generation}
	from := 0
	for i, r := range w.Ranges {
		if int(r.To) < from || r.Holder > len(w.Holders) || r.Next > len(w.Holders) || r.Holder < 0 || r.Next < 0 {
			return nil, fmt.Errorf("key map: range %d is not valid", i)
		}
		next := Range{From: uint16(from), To: r.To, Generation: r.Generation, Handover: r.Handover}
		if r.Holder > 0 {
			next.Holder = Holder(w.Holders[r.Holder-1])
		}
		if r.Next > 0 {
			next.Next = w.Holders[r.Next-1].Host
		}
		m.Ranges = append(m.Ranges, next)
		from = int(r.To) + 1
	}
	if len(m.Ranges) > 0 && from != MaxKey+1 {
		return nil, fmt.Errorf("key map: the ranges end at %d", from-1)
	}
	return m, nil
}
