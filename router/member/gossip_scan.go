package member

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/stores/table"
)

func (g *Gossip) scanLoop(ctx context.Context) {
	for {
		interval := max(minScanInterval, time.Duration(len(g.o.Directory.All()))*scanPerMember)
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := g.Scan(ctx); err != nil && ctx.Err() == nil {
			g.o.Log.Log(evScanFailed, event.F("error", err.Error()))
		}
	}
}

// Scan reads all member and group rows from the table service, applies the newer
// ones and removes the members whose rows were deleted.
func (g *Gossip) Scan(ctx context.Context) error {
	for _, prefix := range []string{Prefix, ownership.GroupPrefix} {
		before := g.rows.All(prefix)
		scan, err := table.ScanAll(ctx, g.o.Store, prefix)
		if err != nil {
			return err
		}
		valid := scan[:0]
		for _, row := range scan {
			if g.isValid(row) {
				valid = append(valid, row)
			}
		}
		dropped, newer := g.rows.Reconcile(time.Now(), prefix, before, valid)
		g.apply(newer)
		for _, row := range dropped {
			if m, err := Decode(row); err == nil {
				g.o.Directory.Remove(m.Host.Name, row.Version)
			}
		}
	}
	return nil
}
