// Package storehttp sends requests to the platform's HTTP stores. It distinguishes
// a request that was never sent from one whose response was lost, and it recovers
// within the timeout of a call from a pooled connection that became unresponsive
// while idle.
package storehttp

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"burdockglade.dev/router/responsehead"
)

const (
	// idleConnTimeout is short because an idle connection can become
	// unresponsive unnoticed.
	idleConnTimeout = 10 * time.Second
	dialTimeout     = time.Second
	maxIdleConns    = 4
	// reusedTimeoutDivisor divides the timeout of a call into the timeout of an
	// attempt on a reused connection: half of it remains for the second
	// attempt, on a new connection.
	reusedTimeoutDivisor = 2
)

// ErrTooLarge means that the response body exceeds Options.MaxResponseBytes.
var ErrTooLarge = errors.New("response too large")

// errUnknownLength is returned for a response whose body is delimited by the end of
// the connection: a truncated body could not be detected.
var errUnknownLength = errors.New("response without a length")

// Options configure a Client.
type Options struct {
	// Service names the service in error messages.
	Service string
	// BaseURL is the service's address, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout limits one call, including connection establishment and a retry.
	Timeout time.Duration
	// MaxResponseBytes limits the body of a response.
	MaxResponseBytes int64
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	base             string
	timeout          time.Duration
	maxResponseBytes int64
	// pooled keeps idle connections; it is used for idempotent requests.
	pooled *http.Client
	// singleUse opens a new connection for each request. A reused connection may
	// have become unresponsive, and a write sent on it would end with an unknown
	// outcome.
	singleUse *http.Client
}

// Request is one HTTP request.
type Request struct {
	Method      string
	Path        string // escaped path with query
	ContentType string
	Body        []byte
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Body   []byte
}

// New returns a client, or an error if the options are invalid.
func New(o Options) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil {
		return nil, fmt.Errorf("%s address %q: %w", o.Service, o.BaseURL, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return nil, fmt.Errorf("%s address %q: want http://host:port", o.Service, o.BaseURL)
	}
	if o.Timeout <= 0 {
		return nil, fmt.Errorf("%s timeout %v: want more than 0", o.Service, o.Timeout)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := responsehead.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}, dialer)
	singleUse := responsehead.NewTransport(&http.Transport{DisableKeepAlives: true}, dialer)
	return &Client{
		base:             strings.TrimSuffix(o.BaseURL, "/"),
		timeout:          o.Timeout,
		maxResponseBytes: o.MaxResponseBytes,
		pooled:           newHTTPClient(pooled),
		singleUse:        newHTTPClient(singleUse),
	}, nil
}

// newHTTPClient returns a client that follows no redirects: a redirected write
// would go to a server that is not in the settings.
func newHTTPClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SendOnce sends the request at most once, on a new connection. If err is not nil,
// sent reports whether any part of the request may have reached the service.
func (c *Client) SendOnce(ctx context.Context, r Request) (resp Response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, conn, err := c.attempt(ctx, c.singleUse, r, 0)
	return resp, conn.connected, err
}

// SendIdempotent sends an idempotent request. An attempt on a reused connection
// that fails, or gets no response within half of the timeout, is retried once on a
// new connection.
func (c *Client) SendIdempotent(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, conn, err := c.attempt(ctx, c.pooled, r, c.timeout/reusedTimeoutDivisor)
	if err == nil || !conn.reused || ctx.Err() != nil || errors.Is(err, ErrTooLarge) {
		return resp, err
	}
	// The other idle connections use the same network path, so they may be
	// unresponsive too.
	c.pooled.CloseIdleConnections()
	resp, _, err = c.attempt(ctx, c.singleUse, r, 0)
	return resp, err
}

// connUse describes the connection that an attempt used.
type connUse struct {
	connected bool // there was a connection to send the request on
	reused    bool // the connection had carried an earlier request
}

// attempt sends the request once. If it gets a reused connection and reusedTimeout
// is positive, the attempt is cancelled after that time.
func (c *Client) attempt(ctx context.Context, h *http.Client, r Request, reusedTimeout time.Duration) (Response, connUse, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
		if info.Reused && reusedTimeout > 0 {
			timer := time.AfterFunc(reusedTimeout, cancel)
			context.AfterFunc(ctx, func() { timer.Stop() })
		}
	}}
	resp, err := c.roundTrip(httptrace.WithClientTrace(ctx, trace), h, r)
	return resp, connUse{connected: connected.Load(), reused: reused.Load()}, err
}

// roundTrip sends the request once and reads the complete response.
func (c *Client) roundTrip(ctx context.Context, h *http.Client, r Request) (Response, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return Response{}, err
	}
	// Keeps net/http from resending the body on another connection by itself:
	// the caller decides about retries.
	req.GetBody = nil
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	resp, err := h.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return Response{}, errUnknownLength
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, c.maxResponseBytes+1))
	if err != nil {
		return Response{}, fmt.Errorf("reading the response: %w", err)
	}
	if int64(len(content)) > c.maxResponseBytes {
		return Response{}, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, c.maxResponseBytes)
	}
	return Response{Status: resp.StatusCode, Body: content}, nil
}
