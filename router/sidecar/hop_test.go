package sidecar

import (
	"testing"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/hop"
)

// Guards against a panic in one call of another router that ends the whole process.
func TestPanicEndsOneHopCallOnly(t *testing.T) {
	h := &hopHandler{gate: &gate{host: "h1"}} // has no limiter, so that a call panics
	resp := h.serve(t.Context(), &hop.Request{RequestHead: hop.RequestHead{RequestID: "r", RemainingMs: 1000}})
	if resp.Kind != string(errkind.OutcomeUnknown) || resp.Flags&hop.Arrived == 0 {
		t.Errorf("got kind %q and flags %b; want an unknown outcome", resp.Kind, resp.Flags)
	}
}
