package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/responsehead"
)

// Limits of the client.
const (
	dialTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
	// clientTimeout is the longest time that the server takes for a request
	// and its response.
	clientTimeout = callTimeout + transferTimeout
)

// ClientOptions configures a Client.
type ClientOptions struct {
	// BaseURL is the address of the API, such as http://127.0.0.1:8084.
	BaseURL string
	// Token is the bearer token.
	Token string
}

// Client implements Backend over HTTP. Its errors have the kind returned by the
// API. In addition, PeerUnreachable means that no connection was established or
// that a read got no response. OutcomeUnknown means that a change was sent and no
// response was received.
type Client struct {
	base  string
	token string
	http  *http.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client. It returns an error if BaseURL is not an HTTP URL.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("address %q: want http://host:port", o.BaseURL)
	}
	// No proxies and no redirects: the token must not reach another server.
	transport := responsehead.NewTransport(&http.Transport{}, &net.Dialer{Timeout: dialTimeout})
	return &Client{
		base:  strings.TrimSuffix(o.BaseURL, "/"),
		token: o.Token,
		http: &http.Client{
			Transport:     transport,
			Timeout:       clientTimeout,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Note implements Backend.
func (c *Client) Note(ctx context.Context) (note.Config, error) {
	return get[note.Config](ctx, c, "/v1/note")
}

// NoteVersion implements Backend.
func (c *Client) NoteVersion(ctx context.Context, version int64) (NoteVersion, error) {
	return get[NoteVersion](ctx, c, "/v1/note/versions/"+strconv.FormatInt(version, 10))
}

// DiffNote implements Backend.
func (c *Client) DiffNote(ctx context.Context, text []byte) (NoteDiff, error) {
	return send[NoteDiff](ctx, c, "/v1/note/diff", text, nil)
}

// PublishNote implements Backend.
func (c *Client) PublishNote(ctx context.Context, publishID string, text []byte) (note.Result, error) {
	return send[note.Result](ctx, c, "/v1/note", text, map[string]string{HeaderPublishID: publishID})
}

// NoteStatus implements Backend.
func (c *Client) NoteStatus(ctx context.Context) (NoteStatus, error) {
	return get[NoteStatus](ctx, c, "/v1/note/status")
}

// Owners implements Backend.
func (c *Client) Owners(ctx context.Context, service string) (Owners, error) {
	return get[Owners](ctx, c, "/v1/owners?service="+url.QueryEscape(service))
}

// Members implements Backend.
func (c *Client) Members(ctx context.Context) (Members, error) {
	return get[Members](ctx, c, "/v1/members")
}

// Move implements Backend.
func (c *Client) Move(ctx context.Context, r MoveRequest) (MoveResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return MoveResult{}, errkind.New(errkind.BadRequest, "encoding: %w", err)
	}
	return send[MoveResult](ctx, c, "/v1/moves", body, nil)
}

// Drain implements Backend.
func (c *Client) Drain(ctx context.Context, host string) (DrainResult, error) {
	return send[DrainResult](ctx, c, "/v1/hosts/"+url.PathEscape(host)+"/drain", nil, nil)
}

// TakeOver implements Backend.
func (c *Client) TakeOver(ctx context.Context, service, group string) (TakeoverResult, error) {
	path := "/v1/groups/" + url.PathEscape(service) + "/" + url.PathEscape(group) + "/takeover"
	return send[TakeoverResult](ctx, c, path, []byte(`{"declare_lost":true}`), nil)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil, nil)
}

func send[T any](ctx context.Context, c *Client, path string, body []byte, headers map[string]string) (T, error) {
	return call[T](ctx, c, http.MethodPost, path, body, headers)
}

// call sends a request and decodes the response.
func call[T any](ctx context.Context, c *Client, method, path string, body []byte, headers map[string]string) (T, error) {
	var response T
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return response, errkind.New(errkind.BadRequest, "%w", err)
	}
	// Prevents net/http from retrying a change: with an Idempotency-Key header
	// it treats a POST as safe to retry.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response, transportError(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response, transportError(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return response, responseError(method, resp, data)
	}
	if err := json.Unmarshal(data, &response); err != nil {
		return response, transportError(method, err)
	}
	return response, nil
}

// transportError returns PeerUnreachable for a request that cannot have changed
// anything, and OutcomeUnknown for a change that was sent without a response.
func transportError(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return errkind.New(errkind.PeerUnreachable, "%w", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%w", err)
}

// responseError returns the error in a response of the API.
func responseError(method string, resp *http.Response, data []byte) error {
	var p errkind.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Kind == "" {
		return transportError(method, fmt.Errorf("status %d without a problem document; is this the administration API?", resp.StatusCode))
	}
	detail := p.Detail
	if detail == "" {
		detail = p.Title
	}
	return &errkind.Error{Kind: p.Kind, Detail: detail}
}
