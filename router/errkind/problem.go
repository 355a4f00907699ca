package errkind

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of an error response.
const (
	HeaderError   = "Burdock-Error"   // a Kind
	HeaderOutcome = "Burdock-Outcome" // an Outcome
)

// ProblemType is the content type of an error response.
const ProblemType = "application/problem+json"

// Problem is the body of an error response, a problem document as in RFC 9457.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
}

// Write writes the error response for err. The response header must not have been
// written yet.
func Write(w http.ResponseWriter, err error) {
	kind := Of(err)
	response := ResponseOf(kind)
	retryAfter := response.RetryAfter
	detail := err.Error()
	var e *Error
	if errors.As(err, &e) {
		detail = e.Detail
		if e.RetryAfter > 0 {
			retryAfter = e.RetryAfter
		}
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(HeaderError, string(kind))
	h.Set(HeaderOutcome, string(response.Outcome))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(retryAfter)))
	}
	w.WriteHeader(response.Status)
	_ = WriteProblem(w, kind, detail, response.Status)
}

// WriteProblem writes the body of an error response. status is the status that was
// sent, which may differ from that of the kind's Response.
func WriteProblem(w io.Writer, kind Kind, detail string, status int) error {
	response := ResponseOf(kind)
	return json.NewEncoder(w).Encode(Problem{
		Type:    "about:blank",
		Title:   response.Title,
		Status:  status,
		Detail:  detail,
		Kind:    kind,
		Outcome: response.Outcome,
	})
}

// retrySeconds returns d in whole seconds, as Retry-After needs, rounded up.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
