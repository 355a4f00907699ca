package sidecar

import (
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/keyrange"
)

// Guards against requests that use up their attempts at the previous holder of their key,
// because each change of another range while a host hands over its keys ends their wait,
// and against waiting on when the key has another holder or a new grant.
func TestRefusedRequestWaitsForItsOwnRange(t *testing.T) {
	h0, h1 := keyrange.Holder{Host: "h0"}, keyrange.Holder{Host: "h1"}
	const wait = 250 * time.Millisecond
	for name, c := range map[string]struct {
		change    func(m *keyrange.Map)
		refusedBy []string
		host      string
		waited    time.Duration
	}{
		"not refused":       {func(*keyrange.Map) {}, nil, "h0", 0},
		"refused by others": {func(*keyrange.Map) {}, []string{"h1"}, "h0", 0},
		"other range":       {func(m *keyrange.Map) { m.Ranges[1].Holder = h1 }, []string{"h0"}, "h0", wait},
		"other holder":      {func(m *keyrange.Map) { m.Ranges[0].Holder = h1 }, []string{"h0", "h1"}, "h1", wait / 5},
		"new generation":    {func(m *keyrange.Map) { m.BumpGeneration(0) }, []string{"h0"}, "h0", wait / 5},
		"released":          {func(m *keyrange.Map) { m.Ranges[0].Holder = keyrange.Holder{} }, []string{"h0"}, "", wait},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newKeyIndex()
				m := keyrange.NewMap([]keyrange.Member{{Holder: h0}}, 2)
				x.put("s", 1, m)
				time.AfterFunc(wait/5, func() {
					next := m.Clone()
					c.change(next)
					x.put("s", 2, next)
				})
				start := time.Now()
				found := x.lookupHolder(t.Context(), "s", 0, wait, c.refusedBy)
				if waited := time.Since(start); found.Host != c.host || waited != c.waited {
					t.Errorf("host %q after %v, want %q after %v", found.Host, waited, c.host, c.waited)
				}
			})
		})
	}
}
