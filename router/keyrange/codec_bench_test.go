package keyrange

import "testing"

// BenchmarkDecode reads the map of a service of 124 hosts, as every host does with
// each change.
func BenchmarkDecode(b *testing.B) {
	m := NewMap(members(124), 8)
	for i := range m.Ranges {
		m.Ranges[i].Handover = "5c0e7a21d94b36f8"
	}
	data, err := m.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeMap(data); err != nil {
			b.Fatal(err)
		}
	}
}
