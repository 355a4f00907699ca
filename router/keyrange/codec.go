package keyrange

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxEncodedBytes is the maximum size of an encoded map: rows of the store hold up
// to 64 KiB.
const MaxEncodedBytes = 60 << 10

// maxGeneration is the highest generation of a map. Upstreams get generations as JSON
// numbers, which are exact up to 2^53; the rest is left for later changes.
const maxGeneration = 1 << 52

// ErrTooLarge is returned for a map that does not fit into a row of the store.
var ErrTooLarge = errors.New("key map is too large for a row")

// wireMap is the stored form of a map, encoded as CBOR arrays. Holders and hosts
// are listed once and referenced by index, which keeps the row small: every host
// reads it, and it may contain many ranges.
type wireMap struct {
	_          struct{} `cbor:",toarray"`
	Generation uint64
	Holders    []wireHolder
	Ranges     []wireRange
}

type wireHolder struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Instance string
	Started  int64
}

// wireRange contains only the last key of a range; the range starts after the
// previous one. Holder and Next are indexes of Holders plus 1; 0 means none.
type wireRange struct {
	_          struct{} `cbor:",toarray"`
	To         uint16
	Holder     int
	Generation uint64
	Next       int
	// Token is the handover token: the bytes decoded from its hexadecimal digits
	// if Hex is true, since upstreams write tokens in hexadecimal, and its text
	// otherwise.
	Token []byte
	Hex   bool
}

// Encode returns the stored form. The error is ErrTooLarge if the encoded map
// exceeds MaxEncodedBytes.
func (m *Map) Encode() ([]byte, error) {
	w := wireMap{Generation: m.Generation, Ranges: make([]wireRange, 0, len(m.Ranges))}
	index := map[Holder]int{}
	ref := func(h Holder) int {
		if h.Host == "" {
			return 0
		}
		if i, ok := index[h]; ok {
			return i
		}
		w.Holders = append(w.Holders, wireHolder{Host: h.Host, Instance: h.Instance, Started: h.Started})
		index[h] = len(w.Holders)
		return len(w.Holders)
	}
	for _, r := range m.Ranges {
		token, isHex := packToken(r.Handover)
		w.Ranges = append(w.Ranges, wireRange{
			To: r.To, Holder: ref(r.Holder), Generation: r.Generation, Next: ref(Holder{Host: r.Next}),
			Token: token, Hex: isHex,
		})
	}
	data, err := cbor.Marshal(w)
	if err == nil && len(data) > MaxEncodedBytes {
		err = fmt.Errorf("%w: %d ranges encode to %d bytes", ErrTooLarge, len(m.Ranges), len(data))
	}
	return data, err
}

// packToken returns the stored form of a token and whether it was decoded from
// hexadecimal digits.
func packToken(token string) (packed []byte, isHex bool) {
	if data, err := hex.DecodeString(token); err == nil && token != "" && hex.EncodeToString(data) == token {
		return data, true
	}
	return []byte(token), false
}

// token returns the text of the handover token.
func (w wireRange) token() string {
	if w.Hex {
		return hex.EncodeToString(w.Token)
	}
	return string(w.Token)
}

// DecodeMap decodes the stored form and verifies that the ranges cover all keys.
func DecodeMap(data []byte) (*Map, error) {
	var w wireMap
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("key map: %w", err)
	}
	if w.Generation > maxGeneration {
		return nil, fmt.Errorf("key map: generation %d", w.Generation)
	}
	m := &Map{Generation: w.Generation, Ranges: make([]Range, 0, len(w.Ranges))}
	from := 0
	for i, r := range w.Ranges {
		if int(r.To) < from || r.Generation > w.Generation || r.Holder > len(w.Holders) || r.Next > len(w.Holders) || r.Holder < 0 || r.Next < 0 {
			return nil, fmt.Errorf("key map: range %d is invalid", i)
		}
		next := Range{From: uint16(from), To: r.To, Generation: r.Generation, Handover: r.token()}
		if r.Holder > 0 {
			h := w.Holders[r.Holder-1]
			next.Holder = Holder{Host: h.Host, Instance: h.Instance, Started: h.Started}
		}
		if r.Next > 0 {
			next.Next = w.Holders[r.Next-1].Host
		}
		m.Ranges = append(m.Ranges, next)
		from = int(r.To) + 1
	}
	if len(m.Ranges) > 0 && from != MaxKey+1 {
		return nil, fmt.Errorf("key map: ranges end at key %d instead of the highest key", from-1)
	}
	return m, nil
}
