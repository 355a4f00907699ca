package keyrange

import "testing"

// Guards against a row of any form that is taken for a map with gaps.
func FuzzDecode(f *testing.F) {
	data, err := NewMap(members(3), 2).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("\x83\x00\x80\x81\x86\x19\xff\xff\x07\x00\x00\x40\xf4"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := DecodeMap(data)
		if err != nil || len(m.Ranges) == 0 {
			return
		}
		for _, key := range []uint16{0, 1, 30000, MaxKey} {
			if r := m.Find(key); r == nil || key < r.From || key > r.To {
				t.Errorf("key %d is in %+v", key, r)
			}
		}
	})
}
