package sidecar

import (
	"testing"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/vhost"
)

// Pattern: a hot key. Guards against requests that are held for a newer key map
// although the holder is known and has no room: no other host may serve the key.
func TestOverloadedHolderIsNotAskedAgain(t *testing.T) {
	e := &entry{}
	route := &vhost.Route{MaxAttempts: 2}
	for _, c := range []struct {
		name  string
		keyed bool
		kind  errkind.Kind
		want  bool
	}{
		{"key, holder overloaded", true, errkind.Overloaded, false},
		{"key, holder changed", true, errkind.NoOwner, true},
		{"no key, host overloaded", false, errkind.Overloaded, true},
	} {
		got := e.another(t.Context(), &Call{Keyed: c.keyed}, route, refused(c.kind, "refused"), 0)
		if got != c.want {
			t.Errorf("%s: another attempt %v, want %v", c.name, got, c.want)
		}
	}
}
