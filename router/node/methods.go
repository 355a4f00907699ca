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

// methodStandbyLeaving notifies a holder that its standby is about to stop.
const methodStandbyLeaving = "standby.leaving"

// standbyLeaving identifies the process that stops.
type standbyLeaving struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation,string"`
}

// Times of the handlers of control calls.
const (
	// takeoverRetryAfter is the delay after which a router asks again for the new
	// holder of a key.
	takeoverRetryAfter = 30 * time.Millisecond
	// resolveTimeout limits how long a resolve call waits for running work to end.
	resolveTimeout        = 1500 * time.Millisecond
	replaceStandbyTimeout = 5 * time.Second
)

// requestMethods returns the control methods for single requests, release notes
// and standbys.
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

// handleRoute returns the newest record, or a delay after which to retry if this
// router has none that is newer than the caller's.
func (n *Node) handleRoute(_ context.Context, _ peer.Caller, q forward.RouteQuery) (forward.RouteResponse, error) {
	record, ok := n.routes.Lookup(q.Service, q.Hash)
	if !ok {
		return forward.RouteResponse{}, errkind.New(errkind.NoOwner, "no group record contains the key hash")
	}
	if record.Version <= q.KnownVersion {
		return forward.RouteResponse{RetryAfter: takeoverRetryAfter}, nil
	}
	return forward.RouteResponse{Record: record}, nil
}

func (n *Node) handleResolve(ctx context.Context, _ peer.Caller, q gate.ResolveQuery) (gate.ResolveResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return n.gate.Resolve(ctx, q), nil
}

func (n *Node) handleStandbyLeaving(ctx context.Context, from peer.Caller, p standbyLeaving) (emptyResponse, error) {
	if from.Host != p.Host || from.Incarnation != p.Incarnation {
		return emptyResponse{}, errkind.New(errkind.BadRequest, "host %s cannot act for host %s", from.Host, p.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, replaceStandbyTimeout)
	defer cancel()
	return emptyResponse{}, n.manager.ReplaceStandby(ctx, p.Host)
}
