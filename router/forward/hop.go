package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/connguard"
	"burdockglade.dev/router/connlimit"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/responsehead"
)

// hopPrefix is the path prefix of requests between routers.
const hopPrefix = "/hop"

// Timeouts and limits of requests between routers.
const (
	hopDialTimeout        = 300 * time.Millisecond
	hopIdleTimeout        = 30 * time.Second
	maxIdleHopConns       = 64
	expectContinueTimeout = time.Second
	maxRefusalBytes       = 256 << 10
	resolveTimeout        = 2 * time.Second
	minResolveDelay       = 400 * time.Millisecond
	maxResolveDelay       = time.Second
	resolveDelayDivisor   = 4 // the owner is queried after 1/resolveDelayDivisor of the remaining time
	lateResponseTimeout   = 200 * time.Millisecond
	hopWriteBufferBytes   = 16 << 10
	maxHopHeaderBytes     = 256 << 10
	streamBufferBytes     = 32 << 10
)

// hopClient sends requests to the routers of owners.
type hopClient struct {
	opts  Options
	stats *stats
	http  *responsehead.Transport
}

func newHopClient(opts Options, stats *stats) *hopClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    maxIdleHopConns,
		IdleConnTimeout:        hopIdleTimeout,
		ExpectContinueTimeout:  expectContinueTimeout,
		MaxResponseHeaderBytes: maxHopHeaderBytes,
		WriteBufferSize:        hopWriteBufferBytes,
		DisableCompression:     true,
	}
	return &hopClient{opts: opts, stats: stats, http: responsehead.NewTransport(transport, &net.Dialer{Timeout: hopDialTimeout})}
}

// refusal is the body of a refusal sent from the owner's router to the entry.
type refusal struct {
	Kind       errkind.Kind     `json:"kind"`
	Detail     string           `json:"detail"`
	RetryAfter time.Duration    `json:"retry_after"`
	Record     *ownership.Group `json:"record,omitempty"`
}

// wrongOwnerError is a refusal by a host that does not own the key. record is the
// newest record known to that host, or nil.
type wrongOwnerError struct {
	record *ownership.Group
}

// Error implements error.
func (e *wrongOwnerError) Error() string {
	if e.record == nil {
		return "the host does not own the key"
	}
	return fmt.Sprintf("the key belongs to host %s at generation %d", e.record.Holder.Name, e.record.Generation)
}

// errNoConnection marks an attempt that failed because no connection could be
// established, as opposed to a request that did not reach a live host.
var errNoConnection = errors.New("no connection")

// attemptID returns the id of attempt n of a request.
func attemptID(id string, n int) string {
	return id + "." + strconv.Itoa(n)
}

// hopResult is a response whose headers have arrived, or the error of the round
// trip.
type hopResult struct {
	resp *http.Response
	err  error
}

// hop is one attempt at the router of an owner.
type hop struct {
	client *hopClient
	r      *request
	record *ownership.Group
	id     string
	// startedAt is the start of the attempt, before the request was sent.
	startedAt time.Time
	// sent is set once the attempt has a connection: from then on the owner may
	// have received the request.
	sent atomic.Bool
}

// send makes attempt n at the router of the record's holder. It returns nil if the
// caller has received a response.
func (c *hopClient) send(ctx context.Context, w http.ResponseWriter, r *request, record *ownership.Group, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hop{client: c, r: r, record: record, id: attemptID(r.id, n), startedAt: time.Now()}
	result := make(chan hopResult, 1)
	req, err := h.newRequest(ctx)
	if err != nil {
		return err
	}
	go func() {
		resp, err := c.http.RoundTrip(req)
		result <- hopResult{resp, err}
	}()
	return h.await(ctx, w, result)
}

func (h *hop) newRequest(ctx context.Context) (*http.Request, error) {
	in := h.r.in
	target := &url.URL{Scheme: "http", Host: h.record.Holder.HopAddr}
	target.Path = hopPrefix + in.URL.Path
	target.RawPath = hopPrefix + in.URL.EscapedPath()
	target.RawQuery = in.URL.RawQuery
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { h.sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.Method, target.String(), nil)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "path: %w", err)
	}
	// net/http does not retry a request whose body has no GetBody.
	req.Body = countBytes(h.r.body.open(), h.client.stats.hopBytes(h.r.service.Name, h.record.Holder.Name, sentBytes))
	req.ContentLength = h.r.body.length
	if h.r.body.stream != nil {
		req.Header.Set(headerExpect, expectContinue)
	}
	header := endToEndHeaders(in.Header)
	header.Del(HeaderIdempotencyKey)
	for name, values := range header {
		req.Header[name] = values
	}
	h.setHeaders(req.Header)
	return req, nil
}

func (h *hop) setHeaders(header http.Header) {
	r := h.r
	header.Set(headerHopToken, h.client.opts.HopToken)
	header.Set(headerAttempt, h.id)
	header.Set(headerDeadline, strconv.FormatInt(max(time.Until(r.deadline).Milliseconds(), 1), 10))
	header.Set(headerKnownGroup, h.record.ID)
	header.Set(headerKnownGeneration, strconv.FormatUint(h.record.Generation, 10))
	if region := h.client.opts.Region; region != "" {
		header.Set(headerHopRegion, region)
	}
	if r.tenant != "" {
		header.Set(headerHopTenant, r.tenant)
	}
	if r.idempotencyKey != "" {
		// net/http retries requests that have the header Idempotency-Key, so the
		// key is sent in another header.
		header.Set(headerHopIdempotency, r.idempotencyKey)
	}
}

// await waits for the response headers. If they do not arrive in time, it queries
// the owner over a new connection for the state of the request, in case the
// connection is broken without an error. Two consecutive failed queries end the
// attempt.
func (h *hop) await(ctx context.Context, w http.ResponseWriter, result chan hopResult) error {
	resolveTimer := time.NewTimer(resolveDelay(time.Until(h.r.deadline)))
	defer resolveTimer.Stop()
	var resolved chan resolution
	var resolveFailed bool
	for {
		select {
		case got := <-result:
			if got.err == nil {
				return h.deliver(w, got.resp)
			}
			return h.attemptError(ctx, got.err)
		case <-resolveTimer.C:
			if !h.sent.Load() {
				resolveTimer.Reset(minResolveDelay)
				continue
			}
			resolved = make(chan resolution, 1)
			go func() { resolved <- h.resolve(ctx) }()
		case res := <-resolved:
			done, err := h.applyResolution(ctx, w, result, res)
			if done {
				return err
			}
			if resolveFailed && res.err != nil {
				return errkind.New(errkind.OutcomeUnknown, "host %s does not respond: %w", h.record.Holder.Name, res.err)
			}
			resolveFailed = res.err != nil
			resolveTimer.Reset(minResolveDelay)
		}
	}
}

// resolveDelay returns how long to wait for the response headers before the owner
// is queried, given the time remaining until the request's deadline.
func resolveDelay(remaining time.Duration) time.Duration {
	return min(max(remaining/resolveDelayDivisor, minResolveDelay), maxResolveDelay)
}

// attemptError classifies err, the error of an attempt that ended without response
// headers.
func (h *hop) attemptError(ctx context.Context, err error) error {
	if isBodyTooLarge(err) {
		return h.bodyTooLargeError(ctx)
	}
	if errors.Is(err, responsehead.ErrBroken) {
		h.client.opts.Log.Log(evHopBroken, event.F("request", h.id), event.F("host", h.record.Holder.Name),
			event.F("address", h.record.Holder.HopAddr), event.F("error", err.Error()))
		// The error quotes a line that may belong to the response to another caller.
		return errkind.New(errkind.OutcomeUnknown, "host %s responded with a broken head", h.record.Holder.Name)
	}
	if !h.sent.Load() {
		if ctx.Err() != nil {
			return h.r.contextError(ctx)
		}
		return errkind.New(errkind.PeerUnreachable, "host %s: %w", h.record.Holder.Name, errors.Join(errNoConnection, err))
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.OutcomeUnknown, "host %s did not respond before the deadline: %w", h.record.Holder.Name, err)
	}
	if h.r.retrySafe() {
		return errkind.New(errkind.OutcomeUnknown, "connection to host %s broke: %w", h.record.Holder.Name, err)
	}
	res := h.resolve(ctx)
	if res.err == nil && res.response.State == gate.ResolveNotRun {
		return errkind.New(errkind.PeerUnreachable, "connection to host %s broke before the request arrived: %w", h.record.Holder.Name, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "connection to host %s broke: %w", h.record.Holder.Name, err)
}

// bodyTooLargeError returns the error of a request whose streamed body exceeds the
// limit. It queries the owner, because the work may have begun with the part of the
// body that was sent.
func (h *hop) bodyTooLargeError(ctx context.Context) error {
	res := h.resolve(ctx)
	if res.err == nil && res.response.State == gate.ResolveNotRun {
		return errkind.New(errkind.TooLarge, "the body is above %d bytes", h.r.service.MaxBody)
	}
	return errkind.New(errkind.OutcomeUnknown, "the body is above %d bytes and a part of it was sent", h.r.service.MaxBody)
}

// deliver sends the owner's response to the caller, or returns the owner's refusal.
func (h *hop) deliver(w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if err := overloadRefusal(resp.Header); err != nil {
		return err
	}
	if resp.Header.Get(HeaderRequestID) != h.id {
		return errkind.New(errkind.OutcomeUnknown, "host %s responded to request %q instead of %q", h.record.Holder.Name, resp.Header.Get(HeaderRequestID), h.id)
	}
	if resp.Header.Get(HeaderRefusal) != "" {
		return readRefusal(resp)
	}
	connguard.ChargeResponse(h.r.in.Context(), streamBufferBytes)
	copyHeaders(w.Header(), endToEndHeaders(resp.Header))
	w.Header().Set(HeaderRequestID, h.id)
	setOwnerHeaders(w, h.record)
	w.WriteHeader(resp.StatusCode)
	received := h.client.stats.hopBytes(h.r.service.Name, h.record.Holder.Name, receivedBytes)
	if err := h.copyBody(w, countBytes(resp.Body, received), resp.ContentLength < 0); err != nil {
		// Aborts the connection, so that the caller does not take a truncated
		// response for a complete one.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyBody copies the response body to the caller. A body of unknown length may be
// a stream, so each part is flushed immediately; a body of known length is sent
// when buffers are full.
func (h *hop) copyBody(w http.ResponseWriter, body io.Reader, stream bool) error {
	control := http.NewResponseController(w)
	// Ends the copy if the caller no longer reads. The deadline is removed
	// afterwards because the connection may carry further requests.
	if control.SetWriteDeadline(h.r.deadline) == nil {
		defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	}
	if !stream {
		_, err := io.Copy(w, body)
		return err
	}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// overloadRefusal returns the error of a refusal by the limits on connections of the owner's
// router, or nil. The router has not read the request, and so does not know its id.
func overloadRefusal(header http.Header) error {
	if header.Get(HeaderRequestID) != "" || header.Get(HeaderRefusal) != string(errkind.Overloaded) {
		return nil
	}
	err := errkind.New(errkind.Overloaded, "the owner's router has no capacity left for the request")
	err.RetryAfter = connlimit.RefusalRetry
	return markOwnerRefusal(err)
}

func readRefusal(resp *http.Response) error {
	var f refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&f); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "decoding the refusal: %w", err)
	}
	return f.err()
}

func (f refusal) err() error {
	e := &errkind.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}
	if f.Kind == errkind.WrongOwner {
		e.Err = &wrongOwnerError{record: f.Record}
	}
	return markOwnerRefusal(e)
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func setOwnerHeaders(w http.ResponseWriter, record *ownership.Group) {
	w.Header().Set(HeaderOwner, record.Holder.Name)
	w.Header().Set(HeaderGeneration, strconv.FormatUint(record.Generation, 10))
}

func clearOwnerHeaders(w http.ResponseWriter) {
	w.Header().Del(HeaderOwner)
	w.Header().Del(HeaderGeneration)
}

// trimHopPrefix returns path without the hop prefix.
func trimHopPrefix(path string) string {
	return strings.TrimPrefix(path, hopPrefix)
}
