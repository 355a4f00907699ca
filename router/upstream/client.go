package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"burdockglade.dev/router/errkind"
)

// Headers of requests to the upstream.
const (
	HeaderGroup      = "Burdock-Group"
	HeaderGeneration = "Burdock-Generation"
	HeaderNotAfter   = "Burdock-Not-After" // Unix microseconds
	HeaderRequestID  = "Burdock-Request-Id"
	HeaderTenant     = "Burdock-Tenant"
)

// GrantsPath is where the upstream takes grants.
const GrantsPath = "/burdock/grants"

// ProbePath is requested with HEAD by a probe. Any answer is a sign of life.
const ProbePath = "/burdock/probe"

const (
	dialTimeout = 500 * time.Millisecond
	// idleTimeout closes unused connections before common servers do (60 s and
	// more), because a request on a connection that is just being closed fails.
	idleTimeout     = 45 * time.Second
	maxAnswerHeader = 64 << 10
	ownConnections  = 2 // one for grants, one for a probe
	maxRefusalBody  = 4 << 10
	headerPrefix    = "Burdock-"
)

// Call is one request to the upstream.
type Call struct {
	Method string
	// Path is the path and query as sent to the upstream.
	Path string
	// Host is the Host header; empty means the upstream's address.
	Host string
	// Header is sent without hop-by-hop fields and without the router's own
	// fields other than the tenant. Do does not change it.
	Header http.Header
	// Body may be nil. ContentLength is -1 when the length is not known.
	Body          io.Reader
	ContentLength int64
	RequestID     string
	GroupID       string
	Generation    uint64
	// NotAfter is the latest start of the work; monotonic.
	NotAfter time.Time
}

const (
	// MaxGrantRequests bounds the requests that one grant extends. It is above
	// the slots of common upstreams, so that one message per group suffices.
	MaxGrantRequests = 64
	// MaxRequestID bounds the bytes of a request id, so that a grant has at most
	// about 10 KB.
	MaxRequestID = 128
)

// Grant extends the right to commit of some requests of a group.
type Grant struct {
	GroupID    string
	Generation uint64
	// NotAfter is the end of the grant; monotonic.
	NotAfter time.Time
	// RequestIDs are the 1 to MaxGrantRequests requests that the grant is for.
	RequestIDs []string
}

// grantBody is the body of PUT /burdock/grants.
type grantBody struct {
	Group      string `json:"group"`
	Generation uint64 `json:"generation"`
	// NotAfter is in Unix microseconds.
	NotAfter int64    `json:"not_after"`
	Requests []string `json:"requests"`
}

// Response is the head of the upstream's answer and its body, which the caller
// must close. A read of the body returns io.EOF only when the answer is whole,
// and otherwise an error of kind errkind.AnswerIncomplete.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 for a chunked answer.
	ContentLength int64
	Body          io.ReadCloser
}

// ClientOptions configure a Client. The callbacks may be nil and must not
// block.
type ClientOptions struct {
	// OnConnectionRefused is called when the address refuses a connection.
	OnConnectionRefused func(address string)
	// OnResponse is called when the head of an answer arrives.
	OnResponse func()
}

// Client sends requests and grants to the upstream over reused connections.
type Client struct {
	opts   ClientOptions
	target atomic.Pointer[target]
}

// target holds the connections to one address.
type target struct {
	address     string
	connections int
	work        *http.Transport
	grants      *http.Transport
	probes      *http.Transport
}

// NewClient returns a client without a target: every call is refused as not
// run until SetTarget is called.
func NewClient(opts ClientOptions) *Client {
	return &Client{opts: opts}
}

// SetTarget sets the address for new calls and the number of connections that
// the upstream accepts. An empty address removes the target. Calls under way
// keep their connections.
func (c *Client) SetTarget(address string, connections int) {
	old := c.target.Load()
	if old != nil && old.address == address && old.connections == connections {
		return
	}
	var next *target
	if address != "" {
		next = newTarget(address, connections)
	}
	c.target.Store(next)
	if old != nil {
		old.work.CloseIdleConnections()
		old.grants.CloseIdleConnections()
	}
}

func newTarget(address string, connections int) *target {
	t := &target{address: address, connections: connections}
	t.work = newTransport(max(connections-ownConnections, 1))
	t.grants = newTransport(1)
	t.probes = newTransport(1)
	// A probe uses a new connection because open ones can go silent while new
	// ones work.
	t.probes.DisableKeepAlives = true
	return t
}

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// Do sends one request and returns when the head of the answer has arrived. It
// never sends a request twice. Errors whose kind means not-run promise that the
// upstream did not get the request or refused it; all others are of kind
// errkind.OutcomeUnknown or errkind.AnswerIncomplete.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	t := c.target.Load()
	if t == nil {
		return nil, errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := newRequest(t.address, call)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	a := &attempt{cancel: cancel}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn}))
	resp, err := t.work.RoundTrip(req)
	if err != nil {
		err = c.classify(ctx, t, a, err)
		cancel(nil)
		return nil, err
	}
	if c.opts.OnResponse != nil {
		c.opts.OnResponse()
	}
	answer, err := checkAnswer(call.Method, resp)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	answer.Body = &answerBody{body: resp.Body, cancel: cancel}
	return answer, nil
}

func newRequest(address string, call Call) (*http.Request, error) {
	u, err := url.ParseRequestURI(call.Path)
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "path %q: %w", call.Path, err)
	}
	now := time.Now()
	left := call.NotAfter.Sub(now)
	if left <= 0 {
		return nil, errkind.New(errkind.LeaseLapsed, "the right to send the request ended %v ago", -left)
	}
	u.Scheme, u.Host = "http", address
	req := &http.Request{
		Method: call.Method, URL: u, Host: call.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: forwardedHeader(call.Header),
	}
	setBody(req, call)
	req.Header.Set(HeaderRequestID, call.RequestID)
	req.Header.Set(HeaderGroup, call.GroupID)
	req.Header.Set(HeaderGeneration, strconv.FormatUint(call.Generation, 10))
	req.Header.Set(HeaderNotAfter, strconv.FormatInt(wallMicros(now, left), 10))
	return req, nil
}

// wallMicros converts a monotonic end to the wall clock of the host, which
// router and upstream share. A step of the wall clock since the end was
// computed therefore does not move it.
func wallMicros(now time.Time, left time.Duration) int64 {
	return now.UnixMicro() + left.Microseconds()
}

// setBody gives the request a body without GetBody, so that it cannot be read
// twice.
func setBody(req *http.Request, call Call) {
	if call.Body == nil || call.ContentLength == 0 {
		return
	}
	req.ContentLength = call.ContentLength
	req.Body = io.NopCloser(call.Body)
}

// hopByHop fields concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

func forwardedHeader(from http.Header) http.Header {
	h := EndToEndHeader(from)
	if tenant := from.Values(HeaderTenant); len(tenant) > 0 {
		h[HeaderTenant] = tenant
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return h
}

// EndToEndHeader returns a copy of the header without hop-by-hop fields and without
// the router's own fields.
func EndToEndHeader(from http.Header) http.Header {
	listed := connectionOptions(from)
	h := make(http.Header, len(from)+4)
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) || slices.Contains(hopByHop, name) || slices.Contains(listed, name) {
			continue
		}
		h[name] = values
	}
	return h
}

// connectionOptions returns the fields that the Connection header names.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// attempt follows one request on its connection.
type attempt struct {
	cancel context.CancelCauseFunc
	conn   *sealableConn
	before int64
}

var errRepeat = errors.New("the connection was lost and net/http tried to send the request again")

// gotConn is called before anything is written. A second call means that
// net/http repeats a request it holds for safe; the connection is sealed before
// it can do so, because repeats are the retry policy's to decide.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*sealableConn)
	if !ok {
		return
	}
	if a.conn != nil {
		a.cancel(errRepeat)
		conn.seal(conn.writtenBytes())
		return
	}
	a.conn, a.before = conn, conn.writtenBytes()
}

// classify turns the error of a request without an answer into one with a kind.
func (c *Client) classify(ctx context.Context, t *target, a *attempt, err error) error {
	if a.conn != nil && !a.conn.seal(a.before) {
		return errkind.New(errkind.OutcomeUnknown, "the upstream got the request and did not answer: %w", err)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		if c.opts.OnConnectionRefused != nil {
			c.opts.OnConnectionRefused(t.address)
		}
		return errkind.New(errkind.UpstreamDown, "the upstream refuses connections: %w", err)
	}
	cause := context.Cause(ctx)
	var kinded *errkind.Error
	switch {
	case errors.As(cause, &kinded) && errkind.ResponseOf(kinded.Kind).Outcome == errkind.NotRun:
		return kinded
	case errors.Is(cause, context.DeadlineExceeded):
		return errkind.New(errkind.DeadlinePassed, "the deadline passed before the request was sent")
	case cause != nil && !errors.Is(cause, errRepeat):
		return errkind.New(errkind.CallerLeft, "the request was cancelled before it was sent: %w", cause)
	}
	return errkind.New(errkind.UpstreamDown, "the request could not be sent: %w", err)
}

// checkAnswer refuses answers that say not-run and answers whose end cannot be
// told from a cut.
func checkAnswer(method string, resp *http.Response) (*Response, error) {
	if resp.Header.Get(errkind.HeaderOutcome) == string(errkind.NotRun) {
		defer resp.Body.Close()
		return nil, refusal(resp)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, errkind.New(errkind.OutcomeUnknown, "the upstream switched to another protocol")
	}
	chunked := slices.Contains(resp.TransferEncoding, "chunked")
	if resp.ContentLength < 0 && !chunked && method != http.MethodHead {
		resp.Body.Close()
		return nil, errkind.New(errkind.AnswerIncomplete, "the upstream's answer has neither a length nor chunked coding")
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength}, nil
}

// refusal is the error for an answer that says not-run.
func refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBody))
	err := errkind.New(refusalKind(resp), "the upstream refused the work: status %d %s", resp.StatusCode, strings.TrimSpace(string(text)))
	if seconds, parseErr := strconv.Atoi(resp.Header.Get("Retry-After")); parseErr == nil && seconds > 0 {
		err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return err
}

// refusalKind keeps the kinds that another attempt does not change. A 503 is the
// upstream's own load shedding unless it names another kind.
func refusalKind(resp *http.Response) errkind.Kind {
	named := errkind.Kind(resp.Header.Get(errkind.HeaderError))
	switch named {
	case errkind.BadRequest, errkind.NotFound, errkind.TooLarge, errkind.DeadlinePassed, errkind.Overloaded:
		return named
	case "":
		if resp.StatusCode == http.StatusServiceUnavailable {
			return errkind.Overloaded
		}
	}
	return errkind.UpstreamRefused
}

// answerBody gives read errors a kind and ends the request when it is closed.
type answerBody struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		err = errkind.New(errkind.AnswerIncomplete, "the upstream's answer was cut: %w", err)
	}
	return n, err
}

func (b *answerBody) Close() error {
	err := b.body.Close()
	b.cancel(nil)
	return err
}

// Extend sends a grant and waits for the upstream's acknowledgement.
func (c *Client) Extend(ctx context.Context, grant Grant) error {
	t := c.target.Load()
	if t == nil {
		return errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	if n := len(grant.RequestIDs); n == 0 || n > MaxGrantRequests {
		return errkind.New(errkind.BadRequest, "a grant for %d requests: want 1 to %d", n, MaxGrantRequests)
	}
	now := time.Now()
	body, err := json.Marshal(grantBody{
		Group: grant.GroupID, Generation: grant.Generation,
		NotAfter: wallMicros(now, grant.NotAfter.Sub(now)), Requests: grant.RequestIDs,
	})
	if err != nil {
		return fmt.Errorf("encoding a grant: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.address+GrantsPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building a grant: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.control(t.grants, req, func(status int) bool { return status/100 == 2 })
}

// Probe asks the upstream for a sign of life over a new connection. Any answer
// is one.
func (c *Client) Probe(ctx context.Context) error {
	t := c.target.Load()
	if t == nil {
		return errkind.New(errkind.UpstreamDown, "no upstream is announced")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+t.address+ProbePath, nil)
	if err != nil {
		return fmt.Errorf("building a probe: %w", err)
	}
	return c.control(t.probes, req, func(int) bool { return true })
}

// control sends a request of the router's own. These are idempotent, so a
// repeat by net/http does no harm.
func (c *Client) control(transport *http.Transport, req *http.Request, accepted func(status int) bool) error {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && c.opts.OnConnectionRefused != nil {
			c.opts.OnConnectionRefused(req.URL.Host)
		}
		return errkind.New(errkind.UpstreamDown, "%s %s: %w", req.Method, req.URL.Path, err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBody))
	if !accepted(resp.StatusCode) {
		return errkind.New(errkind.UpstreamRefused, "%s %s: status %d %s", req.Method, req.URL.Path, resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return nil
}
