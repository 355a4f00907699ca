package keyrange

import (
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxEncodedBytes is the size up to which a map is stored: the rows of the store
// hold 64 KiB.
const MaxEncodedBytes = 60 << 10

// ErrTooLarge means that a map does not fit into a row of the store.
var ErrTooLarge = errors.New("the key map is too large for a row")

// wireMap is the stored form, in CBOR. Holders and hosts are named once and
// referred to by index, because a map of many ranges is read by every host.
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

// wireRange names only the end of a range. Holder and Next are indexes of Holders
// plus 1; 0 means none.
type wireRange struct {
	_          struct{} `cbor:",toarray"`
	To         uint16
	Holder     int
	Generation uint64
	Next       int
	// Token is the handover: its bytes when Hex is set, because upstreams write
	// tokens in hexadecimal digits, and otherwise its text.
	Token []byte
	Hex   bool
}

// Encode returns the stored form, or ErrTooLarge.
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
		err = fmt.Errorf("%w: %d ranges take %d bytes", ErrTooLarge, len(m.Ranges), len(data))
	}
	return data, err
}

// packToken returns the bytes of a token and whether they are its decoded digits.
func packToken(token string) (packed []byte, isHex bool) {
	if data, err := hex.DecodeString(token); err == nil && token != "" && hex.EncodeToString(data) == token {
		return data, true
	}
	return []byte(token), false
}

func (w wireRange) token() string {
	if w.Hex {
		return hex.EncodeToString(w.Token)
	}
	return string(w.Token)
}

// DecodeMap reads the stored form and checks that the ranges cover all keys.
func DecodeMap(data []byte) (*Map, error) {
	var w wireMap
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, fmt.Errorf("key map: %w", err)
	}
	m := &Map{Generation: w.Generation, Ranges: make([]Range, 0, len(w.Ranges))}
	from := 0
	for i, r := range w.Ranges {
		if int(r.To) < from || r.Holder > len(w.Holders) || r.Next > len(w.Holders) || r.Holder < 0 || r.Next < 0 {
			return nil, fmt.Errorf("key map: range %d is not valid", i)
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
		return nil, fmt.Errorf("key map: the ranges end at %d", from-1)
	}
	return m, nil
}
