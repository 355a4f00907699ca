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

// Headers of requests and answers.
const (
	HeaderGroup          = "Burdock-Group"
	HeaderGeneration     = "Burdock-Generation"
	HeaderNotAfter       = "Burdock-Not-After" // Unix microseconds
	HeaderRequestID      = "Burdock-Request-Id"
	HeaderOutcome        = "Burdock-Outcome"
	HeaderError          = "Burdock-Error"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Error kinds of the upstream's refusals, as routers name them.
const (
	errorLeaseLapsed = "lease_lapsed"
	errorOverloaded  = "overloaded"
	errorBadRequest  = "bad_request"
	errorTooLarge    = "too_large"
	errorDeadline    = "deadline_passed"
)

const (
	maxRequestBytes  = 1 << 20
	maxResponseBytes = 8 << 20
	maxGrantBytes    = 16 << 10
)

// EchoResponse is the body of an upstream's answer. It lets a caller check that
// it got the whole answer to its own request.
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
	// Entries counts the bodies that the key's state is made of; StateSHA256
	// is the digest of the state after the request.
	Entries     int    `json:"entries"`
	StateBytes  int    `json:"state_bytes"`
	StateSHA256 string `json:"state_sha256"`
	// Padding repeats the digest of method and URI; see Padding.
	Padding string `json:"padding,omitempty"`
}

// Padding returns n characters that depend on the request: the hex digest of
// method and URI, repeated.
func Padding(method, uri string, n int) string {
	if n <= 0 {
		return ""
	}
	sum := sha256.Sum256([]byte(method + " " + uri))
	digest := hex.EncodeToString(sum[:])
	return strings.Repeat(digest, n/len(digest)+1)[:n]
}

// call is a parsed request.
type call struct {
	unit Unit
	body []byte
	uri  string
}

// refusal is an answer that says that the work did not run.
type refusal struct {
	status int
	kind   string
	detail string
}

func (r *refusal) Error() string { return r.kind + ": " + r.detail }

// refusalBody is the body of a refusal.
type refusalBody struct {
	Type    string `json:"type"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
}

const outcomeNotRun = "not-run"

func writeRefusal(w http.ResponseWriter, r *refusal) {
	h := w.Header()
	h.Set(HeaderOutcome, outcomeNotRun)
	h.Set(HeaderError, r.kind)
	if r.status == http.StatusServiceUnavailable {
		h.Set("Retry-After", "1")
	}
	body, _ := json.Marshal(refusalBody{Type: "about:blank", Status: r.status, Detail: r.detail, Kind: r.kind, Outcome: outcomeNotRun})
	h.Set("Content-Type", "application/problem+json")
	w.WriteHeader(r.status)
	_, _ = w.Write(append(body, '\n'))
}

// ServeHTTP serves requests to keys, grants and the control paths.
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

// serveControl serves the paths that work while the upstream is frozen.
func (u *Upstream) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/burdock/ledger" && r.Method == http.MethodGet:
		u.serveLedger(w, r)
	case r.URL.Path == "/burdock/faults":
		u.serveFaults(w, r)
	default:
		writeError(w, http.StatusNotFound, fmt.Errorf("no such operation: %s %s", r.Method, r.URL.Path))
	}
}

// serveLedger answers GET /burdock/ledger?after=, where after is a sequence
// number.
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
		refuseMethod(w, r, "GET, PUT")
	}
}

// serveGrant answers PUT /burdock/grants. Only the fenced kind uses grants;
// the others accept and ignore them.
func (u *Upstream) serveGrant(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		refuseMethod(w, r, "PUT")
		return
	}
	var g Grant
	if err := decodeStrict(http.MaxBytesReader(w, r.Body, maxGrantBytes), &g); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, errorBadRequest, err.Error()})
		return
	}
	if err := g.check(); err != nil {
		writeRefusal(w, &refusal{http.StatusBadRequest, errorBadRequest, err.Error()})
		return
	}
	if err := u.faults.thawed(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.options.Kind == KindFenced {
		if err := u.fence.extend(g, u.now().WallMicros); err != nil {
			writeRefusal(w, &refusal{http.StatusServiceUnavailable, errorLeaseLapsed, err.Error()})
			return
		}
	}
	writeJSON(w, http.StatusOK, g)
}

// probeAnswer is the body of an answer to a probe.
type probeAnswer struct {
	Upstream string  `json:"upstream"`
	Load     float64 `json:"load"`
}

// serveProbe answers GET and HEAD /burdock/probe. A probe holds a slot for its
// cost.
func (u *Upstream) serveProbe(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		refuseMethod(w, r, "GET, HEAD")
		return
	}
	if err := u.faults.thawed(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !u.enter() {
		writeRefusal(w, &refusal{http.StatusServiceUnavailable, errorOverloaded, "all slots are taken"})
		return
	}
	defer u.leave()
	if pass(r.Context(), u.options.ProbeTime) != nil || u.faults.thawed() != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, probeAnswer{Upstream: u.options.Name, Load: u.load()})
}

// serveKey runs one request.
func (u *Upstream) serveKey(w http.ResponseWriter, r *http.Request) {
	c, refused := u.parse(w, r)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	if err := u.faults.thawed(); err != nil {
		panic(http.ErrAbortHandler)
	}
	if u.faults.get().Shed || !u.enter() {
		writeRefusal(w, &refusal{http.StatusServiceUnavailable, errorOverloaded, "all slots are taken"})
		return
	}
	answer, err := u.run(r.Context(), c)
	u.leave()
	if errors.As(err, &refused) {
		writeRefusal(w, refused)
		return
	}
	if err != nil {
		// The sender has left or the upstream is closing.
		panic(http.ErrAbortHandler)
	}
	u.writeAnswer(w, r, answer)
}

// parse reads a request to /{service}/{key}[/rest].
func (u *Upstream) parse(w http.ResponseWriter, r *http.Request) (call, *refusal) {
	key, err := u.keyOf(r.URL)
	if err != nil {
		return call{}, &refusal{http.StatusNotFound, "not_found", err.Error()}
	}
	body, status, err := readBody(w, r, maxRequestBytes)
	if status == http.StatusRequestEntityTooLarge {
		return call{}, &refusal{status, errorTooLarge, err.Error()}
	}
	if err != nil {
		return call{}, &refusal{http.StatusBadRequest, errorBadRequest, err.Error()}
	}
	c := call{body: body, uri: r.URL.RequestURI()}
	c.unit = Unit{
		Upstream:       u.options.Name,
		Service:        u.options.Service,
		Key:            key,
		Method:         r.Method,
		RequestID:      r.Header.Get(HeaderRequestID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Group:          r.Header.Get(HeaderGroup),
	}
	if err := u.parseFence(r.Header, &c.unit); err != nil {
		return call{}, &refusal{http.StatusBadRequest, errorBadRequest, err.Error()}
	}
	return c, nil
}

func (u *Upstream) keyOf(l *url.URL) (string, error) {
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

// parseFence reads the headers that the kind needs. A plain upstream records
// what it is sent and needs none.
func (u *Upstream) parseFence(h http.Header, unit *Unit) error {
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

// run checks the right to begin, works, and commits when the right still
// stands.
func (u *Upstream) run(ctx context.Context, c call) (EchoResponse, error) {
	grant, err := u.mayBegin(c.unit)
	if err != nil {
		return EchoResponse{}, err
	}
	defer u.fence.release(grant)
	c.unit.Start = u.now()
	seq := u.ledger.begin(c.unit)
	workCtx, cancel := u.workContext(ctx, c.unit)
	defer cancel()
	if err := u.faults.work(workCtx, u.workTime()); err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), u.now())
		return EchoResponse{}, err
	}
	return u.commit(c, seq, grant)
}

// mayBegin checks the right to begin. It returns the request's grant, which only
// the fenced kind has.
func (u *Upstream) mayBegin(unit Unit) (*requestGrant, error) {
	at := u.now().WallMicros
	switch u.options.Kind {
	case KindFenced:
		grant, err := u.fence.begin(unit, at)
		if err != nil {
			return nil, &refusal{http.StatusServiceUnavailable, errorLeaseLapsed, err.Error()}
		}
		return grant, nil
	case KindDeadline:
		if at >= unit.NotAfterMicros {
			return nil, errDeadlinePassed
		}
	}
	return nil, nil
}

// errDeadlinePassed refuses work of the deadline kind; it had no effect.
var errDeadlinePassed = &refusal{http.StatusServiceUnavailable, errorDeadline, "the deadline has passed"}

// workContext returns the context that stops the work: the sender's, and for
// the deadline kind the deadline.
func (u *Upstream) workContext(ctx context.Context, unit Unit) (context.Context, context.CancelFunc) {
	if u.options.IgnoreCancel {
		ctx = u.ctx
	}
	if u.options.Kind != KindDeadline {
		return context.WithCancel(ctx)
	}
	left := time.Duration(unit.NotAfterMicros-u.now().WallMicros) * time.Microsecond
	return context.WithTimeoutCause(ctx, left, errDeadlinePassed)
}

// commit applies the work under the lock of the state. The moment at which the
// right was checked is the moment of the commit.
func (u *Upstream) commit(c call, seq int64, grant *requestGrant) (EchoResponse, error) {
	u.state.mu.Lock()
	defer u.state.mu.Unlock()
	at := u.now()
	if err := u.mayCommit(c.unit, grant, at.WallMicros); err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), at)
		return EchoResponse{}, err
	}
	value, err := u.state.apply(c.unit.Method, c.unit.Key, c.body)
	if err != nil {
		u.ledger.end(seq, UnitAbandoned, err.Error(), at)
		return EchoResponse{}, &refusal{http.StatusServiceUnavailable, errorOverloaded, err.Error()}
	}
	u.ledger.end(seq, UnitCommitted, "", at)
	return echo(c, value), nil
}

func (u *Upstream) mayCommit(unit Unit, grant *requestGrant, at int64) error {
	switch u.options.Kind {
	case KindFenced:
		if err := u.fence.allows(grant, at); err != nil {
			return &refusal{http.StatusServiceUnavailable, errorLeaseLapsed, err.Error()}
		}
	case KindDeadline:
		if at >= unit.NotAfterMicros {
			return errDeadlinePassed
		}
	}
	return nil
}

func echo(c call, value keyValue) EchoResponse {
	body, state := sha256.Sum256(c.body), sha256.Sum256(value.content)
	return EchoResponse{
		Upstream:       c.unit.Upstream,
		Service:        c.unit.Service,
		Key:            c.unit.Key,
		Method:         c.unit.Method,
		URI:            c.uri,
		RequestID:      c.unit.RequestID,
		IdempotencyKey: c.unit.IdempotencyKey,
		Group:          c.unit.Group,
		Generation:     c.unit.Generation,
		BodyBytes:      len(c.body),
		BodySHA256:     hex.EncodeToString(body[:]),
		Entries:        value.entries,
		StateBytes:     len(value.content),
		StateSHA256:    hex.EncodeToString(state[:]),
	}
}

// writeAnswer writes the answer late or cut when a fault says so.
func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request, answer EchoResponse) {
	cut, late := u.faults.answerFate()
	if pass(r.Context(), late) != nil || u.faults.thawed() != nil {
		panic(http.ErrAbortHandler)
	}
	body := u.encode(answer)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if !cut {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// encode pads the answer to the configured size.
func (u *Upstream) encode(answer EchoResponse) []byte {
	// Encoding a struct of strings and numbers does not fail.
	body, _ := json.Marshal(answer)
	const paddingField = len(`,"padding":""`)
	if missing := u.options.MinResponseBytes - len(body) - paddingField; missing > 0 {
		answer.Padding = Padding(answer.Method, answer.URI, missing)
		body, _ = json.Marshal(answer)
	}
	return bytes.Clone(body)
}
