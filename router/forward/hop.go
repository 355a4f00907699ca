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

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/ownership"
)

// hopPrefix is the path prefix of requests from routers.
const hopPrefix = "/hop"

// Times and limits of requests between routers.
const (
	hopDialTimeout       = 300 * time.Millisecond
	hopIdleTimeout       = 30 * time.Second
	hopIdlePerHost       = 64
	hopContinueTimeout   = time.Second
	maxRefusalBytes      = 256 << 10
	resolveTimeout       = 2 * time.Second
	minSilence           = 400 * time.Millisecond
	maxSilence           = time.Second
	silenceShare         = 4 // silence is noticed after this part of the remaining time
	lateAnswerGrace      = 200 * time.Millisecond
	hopWriteBufferBytes  = 16 << 10
	hopResponseHeaderMax = 256 << 10
	streamBufferBytes    = 32 << 10
)

// hopClient sends requests to the routers of owners.
type hopClient struct {
	o     Options
	stats *stats
	http  http.RoundTripper
}

func newHopClient(o Options, stats *stats) *hopClient {
	return &hopClient{o: o, stats: stats, http: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: hopDialTimeout}).DialContext,
		MaxIdleConnsPerHost:    hopIdlePerHost,
		IdleConnTimeout:        hopIdleTimeout,
		ExpectContinueTimeout:  hopContinueTimeout,
		MaxResponseHeaderBytes: hopResponseHeaderMax,
		WriteBufferSize:        hopWriteBufferBytes,
		DisableCompression:     true,
	}}
}

// refusal is the body of a refusal between routers.
type refusal struct {
	Kind       errkind.Kind     `json:"kind"`
	Detail     string           `json:"detail"`
	RetryAfter time.Duration    `json:"retry_after"`
	Record     *ownership.Group `json:"record,omitempty"`
}

// wrongOwnerError carries the record that the refusing gate knows.
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

// errNoConnection marks an attempt for which no connection could be made, as
// opposed to one that did not reach a host that lives.
var errNoConnection = errors.New("no connection")

func attemptID(id string, n int) string {
	return id + "." + strconv.Itoa(n)
}

// hopResult is the end of the wait for response headers.
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
	// began is when the attempt began; the request was sent later.
	began time.Time
	// sent is set when a connection was chosen: from then on the owner may
	// have received the request.
	sent atomic.Bool
}

// send makes one attempt. It returns nil when the caller has its answer.
func (c *hopClient) send(ctx context.Context, w http.ResponseWriter, r *request, record *ownership.Group, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hop{client: c, r: r, record: record, id: attemptID(r.id, n), began: time.Now()}
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
	// A body without GetBody keeps net/http from sending the request again by
	// itself.
	req.Body = counted(h.r.body.open(), h.client.stats.hopBytes(h.r.service.Name, h.record.Holder.Name, sentBytes))
	req.ContentLength = h.r.body.length
	if h.r.body.stream != nil {
		req.Header.Set(headerExpect, expectContinue)
	}
	header := endToEnd(in.Header)
	header.Del(HeaderIdempotencyKey)
	for name, values := range header {
		req.Header[name] = values
	}
	h.setHeaders(req.Header)
	return req, nil
}

func (h *hop) setHeaders(header http.Header) {
	r := h.r
	header.Set(headerAuthorization, h.client.o.HopToken)
	header.Set(headerAttempt, h.id)
	header.Set(headerDeadline, strconv.FormatInt(max(time.Until(r.deadline).Milliseconds(), 1), 10))
	header.Set(headerBeliefGroup, h.record.ID)
	header.Set(headerBeliefGen, strconv.FormatUint(h.record.Generation, 10))
	if region := h.client.o.Region; region != "" {
		header.Set(headerHopRegion, region)
	}
	if r.tenant != "" {
		header.Set(headerHopTenant, r.tenant)
	}
	if r.idempotencyKey != "" {
		// net/http repeats requests that carry Idempotency-Key by itself, so
		// the key travels under another name.
		header.Set(headerHopIdempotency, r.idempotencyKey)
	}
}

// await waits for the response headers. When they do not come for a while, it
// asks the owner over a new connection what became of the request.
func (h *hop) await(ctx context.Context, w http.ResponseWriter, result chan hopResult) error {
	silence := time.NewTimer(silenceAfter(time.Until(h.r.deadline)))
	defer silence.Stop()
	var resolved chan resolution
	var resolveFailed bool
	for {
		select {
		case got := <-result:
			if got.err == nil {
				return h.finish(w, got.resp)
			}
			return h.failed(ctx, got.err)
		case <-silence.C:
			if !h.sent.Load() {
				silence.Reset(minSilence)
				continue
			}
			resolved = make(chan resolution, 1)
			go func() { resolved <- h.resolve(ctx) }()
		case res := <-resolved:
			done, err := h.settle(ctx, w, result, res)
			if done {
				return err
			}
			if resolveFailed && res.err != nil {
				return errkind.New(errkind.OutcomeUnknown, "host %s is silent: %w", h.record.Holder.Name, res.err)
			}
			resolveFailed = res.err != nil
			silence.Reset(minSilence)
		}
	}
}

func silenceAfter(remaining time.Duration) time.Duration {
	return min(max(remaining/silenceShare, minSilence), maxSilence)
}

// failed classifies an attempt that ended without response headers.
func (h *hop) failed(ctx context.Context, err error) error {
	if tooLarge(err) {
		return h.streamTooLarge(ctx)
	}
	if !h.sent.Load() {
		if ctx.Err() != nil {
			return h.r.contextError(ctx)
		}
		return errkind.New(errkind.PeerUnreachable, "host %s: %w", h.record.Holder.Name, errors.Join(errNoConnection, err))
	}
	if ctx.Err() != nil {
		return errkind.New(errkind.OutcomeUnknown, "host %s did not answer in time: %w", h.record.Holder.Name, err)
	}
	if h.r.repeatable() {
		return errkind.New(errkind.OutcomeUnknown, "connection to host %s broke: %w", h.record.Holder.Name, err)
	}
	res := h.resolve(ctx)
	if res.err == nil && res.answer.State == gate.ResolveNotRun {
		return errkind.New(errkind.PeerUnreachable, "connection to host %s broke before the request arrived: %w", h.record.Holder.Name, err)
	}
	return errkind.New(errkind.OutcomeUnknown, "connection to host %s broke: %w", h.record.Holder.Name, err)
}

// streamTooLarge asks the owner whether the work of a request with an oversized
// body began, so that the refusal is true.
func (h *hop) streamTooLarge(ctx context.Context) error {
	res := h.resolve(ctx)
	if res.err == nil && res.answer.State == gate.ResolveNotRun {
		return errkind.New(errkind.TooLarge, "the body is above %d bytes", h.r.service.MaxBody)
	}
	return errkind.New(errkind.OutcomeUnknown, "the body is above %d bytes and a part of it was sent", h.r.service.MaxBody)
}

// finish passes the answer to the caller or returns the owner's refusal.
func (h *hop) finish(w http.ResponseWriter, resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderRequestID) != h.id {
		return errkind.New(errkind.OutcomeUnknown, "host %s answered request %q in place of %q", h.record.Holder.Name, resp.Header.Get(HeaderRequestID), h.id)
	}
	if resp.Header.Get(headerRefusal) != "" {
		return readRefusal(resp)
	}
	copyHeaders(w.Header(), endToEnd(resp.Header))
	w.Header().Set(HeaderRequestID, h.id)
	setOwner(w, h.record)
	w.WriteHeader(resp.StatusCode)
	received := h.client.stats.hopBytes(h.r.service.Name, h.record.Holder.Name, receivedBytes)
	if err := h.copyBody(w, counted(resp.Body, received), resp.ContentLength < 0); err != nil {
		// The caller must not take a partial answer for a whole one.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// copyBody passes the answer's body on. Each part of a body of unknown length
// is sent at once, because it may be a stream; a body of known length is sent as
// buffers fill up.
func (h *hop) copyBody(w http.ResponseWriter, body io.Reader, stream bool) error {
	control := http.NewResponseController(w)
	// Ends a copy to a caller whose connection went silent. The deadline is
	// removed because the connection may carry further requests.
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

func readRefusal(resp *http.Response) error {
	var f refusal
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBytes)).Decode(&f); err != nil {
		return errkind.New(errkind.OutcomeUnknown, "refusal does not decode: %w", err)
	}
	return f.err()
}

func (f refusal) err() error {
	e := &errkind.Error{Kind: f.Kind, Detail: f.Detail, RetryAfter: f.RetryAfter}
	if f.Kind == errkind.WrongOwner {
		e.Err = &wrongOwnerError{record: f.Record}
	}
	return fromOwner(e)
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

func setOwner(w http.ResponseWriter, record *ownership.Group) {
	w.Header().Set(HeaderOwner, record.Holder.Name)
	w.Header().Set(HeaderGeneration, strconv.FormatUint(record.Generation, 10))
}

func clearOwner(w http.ResponseWriter) {
	w.Header().Del(HeaderOwner)
	w.Header().Del(HeaderGeneration)
}

// rest returns the path below the hop prefix.
func rest(path string) string {
	return strings.TrimPrefix(path, hopPrefix)
}
