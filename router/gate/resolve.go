package gate

import (
	"context"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/retry"
)

// ResolveState is the state of a request in a ResolveResponse.
type ResolveState string

// The states.
const (
	ResolveRunning ResolveState = "running"
	ResolveDone    ResolveState = "done"
	ResolveNotRun  ResolveState = "not_run"
	ResolveUnknown ResolveState = "unknown"
)

// ResolveQuery asks what became of a request.
type ResolveQuery struct {
	// ID is the id of the attempt, as in Request.
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	// Method is required. Idempotent work that is not running is answered with
	// unknown, because its end is not recorded.
	Method string `json:"method"`
	// IdempotencyKeyHash is HashIdempotencyKey of the idempotency key; zero for none.
	IdempotencyKeyHash Digest `json:"id_hash"`
	// Fingerprint is the one of the request; zero when there is no key.
	Fingerprint Digest `json:"fingerprint"`
	// Incarnation is the gate's incarnation when the request was sent.
	Incarnation uint64 `json:"incarnation,string"`
}

// ResolveResponse is the gate's answer to a ResolveQuery.
type ResolveResponse struct {
	State       ResolveState    `json:"state"`
	Response    *StoredResponse `json:"answer,omitempty"`
	Incarnation uint64          `json:"incarnation,string"`
	// MaxRequestAge is how long ago, by the asker's clock, the request may have been
	// sent at most when this answer arrives, for not_run to hold: the gate may
	// have forgotten requests that ended earlier. A later not_run is unknown.
	MaxRequestAge time.Duration `json:"within"`
}

// Resolve tells what became of a request whose hop went silent. It waits for a
// running request until ctx ends. For a request that did not arrive, it blocks
// the id for good and answers not_run.
func (g *Gate) Resolve(ctx context.Context, q ResolveQuery) ResolveResponse {
	answer := ResolveResponse{State: ResolveUnknown, Incarnation: g.opts.Incarnation}
	service, ok := g.opts.Service(q.Service)
	if !ok || q.ID == "" || q.Method == "" || retry.Idempotent(q.Method, service.IdempotentMethods) {
		return answer
	}
	look := g.lookRequest
	if q.Incarnation != g.opts.Incarnation {
		look = g.lookJournal
	}
	for {
		ended := look(q, service, &answer)
		if answer.State != ResolveRunning {
			return answer
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return answer
		}
	}
}

// lookRequest answers from the requests of this process. It returns the channel
// that is closed at the end of a running request.
func (g *Gate) lookRequest(q ResolveQuery, _ note.Service, answer *ResolveResponse) <-chan struct{} {
	id := digestOf(q.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.requests.sweep(now)
	if r := g.requests.byID[id]; r != nil {
		answer.State, answer.Response = r.state, r.answer
		return r.ended
	}
	answer.State = ResolveUnknown
	if g.requests.bar(now, id) {
		answer.State, answer.MaxRequestAge = ResolveNotRun, g.requests.within(now)
	}
	return nil
}

// lookJournal answers for a request that was sent to another process, whose
// journal this one took over. Only a complete journal that knows the key is an
// answer.
func (g *Gate) lookJournal(q ResolveQuery, service note.Service, answer *ResolveResponse) <-chan struct{} {
	answer.State = ResolveUnknown
	permit, err := g.permit(q.Service, q.Hash)
	if err != nil || q.IdempotencyKeyHash == (Digest{}) || !g.complete(permit, service.IdempotencyWindow) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journal.sweep(g.now())
	rec := g.journal.find(idKey{q.Service, q.IdempotencyKeyHash}, q.Fingerprint)
	switch {
	case rec == nil:
	case rec.running():
		answer.State = ResolveRunning
		return rec.ended()
	case rec.state() == Done:
		answer.State, answer.Response = ResolveDone, rec.answer()
	}
	return nil
}
