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

// Headers of a refusal.
const (
	HeaderError   = "Burdock-Error"   // error kind
	HeaderOutcome = "Burdock-Outcome" // not-run or unknown
)

// ProblemType is the content type of a refusal's body.
const ProblemType = "application/problem+json"

// Problem is the body of a refusal.
type Problem struct {
	Type    string  `json:"type"`
	Title   string  `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail,omitempty"`
	Kind    Kind    `json:"kind"`
	Outcome Outcome `json:"outcome"`
}

// Write answers a request with the refusal for err. Headers must not have been
// sent yet.
func Write(w http.ResponseWriter, err error) {
	kind := Of(err)
	answer := ResponseOf(kind)
	pause := answer.RetryAfter
	detail := err.Error()
	var e *Error
	if errors.As(err, &e) {
		detail = e.Detail
		if e.RetryAfter > 0 {
			pause = e.RetryAfter
		}
	}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(HeaderError, string(kind))
	h.Set(HeaderOutcome, string(answer.Outcome))
	if pause > 0 {
		h.Set("Retry-After", strconv.Itoa(retrySeconds(pause)))
	}
	w.WriteHeader(answer.Status)
	_ = WriteProblem(w, kind, detail, answer.Status)
}

// WriteProblem writes the problem document of a refusal. status is the one that
// was sent, which may differ from the one of the kind's answer.
func WriteProblem(w io.Writer, kind Kind, detail string, status int) error {
	answer := ResponseOf(kind)
	return json.NewEncoder(w).Encode(Problem{
		Type:    "about:blank",
		Title:   answer.Title,
		Status:  status,
		Detail:  detail,
		Kind:    kind,
		Outcome: answer.Outcome,
	})
}

// retrySeconds rounds up: Retry-After has whole seconds.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
