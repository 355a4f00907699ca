package rowstore

import (
	"context"
	"time"
)

// Start is what a Follower knows of a table before it reads it.
type Start struct {
	// Rows are the rows of the table, if Complete is true, or those of Part. Deleted rows
	// among them are ignored.
	Rows     []Row
	Complete bool
	Part     string
	// Version is the version up to which the rows are complete, and AsOf a time before which
	// all changes are among them.
	Version int64
	AsOf    time.Time
}

// listing is the result of a List call.
type listing struct {
	rows    []Row
	version int64
	err     error
}

// begin applies what Start returns. It reports whether the table need not be read.
func (f *Follower) begin(ctx context.Context) (complete bool) {
	if f.Start == nil {
		return false
	}
	s, ok := f.Start(ctx, f.applyStarted)
	if !ok {
		return false
	}
	f.applyStarted(s.Rows)
	if !s.Complete {
		f.started = &s
		return false
	}
	f.mu.Lock()
	f.position = s.Version
	f.mu.Unlock()
	f.setFollowing(true)
	f.reportUpToDate(s.AsOf)
	return true
}

// applyStarted reports rows of a Start that are not deleted.
func (f *Follower) applyStarted(rows []Row) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rows {
		if !r.Deleted {
			f.apply(r)
		}
	}
}

// listAhead begins to list a part that the table is known to have, while its parts are being
// determined, and returns the function that waits for the rows. Rows that a Start has brought
// are returned once.
func (f *Follower) listAhead(ctx context.Context) (part string, wait func() listing) {
	if s := f.started; s != nil {
		f.started = nil
		return s.Part, func() listing { return listing{rows: s.Rows, version: s.Version} }
	}
	if f.KnownPart == nil {
		return "", nil
	}
	result := make(chan listing, 1)
	go func() { result <- f.list(ctx, *f.KnownPart) }()
	return *f.KnownPart, func() listing { return <-result }
}

func (f *Follower) list(ctx context.Context, part string) listing {
	rows, version, err := f.Store.List(ctx, f.Table, part)
	return listing{rows, version, err}
}
