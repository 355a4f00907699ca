// Package storehttp sends requests to the platform's HTTP stores. It tells
// apart a request that was never sent from one whose answer was lost, and it
// keeps a connection that went silent while idle from costing a whole call.
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
)

const (
	// idleConnTimeout is short because a connection can go silent while idle.
	idleConnTimeout = 10 * time.Second
	dialTimeout     = time.Second
	maxIdleConns    = 4
	// reusedShare is the part of a call's timeout that a reused connection
	// gets: half is left for the second attempt on a fresh connection.
	reusedShare = 2
)

// ErrTooLarge means that the answer is larger than the client accepts.
var ErrTooLarge = errors.New("answer too large")

// errNoLength is returned for an answer that ends where its connection ends: a
// cut answer would look whole.
var errNoLength = errors.New("answer without a length")

// Options configure a Client.
type Options struct {
	// Service names the service in error messages.
	Service string
	// BaseURL is the service's address, such as http://127.0.0.1:7000.
	BaseURL string
	// Timeout bounds one call, connection set-up included.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of an answer.
	MaxResponseBytes int64
}

// Client sends requests to one service.
type Client struct {
	base      string
	timeout   time.Duration
	maxAnswer int64
	// pooled keeps idle connections; it serves requests that may be repeated.
	pooled *http.Client
	// fresh makes a connection for each request. A reused connection may have
	// gone silent, and a write sent on it would end with an unknown outcome.
	fresh *http.Client
}

// Request is one HTTP request.
type Request struct {
	Method      string
	Path        string // escaped path with query
	ContentType string
	Body        []byte
}

// Response is a whole HTTP answer.
type Response struct {
	Status int
	Body   []byte
}

// New returns a client, or an error when the options are not usable.
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
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
	}
	fresh := &http.Transport{
		DialContext:       dialer.DialContext,
		DisableKeepAlives: true,
	}
	return &Client{
		base:      strings.TrimSuffix(o.BaseURL, "/"),
		timeout:   o.Timeout,
		maxAnswer: o.MaxResponseBytes,
		pooled:    newHTTPClient(pooled),
		fresh:     newHTTPClient(fresh),
	}, nil
}

// newHTTPClient returns a client that follows no redirect: a redirected write
// would be sent to a place that the settings do not name.
func newHTTPClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// SendOnce sends the request at most once, on a fresh connection. When err is not
// nil, sent tells whether any part of the request may have reached the
// service.
func (c *Client) SendOnce(ctx context.Context, r Request) (a Response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, conn, err := c.attempt(ctx, c.fresh, r, 0)
	return a, conn.made, err
}

// SendIdempotent sends a request that does no harm when it takes effect twice. An
// attempt on a reused connection that fails or stays silent for half of the
// timeout is repeated once on a fresh connection.
func (c *Client) SendIdempotent(ctx context.Context, r Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	a, conn, err := c.attempt(ctx, c.pooled, r, c.timeout/reusedShare)
	if err == nil || !conn.reused || ctx.Err() != nil || errors.Is(err, ErrTooLarge) {
		return a, err
	}
	// The other idle connections took the same path and are as suspect.
	c.pooled.CloseIdleConnections()
	a, _, err = c.attempt(ctx, c.fresh, r, 0)
	return a, err
}

// connState tells which connection an attempt used.
type connState struct {
	made   bool
	reused bool
}

// attempt sends the request once. A reused connection gets at most the time
// reusedLimit, when that is above 0.
func (c *Client) attempt(ctx context.Context, h *http.Client, r Request, reusedLimit time.Duration) (Response, connState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var made, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		made.Store(true)
		reused.Store(info.Reused)
		if info.Reused && reusedLimit > 0 {
			timer := time.AfterFunc(reusedLimit, cancel)
			context.AfterFunc(ctx, func() { timer.Stop() })
		}
	}}
	a, err := c.roundTrip(httptrace.WithClientTrace(ctx, trace), h, r)
	return a, connState{made: made.Load(), reused: reused.Load()}, err
}

func (c *Client) roundTrip(ctx context.Context, h *http.Client, r Request) (Response, error) {
	var body io.Reader
	if r.Body != nil {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, body)
	if err != nil {
		return Response{}, err
	}
	// Keeps net/http from sending a body again by itself on another
	// connection: the caller decides about repeats.
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
		return Response{}, errNoLength
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, c.maxAnswer+1))
	if err != nil {
		return Response{}, fmt.Errorf("reading the answer: %w", err)
	}
	if int64(len(content)) > c.maxAnswer {
		return Response{}, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, c.maxAnswer)
	}
	return Response{Status: resp.StatusCode, Body: content}, nil
}
