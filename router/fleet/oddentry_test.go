package fleet

import (
	"strings"
	"testing"
)

// Guards against an odd entry of another writer that is taken for a host: requests and keys
// would go to an address that cannot exist.
func TestDecodeMemberRejectsOddEntries(t *testing.T) {
	entry := func(changes ...string) string {
		text := `{"host":"h","instance":"i","started":1,"service":"s","zone":"z","region":"r","address":"10.0.0.1:80","slots":4,"state":"ready"}`
		return strings.NewReplacer(changes...).Replace(text)
	}
	if _, err := DecodeMember([]byte(entry())); err != nil {
		t.Fatalf("a proper entry: %v", err)
	}
	for name, text := range map[string]string{
		"port out of range":  entry(":80", ":99999"),
		"port 0":             entry(":80", ":0"),
		"no port":            entry(":80", ""),
		"no host of address": entry("10.0.0.1:80", ":80"),
		"negative slots":     entry(`"slots":4`, `"slots":-4`),
		"too many slots":     entry(`"slots":4`, `"slots":4000000000`),
		"slots too large":    entry(`"slots":4`, `"slots":1e400`),
		"fraction":           entry(`"slots":4`, `"slots":4.5`),
		"negative start":     entry(`"started":1`, `"started":-1`),
		"unknown state":      entry("ready", "resting"),
		"deep nesting":       strings.Repeat("[", 100_000),
		"deep field":         entry(`"slots":4`, `"slots":4,"x":`+strings.Repeat(`{"x":`, 20_000)+"1"+strings.Repeat("}", 20_000)),
	} {
		if m, err := DecodeMember([]byte(text)); err == nil {
			t.Errorf("%s: got %+v", name, m)
		}
	}
}
