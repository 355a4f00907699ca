package upstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Call is one request to the upstream.
type Call struct {
	Method string
	// Path is the path and query as sent to the upstream.
	Path string
	// Header is sent without hop-by-hop fields. Do does not change it.
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

// Grant extends the right to commit work of a group.
type Grant struct {
	GroupID    string
	Generation uint64
	// NotAfter is the end of the grant; monotonic.
	NotAfter time.Time
}

// Answer is the head of the upstream's answer and its body, which the caller
// must close. A read of the body returns io.EOF only when the answer is whole.
type Answer struct {
	Status int
	Header http.Header
	// ContentLength is -1 for a chunked answer.
	ContentLength int64
	Body          io.ReadCloser
}

// Client sends requests and grants to the upstream over reused connections.
type Client struct{}

// ClientOptions configure a Client.
type ClientOptions struct{}

// NewClient returns a client without a target: every call is refused as not
// run until SetTarget is called.
func NewClient(opts ClientOptions) *Client { panic("not built yet") }

// SetTarget sets the address for new calls and the number of connections that
// the upstream accepts. An empty address removes the target.
func (c *Client) SetTarget(address string, connections int) { panic("not built yet") }

// Do sends one request. It returns when the head of the answer has arrived.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) { panic("not built yet") }

// Extend sends a grant.
func (c *Client) Extend(ctx context.Context, grant Grant) error { panic("not built yet") }
