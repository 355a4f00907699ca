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

// The states of a request.
const (
	ResolveRunning ResolveState = "running"
	ResolveDone    ResolveState = "done"
	ResolveNotRun  ResolveState = "not_run"
	ResolveUnknown ResolveState = "unknown"
)

// ResolveQuery asks for the state of a request.
type ResolveQuery struct {
	// ID is the id of the attempt, as in Request.
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Hash    keyspace.Hash `json:"hash"`
	// Method is required. The state of idempotent work is always unknown,
	// because it is not recorded.
	Method string `json:"method"`
	// IdempotencyKeyHash is the result of HashIdempotencyKey; zero if the request
	// has no idempotency key.
	IdempotencyKeyHash Digest `json:"id_hash"`
	// Fingerprint is the result of Fingerprint; zero if the request has no
	// idempotency key.
	Fingerprint Digest `json:"fingerprint"`
	// Incarnation is the incarnation of the gate to which the request was sent.
	Incarnation uint64 `json:"incarnation,string"`
}

// ResolveResponse is the response to a ResolveQuery.
type ResolveResponse struct {
	State ResolveState `json:"state"`
	// Response is the stored response of work that ran; nil if there is none.
	Response    *StoredResponse `json:"answer,omitempty"`
	Incarnation uint64          `json:"incarnation,string"`
	// MaxRequestAge limits the validity of not_run. If the request was sent
	// longer ago when this response arrives, by the clock of the host that sent
	// it, its state is unknown: the gate may have removed it after its end.
	MaxRequestAge time.Duration `json:"within"`
}

// Resolve returns the state of a request that another host sent over a connection
// that no longer responds. It waits for the end of a running request until ctx
// ends. If the request has not arrived, Resolve cancels its id, so that it is
// refused if it arrives later, and returns not_run.
func (g *Gate) Resolve(ctx context.Context, q ResolveQuery) ResolveResponse {
	response := ResolveResponse{State: ResolveUnknown, Incarnation: g.opts.Incarnation}
	service, ok := g.opts.Service(q.Service)
	if !ok || q.ID == "" || q.Method == "" || retry.Idempotent(q.Method, service.IdempotentMethods) {
		return response
	}
	lookUp := g.lookUpRequest
	if q.Incarnation != g.opts.Incarnation {
		lookUp = g.lookUpJournal
	}
	for {
		ended := lookUp(q, service, &response)
		if response.State != ResolveRunning {
			return response
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return response
		}
	}
}

// lookUpRequest fills in the response from the requests of this process. It
// returns the channel that is closed at the end of a running request.
func (g *Gate) lookUpRequest(q ResolveQuery, _ note.Service, response *ResolveResponse) <-chan struct{} {
	id := digestOf(q.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.requests.removeExpired(now)
	if r := g.requests.byID[id]; r != nil {
		response.State, response.Response = r.state, r.response
		return r.ended
	}
	response.State = ResolveUnknown
	if g.requests.cancel(now, id) {
		response.State, response.MaxRequestAge = ResolveNotRun, g.requests.notRunMaxAge(now)
	}
	return nil
}

// lookUpJournal fills in the response for a request that was sent to another
// process, whose journal this one took over. The state is unknown unless the
// journal is complete and has a record of the idempotency key.
func (g *Gate) lookUpJournal(q ResolveQuery, service note.Service, response *ResolveResponse) <-chan struct{} {
	response.State = ResolveUnknown
	permit, err := g.currentPermit(q.Service, q.Hash)
	if err != nil || q.IdempotencyKeyHash == (Digest{}) || !g.journalComplete(permit, service.IdempotencyWindow) {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journal.removeExpired(g.now())
	rec := g.journal.find(idKey{q.Service, q.IdempotencyKeyHash}, q.Fingerprint)
	switch {
	case rec == nil:
	case rec.running():
		response.State = ResolveRunning
		return rec.ended()
	case rec.state() == Done:
		response.State, response.Response = ResolveDone, rec.response()
	}
	return nil
}
