package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// HTTP headers of requests and responses.
const (
	HeaderGroup          = "Burdock-Group"
	HeaderGeneration     = "Burdock-Generation"
	HeaderNotAfter       = "Burdock-Not-After" // Unix microseconds
	HeaderRequestID      = "Burdock-Request-Id"
	HeaderOutcome        = "Burdock-Outcome"
	HeaderError          = "Burdock-Error"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Error kinds of rejections, under the names that routers use.
const (
	errKindLeaseLapsed    = "lease_lapsed"
	errKindOverloaded     = "overloaded"
	errKindBadRequest     = "bad_request"
	errKindTooLarge       = "too_large"
	errKindDeadlinePassed = "deadline_passed"
)

const (
	maxRequestBytes  = 1 << 20
	maxResponseBytes = 8 << 20
	maxGrantBytes    = 16 << 10
)

// EchoResponse is the body of a successful response. It lets a caller verify
// that it received the complete response to its own request.
type EchoResponse struct {
	Upstream       string `json:"upstream"`
	Service        string `json:"service"`
	Key            string `json:"key"`
	Method         string `json:"method"`
	URI            string `json:"uri"` // path and query of the request
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	Group          string `json:"group,omitempty"`
	Generation     uint64 `json:"generation,omitempty"`
	BodyBytes      int    `json:"body_bytes"`
	BodySHA256     string `json:"body_sha256"`
	// Entries is the number of request bodies that the state of the key
	// consists of; StateBytes and StateSHA256 describe the state after the
	// request.
	Entries     int    `json:"entries"`
	StateBytes  int    `json:"state_bytes"`
	StateSHA256 string `json:"state_sha256"`
	// Calls is the number of calls that the request has made.
	Calls int `json:"calls,omitempty"`
	// Padding is the result of the function Padding.
	Padding string `json:"padding,omitempty"`
}

// Padding returns n characters that depend on the request: the hex SHA-256
// digest of method and URI, repeated.
func Padding(method, uri string, n int) string {
	if n <= 0 {
		return ""
	}
	sum := sha256.Sum256([]byte(method + " " + uri))
	digest := hex.EncodeToString(sum[:])
	return strings.Repeat(digest, n/len(digest)+1)[:n]
}

// parsedRequest is a parsed request to a key.
type parsedRequest struct {
	unit Unit
	body []byte
	uri  string // path and query
	// responseBytes is the minimum size of the response, calls are the paths of the calls
	// that the request makes while it runs.
	responseBytes int
	calls         []string
}

// rejection is an error response that states that the work did not run.
type rejection struct {
	status int
	kind   string
	detail string
}

func (r *rejection) Error() string { return r.kind + ": " + r.detail }

// rejectionBody is the problem document of a rejection.
type rejectionBody struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
}

const outcomeNotRun = "not-run"

func writeRejection(w http.ResponseWriter, r *rejection) {
	h := w.Header()
	h.Set(HeaderOutcome, outcomeNotRun)
	h.Set(HeaderError, r.kind)
	if r.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	body, _ := json.Marshal(rejectionBody{Type: "about:blank", Status: r.status, Detail: r.detail, Kind: r.kind, Outcome: outcomeNotRun})
	h.Set("Content-Type", "application/problem+json")
	w.WriteHeader(r.status)
	_, _ = w.Write(append(body, '\n'))
}

// ServeHTTP serves requests to keys, grants, probes and the control paths.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/burdock/grants":
		u.serveGrant(w, r)
	case "/burdock/probe":
		u.serveProbe(w, r)
	case "/burdock/ledger", "/burdock/faults":
		u.serveControl(w, r)
	default:
		u.serveKey(w, r)
	}
}

// serveControl serves the paths that are available while the upstream is
// frozen.
func (u *Upstream) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/burdock/ledger" && r.Method == http.MethodGet:
		u.serveLedger(w, r)
	case r.URL.Path == "/burdock/faults":
		u.serveFaults(w, r)
	default:
		writeError(w, http.StatusNotFound, fmt.Errorf("unknown operation: %s %s", r.Method, r.URL.Path))
	}
}

// serveLedger handles GET /burdock/ledger?after=N. It responds with the units
// whose sequence number is greater than N.
func (u *Upstream) serveLedger(w http.ResponseWriter, r *http.Request) {
	after := int64(0)
	if text := r.URL.Query().Get("after"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, fmt.Errorf("after %q: want a sequence number", text))
			return
		}
		after = n
	}
	writeJSON(w, http.StatusOK, u.ledger.snapshot(u.options.Name, after))
}

func (u *Upstream) serveFaults(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, http.StatusOK, u.Faults())
	case http.MethodPut:
		var f UpstreamFaults
		err := decodeStrict(http.MaxBytesReader(w, r.Body, maxFaultsBytes), &f)
		if err == nil {
			err = u.SetFaults(f)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, err)
			return
		}
		writeJSON(w, http.StatusOK, u.Faults())
	default:
		writeMethodNotAllowed(w, r, "GET, PUT")
	}
}

// serveGrant handles PUT /burdock/grants. Only the fenced kind uses grants; the
// others accept and ignore them.
func (u *Upstream) serveGrant(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		writeMethodNotAllowed(w, r, "PUT")
		return
	}
	var g Grant
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, maxGrantBytes), &g); err != nil {
		writeRejection(w, &rejection{http.StatusBadRequest, errKindBadRequest, err.Error()})
		return
	}
	if err := g.check(); err != nil {
		writeRejection(w, &rejection{http.StatusBadRequest, errKindBadRequest, err.Error()})
		return
	}
	if err := u.faults.awaitUnfrozen(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.options.Kind == KindFenced {
		if err := u.fence.extend(g, u.now().WallMicros); err != nil {
			writeRejection(w, &rejection{http.StatusServiceUnavailable, errKindLeaseLapsed, err.Error()})
			return
		}
	}
	writeJSON(w, http.StatusOK, g)
}

// probeResponse is the body of the response to a probe.
type probeResponse struct {
	Upstream string  `json:"upstream"`
	Load     float64 `json:"load"`
}

// serveProbe handles GET and HEAD /burdock/probe. A probe occupies a slot for
// the probe time.
func (u *Upstream) serveProbe(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeMethodNotAllowed(w, r, "GET, HEAD")
		return
	}
	if err := u.faults.awaitUnfrozen(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !u.acquireSlot() {
		writeRejection(w, &rejection{http.StatusServiceUnavailable, errKindOverloaded, "all slots are taken"})
		return
	}
	defer u.releaseSlot()
	if sleep(r.Context(), u.options.ProbeTime) != nil || u.faults.awaitUnfrozen() != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, probeResponse{Upstream: u.options.Name, Load: u.load()})
}

// serveKey handles a request to a key.
func (u *Upstream) serveKey(w http.ResponseWriter, r *http.Request) {
	req, rejected := u.parse(w, r)
	if rejected != nil {
		writeRejection(w, rejected)
		return
	}
	if err := u.faults.awaitUnfrozen(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.faults.get().Shed || !u.acquireSlot() {
		writeRejection(w, &rejection{http.StatusServiceUnavailable, errKindOverloaded, "all slots are taken"})
		return
	}
	response, err := u.execute(r.Context(), req)
	u.releaseSlot()
	var failed *callError
	switch {
	case errors.As(err, &rejected):
		writeRejection(w, rejected)
		return
	case errors.As(err, &failed):
		writeCallFailure(w, req.uri, failed)
		return
	}
	if err != nil {
		// The sender has disconnected or the upstream is closing.
		panic(http.ErrAbortHandler)
	}
	u.writeResponse(w, r, response, req.responseBytes)
}

// parse reads a request to /{service}/{key}[/rest].
func (u *Upstream) parse(w http.ResponseWriter, r *http.Request) (parsedRequest, *rejection) {
	key, err := u.keyFromURL(r.URL)
	if err != nil {
		return parsedRequest{}, &rejection{http.StatusNotFound, "not_found", err.Error()}
	}
	body, status, err := readBody(w, r, maxRequestBytes)
	if status == http.StatusRequestEntityTooLarge {
		return parsedRequest{}, &rejection{status, errKindTooLarge, err.Error()}
	}
	if err != nil {
		return parsedRequest{}, &rejection{http.StatusBadRequest, errKindBadRequest, err.Error()}
	}
	req := parsedRequest{body: body, uri: r.URL.RequestURI()}
	req.unit = Unit{
		Upstream:       u.options.Name,
		Service:        u.options.Service,
		Key:            key,
		Method:         r.Method,
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Group:          r.Header.Get(HeaderGroup),
	}
	if err := errors.Join(u.parseFenceHeaders(r.Header, &req.unit), u.parseQuery(r.URL.Query(), &req)); err != nil {
		return parsedRequest{}, &rejection{http.StatusBadRequest, errKindBadRequest, err.Error()}
	}
	return req, nil
}

// keyFromURL returns the key of a path /{service}/{key}[/rest].
func (u *Upstream) keyFromURL(l *url.URL) (string, error) {
	parts := strings.SplitN(strings.TrimPrefix(l.EscapedPath(), "/"), "/", 3)
	if len(parts) < 2 {
		return "", fmt.Errorf("path %q: want /{service}/{key}", l.Path)
	}
	service, err := url.PathUnescape(parts[0])
	if err != nil || service != u.options.Service {
		return "", fmt.Errorf("path %q: this upstream serves %q", l.Path, u.options.Service)
	}
	key, err := url.PathUnescape(parts[1])
	if err != nil || key == "" {
		return "", fmt.Errorf("path %q: want a key", l.Path)
	}
	return key, nil
}

// parseFenceHeaders reads the group's generation and the not-after time and
// checks that the headers that the kind requires are present. The plain kind
// requires none and only records them.
func (u *Upstream) parseFenceHeaders(h http.Header, unit *Unit) error {
	var err error
	if text := h.Get(HeaderGeneration); text != "" || u.options.Kind == KindFenced {
		if unit.Generation, err = strconv.ParseUint(text, 10, 64); err != nil || unit.Generation == 0 {
			return fmt.Errorf("header %s: %q: want a generation", HeaderGeneration, text)
		}
	}
	if text := h.Get(HeaderNotAfter); text != "" || u.options.Kind != KindPlain {
		if unit.NotAfterMicros, err = strconv.ParseInt(text, 10, 64); err != nil || unit.NotAfterMicros <= 0 {
			return fmt.Errorf("header %s: %q: want Unix microseconds", HeaderNotAfter, text)
		}
	}
	if unit.Group == "" && u.options.Kind == KindFenced {
		return fmt.Errorf("header %s is missing", HeaderGroup)
	}
	return nil
}

// execute checks that the request may begin, works, and commits if the request
// still may.
func (u *Upstream) execute(ctx context.Context, req parsedRequest) (EchoResponse, error) {
	grant, err := u.checkBegin(req.unit)
	if err != nil {
		return EchoResponse{}, err
	}
	defer u.fence.release(grant)
	req.unit.Start = u.now()
	seq := u.ledger.begin(req.unit)
	workCtx, cancel := u.workContext(ctx, req.unit)
	defer cancel()
	err = u.faults.simulateWork(workCtx, u.workTime())
	if err == nil {
		err = u.makeCalls(workCtx, req.calls)
	}
	if err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), u.now())
		return EchoResponse{}, err
	}
	return u.commit(req, seq, grant)
}

// checkBegin returns an error unless the work may begin. It returns the
// request's grant, which is nil except for the fenced kind.
func (u *Upstream) checkBegin(unit Unit) (*requestGrant, error) {
	nowMicros := u.now().WallMicros
	switch u.options.Kind {
	case KindFenced:
		grant, err := u.fence.begin(unit, nowMicros)
		if err != nil {
			return nil, &rejection{http.StatusServiceUnavailable, errKindLeaseLapsed, err.Error()}
		}
		return grant, nil
	case KindDeadline:
		if nowMicros >= unit.NotAfterMicros {
			return nil, errDeadlinePassed
		}
	}
	return nil, nil
}

// errDeadlinePassed rejects work of the deadline kind; the work had no effect.
var errDeadlinePassed = &rejection{http.StatusServiceUnavailable, errKindDeadlinePassed, "the deadline has passed"}

// workContext returns the context that ends the work: the sender's, with a
// timeout at the not-after time for the deadline kind.
func (u *Upstream) workContext(ctx context.Context, unit Unit) (context.Context, context.CancelFunc) {
	if u.options.IgnoreCancel {
		ctx = u.ctx
	}
	if u.options.Kind != KindDeadline {
		return context.WithCancel(ctx)
	}
	remaining := time.Duration(unit.NotAfterMicros-u.now().WallMicros) * time.Microsecond
	return context.WithTimeoutCause(ctx, remaining, errDeadlinePassed)
}

// commit applies the work while holding the lock of the state, if it still may
// commit. The time at which that is checked is recorded as the time of the
// commit.
func (u *Upstream) commit(req parsedRequest, seq int64, grant *requestGrant) (EchoResponse, error) {
	u.state.mu.Lock()
	defer u.state.mu.Unlock()
	now := u.now()
	if err := u.checkCommit(req.unit, grant, now.WallMicros); err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), now)
		return EchoResponse{}, err
	}
	value, err := u.state.apply(req.unit.Method, req.unit.Key, req.body)
	if err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), now)
		return EchoResponse{}, &rejection{http.StatusServiceUnavailable, errKindOverloaded, err.Error()}
	}
	u.ledger.end(seq, UnitCommitted, "", now)
	return newEchoResponse(req, value), nil
}

// checkCommit returns an error unless the work may commit at nowMicros.
func (u *Upstream) checkCommit(unit Unit, grant *requestGrant, nowMicros int64) error {
	switch u.options.Kind {
	case KindFenced:
		if err := u.fence.checkCommit(grant, nowMicros); err != nil {
			return &rejection{http.StatusServiceUnavailable, errKindLeaseLapsed, err.Error()}
		}
	case KindDeadline:
		if nowMicros >= unit.NotAfterMicros {
			return errDeadlinePassed
		}
	}
	return nil
}

func newEchoResponse(req parsedRequest, value keyValue) EchoResponse {
	body, state := sha256.Sum256(req.body), sha256.Sum256(value.content)
	return EchoResponse{
		Upstream:       req.unit.Upstream,
		Service:        req.unit.Service,
		Key:            req.unit.Key,
		Method:         req.unit.Method,
		URI:            req.uri,
		RequestID:      req.unit.RequestID,
		IdempotencyKey: req.unit.IdempotencyKey,
		Group:          req.unit.Group,
		Generation:     req.unit.Generation,
		BodyBytes:      len(req.body),
		BodySHA256:     hex.EncodeToString(body[:]),
		Entries:        value.entries,
		StateBytes:     len(value.content),
		StateSHA256:    hex.EncodeToString(state[:]),
		Calls:          len(req.calls),
	}
}

// writeResponse writes the response, delayed or truncated if a fault requires
// it.
func (u *Upstream) writeResponse(w http.ResponseWriter, r *http.Request, response EchoResponse, minBytes int) {
	truncate, delay := u.faults.responseFault()
	if sleep(r.Context(), delay) != nil || u.faults.awaitUnfrozen() != nil {
		panic(http.ErrAbortHandler)
	}
	body := encodeResponse(response, minBytes)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// encodeResponse encodes the response, padded to minBytes.
func encodeResponse(response EchoResponse, minBytes int) []byte {
	// Encoding a struct of strings and numbers does not fail.
	body, _ := json.Marshal(response)
	const paddingField = len(`,"padding":""`)
	if missing := minBytes - len(body); missing > 0 {
		response.Padding = Padding(response.Method, response.URI, max(missing-paddingField, 1))
		body, _ = json.Marshal(response)
	}
	return bytes.Clone(body)
}
