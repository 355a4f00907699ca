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
)

// Limits of the client.
const (
	dialTimeout    = 3 * time.Second
	maxAnswerBytes = 64 << 20
	// clientTimeout lies above the server's bound of a request.
	clientTimeout = callTimeout + transferTimeout
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the address of the API, such as http://127.0.0.1:8084.
	BaseURL string
	// Token is the bearer token.
	Token string
}

// Client is a Backend over HTTP. Its errors have the kinds that the API
// answered. Besides, PeerUnreachable means that no connection was made or that
// a read got no answer, and OutcomeUnknown that a change was sent and no answer
// came.
type Client struct {
	base  string
	token string
	http  *http.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client, or an error when the address is not an HTTP URL.
func NewClient(o ClientOptions) (*Client, error) {
	u, err := url.Parse(o.BaseURL)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("address %q: want http://host:port", o.BaseURL)
	}
	// Neither a proxy nor the target of a redirect may see the token.
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
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

func call[T any](ctx context.Context, c *Client, method, path string, body []byte, headers map[string]string) (T, error) {
	var answer T
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer, errkind.New(errkind.BadRequest, "%w", err)
	}
	// Keeps net/http from repeating a change by itself: an Idempotency-Key
	// makes it treat a POST as safe to repeat.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.token)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, lost(method, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return answer, lost(method, err)
	}
	if resp.StatusCode != http.StatusOK {
		return answer, refusal(method, resp, data)
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, lost(method, err)
	}
	return answer, nil
}

// lost separates a request that cannot have had an effect from a change whose
// answer is missing.
func lost(method string, err error) error {
	var op *net.OpError
	if method == http.MethodGet || (errors.As(err, &op) && op.Op == "dial") {
		return errkind.New(errkind.PeerUnreachable, "%w", err)
	}
	return errkind.New(errkind.OutcomeUnknown, "%w", err)
}

// refusal returns the error that the API answered.
func refusal(method string, resp *http.Response, data []byte) error {
	var p errkind.Problem
	if err := json.Unmarshal(data, &p); err != nil || p.Kind == "" {
		return lost(method, fmt.Errorf("status %d without a problem document; is this the administration API?", resp.StatusCode))
	}
	detail := p.Detail
	if detail == "" {
		detail = p.Title
	}
	return &errkind.Error{Kind: p.Kind, Detail: detail}
}
