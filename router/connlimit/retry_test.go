package connlimit

import (
	"testing"
	"time"
)

// Guards against a listener that retries Accept without a pause, or that stays away from its
// clients for longer than a second.
func TestAcceptRetry(t *testing.T) {
	var r AcceptRetry
	for failure, want := range []time.Duration{5, 10, 20, 40, 80, 160, 320, 640, 1000, 1000} {
		if got := r.Next(); got != want*time.Millisecond {
			t.Errorf("failure %d: %v, want %d ms", failure, got, want)
		}
	}
}
