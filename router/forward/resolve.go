package forward

import (
	"context"
	"net/http"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/gate"
)

// MethodResolve is the control method that returns the state of a request.
const MethodResolve = "request.resolve"

// resolution is the result of a MethodResolve call.
type resolution struct {
	response gate.ResolveResponse
	err      error
}

// resolve queries the owner for the state of the request over a new connection. A
// gate that has not received the request cancels it, so that not_run is final.
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
	res.err = h.client.opts.Peers.CallFresh(ctx, h.record.Holder, MethodResolve, query, &res.response)
	// The gate may remove completed requests that are older than MaxRequestAge, so
	// for these not_run does not prove that the request did not run.
	if res.response.State == gate.ResolveNotRun && time.Since(h.startedAt) >= res.response.MaxRequestAge {
		res.response.State = gate.ResolveUnknown
	}
	return res
}

// applyResolution ends the attempt according to res. It returns done=false if the
// attempt continues.
func (h *hop) applyResolution(ctx context.Context, w http.ResponseWriter, result chan hopResult, res resolution) (done bool, err error) {
	if res.err != nil {
		return false, nil
	}
	name := h.record.Holder.Name
	switch res.response.State {
	case gate.ResolveRunning:
		return false, nil
	case gate.ResolveNotRun:
		return true, errkind.New(errkind.PeerUnreachable, "the request did not reach host %s", name)
	case gate.ResolveDone:
		return true, h.deliverCompleted(ctx, w, result, res.response.Response)
	default:
		if got, ok := h.awaitLateResponse(ctx, result); ok && got.err == nil {
			return true, h.deliver(w, got.resp)
		}
		return true, errkind.New(errkind.OutcomeUnknown, "no response arrived from host %s and the host does not know the outcome", name)
	}
}

// deliverCompleted sends the response of completed work to the caller: the one that
// is still arriving on the attempt's connection, or else the stored one.
func (h *hop) deliverCompleted(ctx context.Context, w http.ResponseWriter, result chan hopResult, stored *gate.StoredResponse) error {
	if got, ok := h.awaitLateResponse(ctx, result); ok && got.err == nil {
		return h.deliver(w, got.resp)
	}
	if stored == nil {
		return errkind.New(errkind.OutcomeUnknown, "the work ran at host %s and its response was lost", h.record.Holder.Name)
	}
	copyHeaders(w.Header(), endToEndHeaders(stored.Header))
	w.Header().Set(HeaderRequestID, h.id)
	setOwnerHeaders(w, h.record)
	w.WriteHeader(stored.Status)
	if _, err := w.Write(stored.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// awaitLateResponse waits up to lateResponseTimeout for a response that is still
// arriving.
func (h *hop) awaitLateResponse(ctx context.Context, result chan hopResult) (hopResult, bool) {
	timer := time.NewTimer(lateResponseTimeout)
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
