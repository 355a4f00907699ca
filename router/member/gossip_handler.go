package member

import (
	"context"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/peer"
)

func (g *Gossip) handlePush(_ context.Context, _ peer.Caller, p Push) (PushResponse, error) {
	if len(p.Versions) > maxRowsPerMessage*Buckets || len(p.Loads) > 2*maxLoadsPerMessage {
		return PushResponse{}, errkind.New(errkind.TooLarge, "%d versions and %d loads in one message", len(p.Versions), len(p.Loads))
	}
	g.learnLoads(p.Loads)
	g.o.OnNoteVersion(p.NoteVersion, p.From)
	return PushResponse{
		Want:        g.rows.NewerKeys(time.Now(), p.Versions),
		Loads:       g.ownLoad(),
		NoteVersion: g.o.NoteVersion(),
	}, nil
}

func (g *Gossip) handleRecords(_ context.Context, _ peer.Caller, p Records) (struct{}, error) {
	if len(p.Rows) > maxRowsPerMessage {
		return struct{}{}, errkind.New(errkind.TooLarge, "%d rows in one message", len(p.Rows))
	}
	g.Learn(p.Rows...)
	return struct{}{}, nil
}

func (g *Gossip) handleDigest(_ context.Context, _ peer.Caller, p Digest) (DigestResponse, error) {
	g.learnLoads(p.Loads)
	g.o.OnNoteVersion(p.NoteVersion, p.From)
	digests := g.rows.Digests()
	response := DigestResponse{Same: p.Root == digests.root(), NoteVersion: g.o.NoteVersion()}
	if p.Digests == nil {
		response.Loads = g.loads()
		return response, nil
	}
	response.Digests = &digests
	response.Versions = g.rows.Versions(*p.Digests)
	return response, nil
}

func (g *Gossip) handleFetch(_ context.Context, _ peer.Caller, p Fetch) (Records, error) {
	if len(p.Keys) > maxRowsPerMessage {
		return Records{}, errkind.New(errkind.TooLarge, "%d keys in one message", len(p.Keys))
	}
	return Records{Rows: g.rows.Get(p.Keys)}, nil
}
