package gate

import (
	"context"
	"time"

	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/retry"
)

// ResolveState is the state of a request in a ResolveAnswer.
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
	// IDHash is HashID of the idempotency key; zero for none.
	IDHash Digest `json:"id_hash"`
	// Fingerprint is the one of the request; zero when there is no key.
	Fingerprint Digest `json:"fingerprint"`
	// Incarnation is the gate's incarnation when the request was sent.
	Incarnation uint64 `json:"incarnation,string"`
}

// ResolveAnswer is the gate's answer to a ResolveQuery.
type ResolveAnswer struct {
	State       ResolveState `json:"state"`
	Answer      *KeptAnswer  `json:"answer,omitempty"`
	Incarnation uint64       `json:"incarnation,string"`
	// Within is how long ago, by the asker's clock, the request may have been
	// sent at most when this answer arrives, for not_run to hold. The gate
	// forgets ended requests after that time.
	Within time.Duration `json:"within"`
}

// Resolve tells what became of a request whose hop went silent. It waits for a
// running request until ctx ends. For a request that did not arrive, it blocks
// the id for good and answers not_run.
func (g *Gate) Resolve(ctx context.Context, q ResolveQuery) ResolveAnswer {
	answer := ResolveAnswer{State: ResolveUnknown, Incarnation: g.opts.Incarnation, Within: endedKept}
	service, ok := g.opts.Service(q.Service)
	if !ok || q.ID == "" || q.Method == "" || retry.Idempotent(q.Method, service.IdempotentMethods) {
		return answer
	}
	look := g.lookRequest
	if q.Incarnation != g.opts.Incarnation {
		look = g.lookJournal
	}
	for {
		state, kept, ended := look(q, service)
		answer.State, answer.Answer = state, kept
		if state != ResolveRunning {
			return answer
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return answer
		}
	}
}

// lookRequest answers from the requests of this process.
func (g *Gate) lookRequest(q ResolveQuery, _ note.Service) (ResolveState, *KeptAnswer, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.requests.sweep(now)
	if r := g.requests.byID[q.ID]; r != nil {
		return r.state, r.answer, r.ended
	}
	if !g.requests.bar(now, q.ID) {
		return ResolveUnknown, nil, nil
	}
	return ResolveNotRun, nil, nil
}

// lookJournal answers for a request that was sent to another process, whose
// journal this one took over. Only a complete journal that knows the key is an
// answer.
func (g *Gate) lookJournal(q ResolveQuery, service note.Service) (ResolveState, *KeptAnswer, <-chan struct{}) {
	permit, err := g.permit(q.Service, q.Hash)
	if err != nil || q.IDHash == (Digest{}) || !g.complete(permit, service.IdempotencyWindow) {
		return ResolveUnknown, nil, nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journal.sweep(g.now())
	rec := g.journal.find(idKey{q.Service, q.IDHash}, q.Fingerprint)
	switch {
	case rec == nil:
		return ResolveUnknown, nil, nil
	case rec.running:
		return ResolveRunning, nil, rec.ended
	case rec.state == Done:
		return ResolveDone, rec.answer, nil
	}
	return ResolveUnknown, nil, nil
}
