package object

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"burdockglade.dev/stores/internal/storehttp"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// BaseURL is the store's address, such as http://127.0.0.1:7001.
	BaseURL string
	// Timeout limits one call, including connection establishment.
	Timeout time.Duration
}

// Client is a Store over the object store's HTTP protocol. Objects are immutable,
// so both calls are idempotent: a call on a pooled connection that fails or does
// not respond within half of the timeout is retried once on a new connection.
type Client struct {
	http *storehttp.Client
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// NewClient returns a client, or an error if BaseURL is not a plain HTTP URL or
// Timeout is not positive.
func NewClient(o ClientOptions) (*Client, error) {
	c, err := storehttp.New(storehttp.Options{
		Service:          "object store",
		BaseURL:          o.BaseURL,
		Timeout:          o.Timeout,
		MaxResponseBytes: MaxContentBytes,
	})
	if err != nil {
		return nil, err
	}
	return &Client{http: c}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	if err := checkObject(name, content); err != nil {
		return err
	}
	resp, err := c.http.SendIdempotent(ctx, storehttp.Request{
		Method:      http.MethodPut,
		Path:        "/v1/objects/" + name,
		ContentType: "application/octet-stream",
		Body:        append([]byte{}, content...),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.Status == http.StatusOK || resp.Status == http.StatusCreated {
		return nil
	}
	return responseError(resp, name)
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	if err := CheckName(name); err != nil {
		return nil, err
	}
	resp, err := c.http.SendIdempotent(ctx, storehttp.Request{Method: http.MethodGet, Path: "/v1/objects/" + name})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if resp.Status == http.StatusOK {
		return resp.Body, nil
	}
	return nil, responseError(resp, name)
}

// responseError returns the error for a response that is no success. The status
// counts as the store's own only if the body is an ErrorResponse: a 404 from
// another server must not be taken for an absent object.
func responseError(resp storehttp.Response, name string) error {
	var body ErrorResponse
	if err := json.Unmarshal(resp.Body, &body); err != nil || body.Error == "" {
		return fmt.Errorf("%w: status %d without an error from the store", ErrUnavailable, resp.Status)
	}
	switch resp.Status {
	case http.StatusNotFound:
		return fmt.Errorf("%w: %q", ErrNotFound, name)
	case http.StatusConflict:
		return fmt.Errorf("%w: %q", ErrExists, name)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: %s", ErrInvalid, body.Error)
	default:
		return fmt.Errorf("%w: status %d: %s", ErrUnavailable, resp.Status, body.Error)
	}
}
