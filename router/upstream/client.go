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
	"burdockglade.dev/router/responsehead"
)

// Headers of requests to the upstream.
const (
	HeaderGroup      = "Burdock-Group"
	HeaderGeneration = "Burdock-Generation"
	HeaderNotAfter   = "Burdock-Not-After" // Unix microseconds
	HeaderRequestID  = "Burdock-Request-Id"
	HeaderTenant     = "Burdock-Tenant"
)

// GrantsPath is the path to which grants are sent with PUT.
const GrantsPath = "/burdock/grants"

// ProbePath is the path that a probe requests with HEAD. Any response shows that the
// upstream is alive.
const ProbePath = "/burdock/probe"

const (
	dialTimeout = 500 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept. It is below that of common
	// servers (60 s and more), because a request fails on a connection that the server is
	// closing.
	IdleTimeout         = 45 * time.Second
	maxResponseHeader   = 64 << 10 // bytes
	reservedConnections = 2        // one for grants, one for a probe
	maxRefusalBody      = 4 << 10  // bytes
	headerPrefix        = "Burdock-"
)

// Call is one request to the upstream.
type Call struct {
	Method string
	// Path is the path and query as sent to the upstream.
	Path string
	// Host is the Host header; empty means the upstream's address.
	Host string
	// Header is sent without hop-by-hop fields and without the fields with the
	// prefix Burdock- other than the tenant. Do does not change it.
	Header http.Header
	// Body may be nil. ContentLength is -1 if the length is unknown.
	Body          io.Reader
	ContentLength int64
	RequestID     string
	GroupID       string
	Generation    uint64
	// NotAfter is the latest time at which the work may start. It needs a monotonic
	// clock reading.
	NotAfter time.Time
}

const (
	// MaxGrantRequests is the maximum number of requests in one grant. It is above
	// the slots of common upstreams, so that one message per group suffices.
	MaxGrantRequests = 64
	// MaxRequestID is the maximum length of a request ID in bytes. It keeps a grant
	// below about 10 KB.
	MaxRequestID = 128
)

// Grant extends the right to commit of some requests of a group.
type Grant struct {
	GroupID    string
	Generation uint64
	// NotAfter is the end of the grant. It needs a monotonic clock reading.
	NotAfter time.Time
	// RequestIDs are the requests covered by the grant, 1 to MaxGrantRequests.
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

// Response is a response of the upstream. The caller must close the body. A read of
// the body returns io.EOF only if the response is complete, and otherwise an error
// of kind errkind.AnswerIncomplete.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 for a chunked response.
	ContentLength int64
	Body          io.ReadCloser
}

// ClientOptions configures a Client. The callbacks may be nil and must not block.
type ClientOptions struct {
	// OnConnectionRefused is called when the address refuses a connection.
	OnConnectionRefused func(address string)
	// OnResponse is called when the header of a response arrives.
	OnResponse func()
	// OnBrokenResponse is called when a response is not one of HTTP/1.1.
	OnBrokenResponse func(address string, err error)
}

// Client sends requests and grants to the upstream over persistent connections. It is
// safe for concurrent use.
type Client struct {
	opts   ClientOptions
	target atomic.Pointer[target]
}

// target holds the connections to one address. Requests, grants and probes have
// separate connections, so that none waits for the others.
type target struct {
	address     string
	connections int
	requests    *responsehead.Transport
	grants      *responsehead.Transport
	probes      *responsehead.Transport
}

// NewClient returns a client without a target. Until SetTarget is called, every call
// fails with errkind.UpstreamDown.
func NewClient(opts ClientOptions) *Client {
	return &Client{opts: opts}
}

// SetTarget sets the address for new calls and the number of connections that the
// upstream accepts. An empty address removes the target. Calls in progress keep
// their connections.
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
		old.requests.CloseIdleConnections()
		old.grants.CloseIdleConnections()
	}
}

func newTarget(address string, connections int) *target {
	t := &target{address: address, connections: connections}
	t.requests = newTransport(max(connections-reservedConnections, 1))
	t.grants = newTransport(1)
	t.probes = newTransport(1)
	// A probe opens a new connection because established ones can stop working
	// while new ones work.
	t.probes.DisableKeepAlives = true
	return t
}

func newTransport(connections int) *responsehead.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &responsehead.Transport{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return responsehead.NewConn(&sealableConn{Conn: conn}), nil
		},
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConns:           connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        IdleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
	}}
}

// Do sends one request and returns when the header of the response has arrived. It
// never sends a request twice. An error whose kind has the outcome errkind.NotRun
// guarantees that the upstream did not receive the request or refused it. All other
// errors have the kind errkind.OutcomeUnknown or errkind.AnswerIncomplete.
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
	resp, err := t.requests.RoundTrip(req)
	if err != nil {
		c.noteBroken(t.address, err)
		err = c.classify(ctx, t, a, err)
		cancel(nil)
		return nil, err
	}
	if c.opts.OnResponse != nil {
		c.opts.OnResponse()
	}
	response, err := checkResponse(call.Method, resp)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	response.Body = &responseBody{resp: resp, cancel: cancel}
	return response, nil
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
	req.Header.Set(HeaderNotAfter, strconv.FormatInt(unixMicrosAfter(now, left), 10))
	return req, nil
}

// unixMicrosAfter returns the wall-clock time of now plus left, in Unix
// microseconds. Router and upstream share the host's clock. Because left comes from
// the monotonic clock, a step of the wall clock since the end was computed does not
// shift the end.
func unixMicrosAfter(now time.Time, left time.Duration) int64 {
	return now.UnixMicro() + left.Microseconds()
}

// setBody sets the body without GetBody, so that net/http cannot read it twice.
func setBody(req *http.Request, call Call) {
	if call.Body == nil || call.ContentLength == 0 {
		return
	}
	req.ContentLength = call.ContentLength
	req.Body = io.NopCloser(call.Body)
}

// hopByHopFields are the header fields that apply to a single connection.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length", "Host",
}

// forwardedHeader returns the header that is sent to the upstream.
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
// fields with the prefix Burdock-.
func EndToEndHeader(from http.Header) http.Header {
	listed := connectionOptions(from)
	h := make(http.Header, len(from)+4)
	for name, values := range from {
		if strings.HasPrefix(name, headerPrefix) || slices.Contains(hopByHopFields, name) || slices.Contains(listed, name) {
			continue
		}
		h[name] = values
	}
	return h
}

// connectionOptions returns the field names listed in the Connection header.
func connectionOptions(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// attempt tracks one request on its connection.
type attempt struct {
	cancel context.CancelCauseFunc
	conn   *sealableConn
	// writtenBefore is the number of bytes written on conn before the request.
	writtenBefore int64
}

// errResent cancels a request that net/http tries to send a second time.
var errResent = errors.New("the connection was lost and net/http tried to send the request again")

// gotConn is called before any byte of the request is written. A second call means
// that net/http retries a request that it considers safe to retry. It is cancelled
// and its connection sealed first, because only the retry policy decides on retries.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	checked, ok := info.Conn.(*responsehead.Conn)
	if !ok {
		return
	}
	conn, ok := checked.NetConn().(*sealableConn)
	if !ok {
		return
	}
	if a.conn != nil {
		a.cancel(errResent)
		conn.seal(conn.writtenBytes())
		return
	}
	a.conn, a.writtenBefore = conn, conn.writtenBytes()
}

// noteBroken reports an error that is due to a broken response.
func (c *Client) noteBroken(address string, err error) {
	if errors.Is(err, responsehead.ErrBroken) && c.opts.OnBrokenResponse != nil {
		c.opts.OnBrokenResponse(address, err)
	}
}

// classify converts the error of a request without a response to one with a kind.
func (c *Client) classify(ctx context.Context, t *target, a *attempt, err error) error {
	if a.conn != nil && !a.conn.seal(a.writtenBefore) {
		if errors.Is(err, responsehead.ErrBroken) {
			// The line may belong to the response to another caller.
			return errkind.New(errkind.OutcomeUnknown, "the request was sent and the upstream's response has a broken head").WithCause(err)
		}
		return errkind.New(errkind.OutcomeUnknown, "the request was sent and the upstream did not respond: %w", err)
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
	case cause != nil && !errors.Is(cause, errResent):
		return errkind.New(errkind.CallerLeft, "the request was cancelled before it was sent: %w", cause)
	}
	return errkind.New(errkind.UpstreamDown, "the request could not be sent: %w", err)
}

// Extend sends a grant and waits until the upstream acknowledges it.
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
		NotAfter: unixMicrosAfter(now, grant.NotAfter.Sub(now)), Requests: grant.RequestIDs,
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

// Probe checks over a new connection whether the upstream is alive. Any response of HTTP/1.1
// shows that it is.
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

// control sends a grant or a probe. Both are idempotent, so a retry by net/http is
// harmless.
func (c *Client) control(transport *responsehead.Transport, req *http.Request, accepted func(status int) bool) error {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		c.noteBroken(req.URL.Host, err)
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
