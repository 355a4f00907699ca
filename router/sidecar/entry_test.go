package sidecar

import (
	"net/http"
	"testing"
	"time"

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

// Guards against requests that are refused at once because neither the caller nor the
// route limits their time.
func TestRemainingTime(t *testing.T) {
	e := &entry{headers: testHeaders}
	for _, c := range []struct {
		requested string
		timeout   time.Duration
		want      time.Duration
	}{
		{"", 0, defaultTimeout},
		{"soon", 0, defaultTimeout},
		{"-1", 0, defaultTimeout},
		{"", time.Second, time.Second},
		{"500", 0, 500 * time.Millisecond},
		{"500", time.Second, 500 * time.Millisecond},
		{"1500", time.Second, time.Second},
		{"0", time.Second, 0},
		{"9223372036854775807", 0, defaultTimeout},
	} {
		req := &http.Request{Header: http.Header{}}
		req.Header.Set(testHeaders.DeadlineMs, c.requested)
		if got := e.remainingTime(req, &vhost.Route{Timeout: c.timeout}); got != c.want {
			t.Errorf("requested %q, timeout %v: %v, want %v", c.requested, c.timeout, got, c.want)
		}
	}
}
