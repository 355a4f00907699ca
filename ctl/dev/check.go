package dev

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"burdockglade.dev/stores/standin"
)

// maxLoadResponse is the maximum size of a response body in bytes.
const maxLoadResponse = 16 << 20

// loadRequest is one request of the load tool.
type loadRequest struct {
	method, service, key, query string
	body                        []byte
	idempotencyKey              string
	// kind is the index of the request's kind in the plan.
	kind int
	// answerBytes is the size of the response that the request asks for, 0 if it asks for
	// none, and calls is the number of calls that its run makes.
	answerBytes, calls int
	caller             caller
}

func (r loadRequest) uri() string {
	return "/" + r.service + "/" + r.key + "?" + r.query
}

// resultKind classifies the result of a request.
type resultKind string

const (
	// resultOK: the complete response to the request.
	resultOK resultKind = "ok"
	// resultRefused: a refusal with error kind and outcome.
	resultRefused resultKind = "refused"
	// resultNoResponse: the connection failed before a response began.
	resultNoResponse resultKind = "no answer"
	// resultTruncated: the response ended early, which its caller could detect.
	resultTruncated resultKind = "cut"
	// resultWrong: a response that looked complete was not the response to the
	// request, or a refusal was malformed.
	resultWrong resultKind = "wrong"
	// resultRunLost: the run was not committed because one of its calls failed.
	resultRunLost resultKind = "run lost"
	// resultLeft: the caller disconnected before the end of the response.
	resultLeft resultKind = "left"
)

// result is the result of one request.
type result struct {
	kind   resultKind
	detail string
	body   string // response body; set for resultOK only
	// notRun and retryAfter are what a refusal says of its outcome and of its end.
	notRun     bool
	retryAfter time.Duration
	// began is the time of the first byte of a response that its caller read slowly.
	began time.Time
}

// took returns the time from begin until now, or until the response began if its caller
// read it slowly.
func (v result) took(begin time.Time) time.Duration {
	if !v.began.IsZero() {
		return v.began.Sub(begin)
	}
	return time.Since(begin)
}

// failure returns the result of a request that ended with a transport error.
func failure(ctx context.Context, kind resultKind, err error) result {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errLeft):
		return result{kind: resultLeft}
	case cause != nil:
		err = cause
	}
	return result{kind: kind, detail: transportDetail(err)}
}

// checkResponse checks that the response belongs to the request and is complete.
func checkResponse(r loadRequest, status int, h http.Header, body []byte) result {
	if status != http.StatusOK {
		return checkRefusal(r, status, h, body)
	}
	var a standin.EchoResponse
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return wrongResult("the response is not from a stand-in upstream: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return wrongResult("data after the response")
	}
	if detail := mismatch(r, h, a); detail != "" {
		return wrongResult("%s", detail)
	}
	if len(body) < r.answerBytes {
		return wrongResult("%d bytes instead of %d", len(body), r.answerBytes)
	}
	return result{kind: resultOK, body: string(body)}
}

func wrongResult(format string, args ...any) result {
	return result{kind: resultWrong, detail: fmt.Sprintf(format, args...)}
}

// checkRefusal accepts refusals with an error kind and a valid outcome, and the responses
// to runs that were lost with a call.
func checkRefusal(r loadRequest, status int, h http.Header, body []byte) result {
	kind, outcome := h.Get(standin.HeaderError), h.Get(standin.HeaderOutcome)
	var failed standin.CallFailure
	if status == http.StatusBadGateway && r.calls > 0 && json.Unmarshal(body, &failed) == nil &&
		failed.Kind == standin.KindCallFailed && failed.URI == r.uri() {
		return result{kind: resultRunLost}
	}
	if kind == "" || (outcome != "not-run" && outcome != "unknown") {
		return wrongResult("status %d with error %q and outcome %q", status, kind, outcome)
	}
	v := result{kind: resultRefused, detail: kind + " " + outcome, notRun: outcome == "not-run"}
	if seconds, err := strconv.Atoi(h.Get("Retry-After")); err == nil && seconds > 0 {
		v.retryAfter = time.Duration(seconds) * time.Second
	}
	return v
}

// mismatch describes the first field in which the response does not match the
// request. It returns the empty string if all fields match.
func mismatch(r loadRequest, h http.Header, a standin.EchoResponse) string {
	digest := sha256.Sum256(r.body)
	for _, field := range []struct{ name, want, got string }{
		{"service", r.service, a.Service},
		{"key", r.key, a.Key},
		{"method", r.method, a.Method},
		{"uri", r.uri(), a.URI},
		{"idempotency key", r.idempotencyKey, a.IdempotencyKey},
		{"body size", strconv.Itoa(len(r.body)), strconv.Itoa(a.BodyBytes)},
		{"body digest", hex.EncodeToString(digest[:]), a.BodySHA256},
		{"number of calls", strconv.Itoa(r.calls), strconv.Itoa(a.Calls)},
		{"padding", standin.Padding(a.Method, a.URI, len(a.Padding)), a.Padding},
	} {
		if field.want != field.got {
			return fmt.Sprintf("%s %.80q instead of %.80q", field.name, field.got, field.want)
		}
	}
	// A stored response to a retry has the id of the request that ran.
	if id := h.Get(standin.HeaderRequestID); r.idempotencyKey == "" && id != "" && id != a.RequestID {
		return fmt.Sprintf("request id %q under the header %q", a.RequestID, id)
	}
	return ""
}

// transportDetail returns a short name for a transport error, by which failures are
// counted.
func transportDetail(err error) string {
	var dial *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "connection refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "connection reset"
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return "connection closed"
	case errors.As(err, &dial) && dial.Op == "dial":
		return "connection not made"
	default:
		return "other: " + err.Error()
	}
}
