package sidecar

import (
	"context"
	"fmt"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyrange"
	"burdockglade.dev/router/rowstore"
)

// notifyTimeout bounds the notification of one host.
const notifyTimeout = 400 * time.Millisecond

// notifyNewHolders sends a key map that this host has written to the other hosts that
// gained ranges by it. No host serves these keys until the new holder has the map, and
// the store delivers changes in batches. The initial map is not sent, because all hosts
// are reading it from the store.
func (d *keyDriver) notifyNewHolders(row rowstore.Row, c mapChange) {
	if len(c.before.Ranges) == 0 {
		return
	}
	for host := range newHolders(c.before, c.next) {
		h := d.fleet.Host(host)
		if host == d.host || h == nil {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			_, err := (&remoteStore{client: h.Client}).call(ctx, storeCall{Call: storeKeyMap, Row: row})
			if err != nil {
				d.log.Log(eventNotifyFailed, event.F("host", host), event.F("service", row.Part), event.F("version", row.Version), event.F("error", err.Error()))
			}
		}()
	}
}

// newHolders returns the hosts that hold a range with a generation above the one of the
// map before.
func newHolders(before, after *keyrange.Map) map[string]bool {
	hosts := map[string]bool{}
	for i := range after.Ranges {
		if r := &after.Ranges[i]; r.Held() && r.Generation > before.Generation {
			hosts[r.Holder.Host] = true
		}
	}
	return hosts
}

// applyKeyMap applies the key map that another host has written.
func (h *hopHandler) applyKeyMap(row rowstore.Row) error {
	if name, _ := splitEraName(row.Name); row.Table != tableFleet || name != partKeys || row.Deleted {
		return fmt.Errorf("row %v is not a key map", row.Key)
	}
	h.applyRow(row)
	return nil
}
