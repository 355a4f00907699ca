package fleet

import "testing"

// Guards against malformed rows that are accepted as hosts without an address.
func FuzzDecodeMember(f *testing.F) {
	data, err := upstream("h", "z", "r").Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"host":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if m, err := DecodeMember(data); err == nil && (m.Host == "" || m.Address == "") {
			t.Errorf("accepted: %+v", m)
		}
	})
}
