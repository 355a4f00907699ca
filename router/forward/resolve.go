package forward

import (
	"context"
	"net/http"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/gate"
)

// MethodResolve is the control method that asks what became of a request.
const MethodResolve = "request.resolve"

// resolution is the answer to a question about a silent request.
type resolution struct {
	answer gate.ResolveResponse
	err    error
}

// resolve asks the owner over a connection of its own. A gate that did not see
// the request bars it, so not_run is final.
func (h *hop) resolve(ctx context.Context) resolution {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	query := gate.ResolveQuery{
		ID:          h.id,
		Service:     h.r.service.Name,
		Hash:        h.r.hash,
		Method:      h.r.in.Method,
		Incarnation: h.record.Holder.Incarnation,
	}
	if h.r.idempotencyKey != "" {
		query.IdempotencyKeyHash = gate.HashIdempotencyKey(h.r.idempotencyKey)
		query.Fingerprint = gate.Fingerprint(h.r.in.Method, h.r.in.URL.RequestURI(), h.r.service.Name, h.r.key)
	}
	var res resolution
	res.err = h.client.o.Peers.CallFresh(ctx, h.record.Holder, MethodResolve, query, &res.answer)
	// The gate forgets ended requests, so an answer that comes late does not
	// prove that the request did not run.
	if res.answer.State == gate.ResolveNotRun && time.Since(h.began) >= res.answer.MaxRequestAge {
		res.answer.State = gate.ResolveUnknown
	}
	return res
}

// settle acts on a resolution. It returns done=false when the attempt goes on.
func (h *hop) settle(ctx context.Context, w http.ResponseWriter, result chan hopResult, res resolution) (done bool, err error) {
	if res.err != nil {
		return false, nil
	}
	name := h.record.Holder.Name
	switch res.answer.State {
	case gate.ResolveRunning:
		return false, nil
	case gate.ResolveNotRun:
		return true, errkind.New(errkind.PeerUnreachable, "the request did not reach host %s", name)
	case gate.ResolveDone:
		return true, h.settleDone(ctx, w, result, res.answer.Response)
	default:
		if got, ok := h.late(ctx, result); ok && got.err == nil {
			return true, h.finish(w, got.resp)
		}
		return true, errkind.New(errkind.OutcomeUnknown, "the connection to host %s is silent and the host does not know the outcome", name)
	}
}

// settleDone delivers the answer of work that ran: the one that is on its way,
// or the kept one.
func (h *hop) settleDone(ctx context.Context, w http.ResponseWriter, result chan hopResult, kept *gate.StoredResponse) error {
	if got, ok := h.late(ctx, result); ok && got.err == nil {
		return h.finish(w, got.resp)
	}
	if kept == nil {
		return errkind.New(errkind.OutcomeUnknown, "the work ran at host %s and its answer was lost", h.record.Holder.Name)
	}
	copyHeaders(w.Header(), endToEnd(kept.Header))
	w.Header().Set(HeaderRequestID, h.id)
	setOwner(w, h.record)
	w.WriteHeader(kept.Status)
	if _, err := w.Write(kept.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// late gives an answer that is on its way a last moment.
func (h *hop) late(ctx context.Context, result chan hopResult) (hopResult, bool) {
	timer := time.NewTimer(lateAnswerGrace)
	defer timer.Stop()
	select {
	case got := <-result:
		return got, true
	case <-timer.C:
		return hopResult{}, false
	case <-ctx.Done():
		return hopResult{}, false
	}
}
