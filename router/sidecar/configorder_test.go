package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// configHistory is what the store's table has held: versions of the configuration, of
// which each has a higher row version, and between them rows that are none.
type configHistory struct {
	rows   []rowstore.Row
	newest uint64
}

// drawHistory draws a history. step draws by how much the version of the configuration
// changes from one to the next.
func drawHistory(t *rapid.T, step *rapid.Generator[int]) configHistory {
	var h configHistory
	version, row := 1, int64(0)
	for i := range rapid.IntRange(1, 12).Draw(t, "rows") {
		row += int64(rapid.IntRange(1, 3).Draw(t, "row step"))
		r := rowstore.Row{Key: configKey, Version: row}
		kind := rapid.SampledFrom([]string{"valid", "valid", "valid", "deleted", "unreadable", "refused", "other"}).Draw(t, "kind")
		if i == 0 {
			kind = "valid"
		}
		switch kind {
		case "deleted":
			r.Deleted = true
		case "unreadable":
			r.Value = []byte("cut sho")
		case "refused":
			r.Value = fmt.Appendf(nil, "%d invalid", version+100)
		case "other":
			r.Key.Name, r.Value = "another", []byte("1000")
		default:
			version = max(version+step.Draw(t, "version step"), 1)
			r.Value = fmt.Append(nil, version)
			h.newest = max(h.newest, uint64(version))
		}
		h.rows = append(h.rows, r)
	}
	return h
}

// decodeHistoryRow decodes the rows of drawHistory. A refused one is decoded and is not
// valid.
func decodeHistoryRow(data []byte) (vhost.Config, error) {
	var version uint64
	var mark string
	if n, err := fmt.Sscanf(string(data), "%d %s", &version, &mark); n < 1 {
		return vhost.Config{}, err
	}
	c := vhost.Config{Version: version}
	if mark != "" {
		c.Routes = []vhost.Route{{Name: "no service"}}
	}
	return c, nil
}

// checkOrders delivers the rows of a history in any order, some of them repeatedly, as they
// come from the store, from a feed and from other hosts. It checks that the version in
// force never decreases and is the newest in the end.
func checkOrders(t *rapid.T, h configHistory) {
	last := uint64(0)
	c := &currentConfig{source: ConfigSource{Key: configKey, Decode: decodeHistoryRow}}
	c.changed = func() {
		if v := c.version(); v <= last {
			t.Errorf("version %d after %d", v, last)
		}
		last = c.version()
		if _, rows := c.newerThan(0); len(rows) != 1 || string(rows[0].Value) != fmt.Sprint(last) {
			t.Errorf("rows %v for other hosts in version %d", rows, last)
		}
	}
	repeated := rapid.SliceOfN(rapid.SampledFrom(h.rows), 0, 20).Draw(t, "repeated")
	for _, r := range rapid.Permutation(slices.Concat(h.rows, repeated)).Draw(t, "order") {
		c.applyRow(r)
	}
	if got := c.version(); got != h.newest || got != last {
		t.Errorf("version %d in force, %d reported, want %d of %v", got, last, h.newest, h.rows)
	}
}

// Guards against a configuration that is not in force, or that is replaced by an earlier
// one, because its row came by another way or in another order, or after rows that are no
// configuration.
func TestNewestConfigurationIsInForceInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkOrders(t, drawHistory(t, rapid.IntRange(1, 3))) })
}

// Guards against row versions that decide which configuration is newer: after a loss of
// the store's history, lower configurations may have higher row versions.
func TestConfigurationVersionDecidesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkOrders(t, drawHistory(t, rapid.IntRange(-2, 3))) })
}
