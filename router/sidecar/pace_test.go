package sidecar

import (
	"net/http"
	"testing"

	"burdockglade.dev/router/fleet"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/vhost"
)

// Guards against a pace that does not reach other routers, that is sent without need, that
// an upstream forges, or that odd values change.
func TestPaceBetweenRouters(t *testing.T) {
	h := &hopHandler{config: &currentConfig{}, headers: testHeaders}
	if table, err := vhost.NewTable(vhost.Config{}); err == nil {
		h.config.table.Store(table)
	}
	for pace, want := range map[int]int{0: 0, 250: 250, 40: 40} {
		r := &Result{Status: 200, Load: fleet.Load{Pace: pace}, Header: map[string][]string{paceField: {"900"}}}
		head := h.responseHead(r)
		if fields := len(head.Fields); (fields > 0) != (pace != 0) {
			t.Errorf("pace %d: %d fields", pace, fields)
		}
		got := hopResult(&hop.Response{ResponseHead: head, Body: http.NoBody}, testHeaders, &Call{})
		if got.Load.Pace != want || got.Header.Get(paceField) != "" {
			t.Errorf("pace %d: got %d and the field %q for the caller", pace, got.Load.Pace, got.Header.Get(paceField))
		}
	}
	for value, want := range map[string]int{"": 0, "x": 0, "-5": 0, "0": 0, "1.5": 0, "100001": 0, "150": 150} {
		if got := decodePace(value); got != want {
			t.Errorf("%q: got %d, want %d", value, got, want)
		}
	}
}
