package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/hop"
	"burdockglade.dev/router/rowstore"
)

const (
	// catchUpWait is the time that the store gets to bring a configuration that
	// another host has. With configGather it leaves time for an answer of the other
	// host within the 2 s in which a configuration must be in force.
	catchUpWait = 800 * time.Millisecond
	// catchUpTimeout bounds one question to another host.
	catchUpTimeout = 400 * time.Millisecond
)

// configCatchUp asks another host for its configuration when the answers of that
// host show a newer one than the store has brought.
type configCatchUp struct {
	log *event.Logger
	// version is that of the configuration in force here.
	version func() uint64
	// fetch asks another host for the row of its configuration, and apply takes it.
	fetch func(context.Context, *hop.Client) (rowstore.Row, error)
	apply func(rowstore.Row)

	mu sync.Mutex
	// newest is the highest version that was seen, and from the host that showed it
	// last.
	newest  uint64
	from    *hop.Client
	waiting bool
}

// seen notes the version that an answer of another host shows.
func (c *configCatchUp) seen(version uint64, from *hop.Client) {
	if version <= c.version() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.newest {
		return
	}
	c.newest, c.from = version, from
	if !c.waiting {
		c.waiting = true
		time.AfterFunc(catchUpWait, c.ask)
	}
}

// ask asks the host that showed the newest version, unless the store has brought
// it meanwhile. A later answer with a newer version starts the next attempt.
func (c *configCatchUp) ask() {
	c.mu.Lock()
	newest, from := c.newest, c.from
	c.waiting = false
	c.mu.Unlock()
	if newest <= c.version() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	row, err := c.fetch(ctx, from)
	if err != nil {
		c.log.Log(eventCatchUpFailed, event.F("host", from.Address()), event.F("version", newest), event.F("error", err.Error()))
		return
	}
	c.apply(row)
	c.log.Log(eventCaughtUp, event.F("host", from.Address()), event.F("version", c.version()))
}

// fetchConfig asks another host for the row of its configuration.
func fetchConfig(ctx context.Context, from *hop.Client) (rowstore.Row, error) {
	result, err := (&remoteStore{client: from}).do(ctx, storeCall{Call: storeConfig})
	if err != nil {
		return rowstore.Row{}, err
	}
	if len(result.Rows) != 1 {
		return rowstore.Row{}, fmt.Errorf("%s answered with %d rows", from.Address(), len(result.Rows))
	}
	return result.Rows[0], nil
}
