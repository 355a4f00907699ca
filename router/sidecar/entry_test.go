package sidecar

import (
	"testing"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/vhost"
)

// Guards against requests for a hot key that wait for a newer key map although the holder
// is known and overloaded: no other host may serve the key.
func TestOverloadedHolderIsNotRetried(t *testing.T) {
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
		got := e.shouldRetry(t.Context(), &Call{Keyed: c.keyed}, route, errorResult(c.kind, "refused"), 0)
		if got != c.want {
			t.Errorf("%s: another attempt %v, want %v", c.name, got, c.want)
		}
	}
}
