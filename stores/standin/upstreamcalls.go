package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Query parameters with which a request tells the upstream how to respond.
const (
	// QueryAnswerBytes is the size of the response in bytes, in place of
	// MinResponseBytes.
	QueryAnswerBytes = "answer_bytes"
	// QueryCall is {service}/{key}: the upstream reads this key through CallRouter while
	// the request runs. It may be repeated; the calls are made one after another.
	QueryCall = "call"
)

const (
	// MaxCalls is the maximum number of calls of one request.
	MaxCalls = 8
	// callTimeout is the Request-Timeout of a call and the upstream's own limit for it.
	callTimeout = 2 * time.Second
	// maxCallResponse is the maximum size of the response to a call in bytes.
	maxCallResponse = 1 << 20
)

// KindCallFailed is the kind of a CallFailure.
const KindCallFailed = "call_failed"

// CallFailure is the body of the response, with status 502, to a request that was not
// committed because one of its calls failed. The outcome is unknown: earlier calls may
// have had effects.
type CallFailure struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	URI     string `json:"uri"` // path and query of the request
	Detail  string `json:"detail"`
}

// callError is the failure of a call of a request.
type callError struct{ cause error }

func (e *callError) Error() string { return "a call failed: " + e.cause.Error() }

// parseQuery reads the size of the response and the calls that the query asks for.
func (u *Upstream) parseQuery(query url.Values, req *parsedRequest) error {
	req.responseBytes = u.options.MinResponseBytes
	if text := query.Get(QueryAnswerBytes); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxResponseBytes {
			return fmt.Errorf("%s %q: want 0 to %d", QueryAnswerBytes, text, maxResponseBytes)
		}
		req.responseBytes = n
	}
	calls := query[QueryCall]
	if len(calls) > 0 && u.options.CallRouter == "" {
		return errors.New("this upstream has no router for calls")
	}
	if len(calls) > MaxCalls {
		return fmt.Errorf("%d calls: want %d at most", len(calls), MaxCalls)
	}
	for _, call := range calls {
		service, key, _ := strings.Cut(call, "/")
		if service == "" || key == "" {
			return fmt.Errorf("%s %q: want {service}/{key}", QueryCall, call)
		}
		req.calls = append(req.calls, "/"+url.PathEscape(service)+"/"+url.PathEscape(key))
	}
	return nil
}

// makeCalls makes the calls of a request one after another. It returns a callError for
// the first one that fails.
func (u *Upstream) makeCalls(ctx context.Context, paths []string) error {
	for _, path := range paths {
		if err := u.makeCall(ctx, path); err != nil {
			return &callError{err}
		}
	}
	return nil
}

func (u *Upstream) makeCall(ctx context.Context, path string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(u.options.CallRouter, "/")+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Request-Timeout", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := u.callClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxCallResponse)); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d %s", path, resp.StatusCode, resp.Header.Get(HeaderError))
	}
	return nil
}

// writeCallFailure responds to a request one of whose calls failed.
func writeCallFailure(w http.ResponseWriter, uri string, failed *callError) {
	// Encoding a struct of strings does not fail.
	body, _ := json.Marshal(CallFailure{Kind: KindCallFailed, Outcome: "unknown", URI: uri, Detail: failed.Error()})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusBadGateway)
	_, _ = w.Write(body)
}
