package keyrange

import (
	"bytes"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against an odd key map of another writer: a generation near the highest number
// would begin again at 0 with the next change, and upstreams would refuse all grants.
func TestDecodeMapRejectsOddEntries(t *testing.T) {
	encode := func(generation, ofRange uint64) []byte {
		data, err := cbor.Marshal(wireMap{Generation: generation, Holders: []wireHolder{{Host: "h", Instance: "i", Started: 1}},
			Ranges: []wireRange{{To: MaxKey, Holder: 1, Generation: ofRange}}})
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	if _, err := DecodeMap(encode(7, 7)); err != nil {
		t.Fatalf("a proper map: %v", err)
	}
	for name, data := range map[string][]byte{
		"generation too large":     encode(math.MaxUint64, 7),
		"range above the highest":  encode(7, 8),
		"deep nesting":             bytes.Repeat([]byte{0x81}, 100_000),
		"huge length without data": {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if m, err := DecodeMap(data); err == nil {
			t.Errorf("%s: got %+v", name, m)
		}
	}
}

// Guards against the lease of an odd entry that never ends, or ended before it began.
func TestDecodeLeaseRowRejectsOddEnds(t *testing.T) {
	for _, text := range []string{`{"end_ms":9223372036854775807}`, `{"end_ms":-1}`, `{"end_ms":1.5}`, `{"end_ms":1e30}`} {
		if l, err := DecodeLeaseRow("h", []byte(text)); err == nil {
			t.Errorf("%s: got %+v", text, l)
		}
	}
}
