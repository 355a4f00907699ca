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

	"burdockglade.dev/stores/standin"
)

// maxLoadAnswer bounds the answers that the load tool takes.
const maxLoadAnswer = 16 << 20

// loadRequest is one request of the load tool.
type loadRequest struct {
	method, service, key, query string
	body                        []byte
	idempotencyKey              string
}

func (r loadRequest) uri() string {
	return "/" + r.service + "/" + r.key + "?" + r.query
}

// verdictKind classifies what a request got.
type verdictKind string

const (
	// verdictOK: the whole answer to the request.
	verdictOK verdictKind = "ok"
	// verdictRefused: a refusal with error kind and outcome.
	verdictRefused verdictKind = "refused"
	// verdictNoAnswer: the connection failed before an answer began.
	verdictNoAnswer verdictKind = "no answer"
	// verdictCut: the answer ended early, and its caller could see that.
	verdictCut verdictKind = "cut"
	// verdictWrong: an answer that looked whole was not the answer to the
	// request, or a refusal was malformed.
	verdictWrong verdictKind = "wrong"
)

// verdict is what a request got.
type verdict struct {
	kind   verdictKind
	detail string
	body   string // of an answer that is ok
}

// judge decides whether the answer belongs to the request and is whole.
func judge(r loadRequest, status int, h http.Header, body []byte) verdict {
	if status != http.StatusOK {
		return judgeRefusal(status, h)
	}
	var a standin.EchoResponse
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return wrong("the answer is not that of a stand-in upstream: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return wrong("data after the answer")
	}
	if detail := differs(r, h, a); detail != "" {
		return wrong("%s", detail)
	}
	return verdict{kind: verdictOK, body: string(body)}
}

func wrong(format string, args ...any) verdict {
	return verdict{kind: verdictWrong, detail: fmt.Sprintf(format, args...)}
}

// judgeRefusal accepts refusals that state a kind and an outcome.
func judgeRefusal(status int, h http.Header) verdict {
	kind, outcome := h.Get(standin.HeaderError), h.Get(standin.HeaderOutcome)
	if kind == "" || (outcome != "not-run" && outcome != "unknown") {
		return wrong("status %d with error %q and outcome %q", status, kind, outcome)
	}
	return verdict{kind: verdictRefused, detail: kind + " " + outcome}
}

// differs names the first field in which the answer is not that to the
// request.
func differs(r loadRequest, h http.Header, a standin.EchoResponse) string {
	digest := sha256.Sum256(r.body)
	for _, field := range []struct{ name, want, got string }{
		{"service", r.service, a.Service},
		{"key", r.key, a.Key},
		{"method", r.method, a.Method},
		{"uri", r.uri(), a.URI},
		{"idempotency key", r.idempotencyKey, a.IdempotencyKey},
		{"body size", strconv.Itoa(len(r.body)), strconv.Itoa(a.BodyBytes)},
		{"body digest", hex.EncodeToString(digest[:]), a.BodySHA256},
		{"padding", standin.Padding(a.Method, a.URI, len(a.Padding)), a.Padding},
	} {
		if field.want != field.got {
			return fmt.Sprintf("%s %.80q instead of %.80q", field.name, field.got, field.want)
		}
	}
	// A kept answer to a repeated request names the request that ran.
	if id := h.Get(standin.HeaderRequestID); r.idempotencyKey == "" && id != "" && id != a.RequestID {
		return fmt.Sprintf("request id %q under the header %q", a.RequestID, id)
	}
	return ""
}

// transportDetail names a failure in a word, so that failures can be counted.
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
