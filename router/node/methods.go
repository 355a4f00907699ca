package node

import (
	"context"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/forward"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/move"
	"burdockglade.dev/router/peer"
)

// methodStandbyLeaving tells a holder that its standby is about to stop.
const methodStandbyLeaving = "standby.leaving"

// standbyLeaving names the process that stops.
type standbyLeaving struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
}

// Times of the answers to route and resolve calls.
const (
	takeoverPause = 30 * time.Millisecond
	// resolveWait is how long a question waits for running work to end.
	resolveWait           = 1500 * time.Millisecond
	replaceStandbyTimeout = 5 * time.Second
)

// requestMethods returns the control methods that concern single requests,
// notes and standbys.
func (n *Node) requestMethods() map[string]peer.Method {
	return map[string]peer.Method{
		forward.MethodRoute:   peer.Handle(n.handleRoute),
		forward.MethodResolve: peer.Handle(n.handleResolve),
		methodNoteGet:         n.noteMethod(),
		methodStandbyLeaving:  peer.Handle(n.handleStandbyLeaving),
	}
}

func (n *Node) moveMethods() map[string]peer.Method {
	return map[string]peer.Method{
		move.MethodPrepare: peer.Handle(func(ctx context.Context, _ peer.Caller, r move.PrepareRequest) (move.PrepareResponse, error) {
			return n.target.Prepare(ctx, r)
		}),
		move.MethodTransfer: peer.Handle(func(ctx context.Context, _ peer.Caller, r move.TransferRequest) (move.TransferResponse, error) {
			return n.target.Transfer(ctx, r)
		}),
		move.MethodCommit: peer.Handle(func(ctx context.Context, _ peer.Caller, r move.CommitRequest) (move.CommitResponse, error) {
			return n.target.Commit(ctx, r)
		}),
	}
}

// handleRoute answers with the newest record, or asks for patience while there
// is none that is newer than the asker's.
func (n *Node) handleRoute(_ context.Context, _ peer.Caller, q forward.RouteQuery) (forward.RouteAnswer, error) {
	record, ok := n.routes.Lookup(q.Service, q.Hash)
	if !ok {
		return forward.RouteAnswer{}, errkind.New(errkind.NoOwner, "no record claims the position")
	}
	if record.Version <= q.KnownVersion {
		return forward.RouteAnswer{RetryAfter: takeoverPause}, nil
	}
	return forward.RouteAnswer{Record: record}, nil
}

func (n *Node) handleResolve(ctx context.Context, _ peer.Caller, q gate.ResolveQuery) (gate.ResolveResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveWait)
	defer cancel()
	return n.gate.Resolve(ctx, q), nil
}

func (n *Node) handleStandbyLeaving(ctx context.Context, from peer.Caller, p standbyLeaving) (accepted, error) {
	if from.Host != p.Host || from.Incarnation != p.Incarnation {
		return accepted{}, errkind.New(errkind.BadRequest, "host %s speaks for host %s", from.Host, p.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, replaceStandbyTimeout)
	defer cancel()
	return accepted{}, n.manager.ReplaceStandby(ctx, p.Host)
}
