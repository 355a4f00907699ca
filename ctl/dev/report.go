package dev

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms, in microseconds.
const (
	minLatency    = 1
	maxLatency    = 10 * 60 * 1_000_000
	latencyDigits = 3
	// maxExamples is the maximum number of wrong responses that a report describes.
	maxExamples = 10
)

// tally counts the results of one worker.
type tally struct {
	notSent   int64
	repeats   int64
	counts    map[resultKind]map[string]int64
	responses *hdrhistogram.Histogram // latencies of complete responses
	refusals  *hdrhistogram.Histogram
	examples  []string
	kinds     []*kindTally // by the index of the kind
}

func newTally(kinds []loadKind) *tally {
	t := &tally{
		counts:    make(map[resultKind]map[string]int64),
		responses: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		refusals:  hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
	for _, k := range kinds {
		t.kinds = append(t.kinds, newKindTally(k))
	}
	return t
}

// add counts the result of one request. Wrong responses are also kept as examples.
func (t *tally) add(v result, latency time.Duration) {
	detail := v.detail
	if v.kind == resultWrong {
		detail = ""
		t.example(v.detail)
	}
	t.count(v.kind, detail, 1)
	micros := boundedMicros(latency)
	// The value is within the range of the histogram, so recording cannot fail.
	switch v.kind {
	case resultOK:
		_ = t.responses.RecordValue(micros)
	case resultRefused:
		_ = t.refusals.RecordValue(micros)
	}
}

func (t *tally) count(kind resultKind, detail string, n int64) {
	if t.counts[kind] == nil {
		t.counts[kind] = make(map[string]int64)
	}
	t.counts[kind][detail] += n
}

func (t *tally) example(text string) {
	if len(t.examples) < maxExamples {
		t.examples = append(t.examples, text)
	}
}

// Report is the result of a load run.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Sent counts requests, including repeated ones.
	Sent int64 `json:"sent"`
	// NotSent counts arrivals of an open loop that were not sent because no worker
	// was free in time.
	NotSent int64 `json:"not_sent"`
	Repeats int64 `json:"repeats"`
	// Responses counts complete responses that belong to their requests.
	Responses          int64   `json:"answers"`
	ResponsesPerSecond float64 `json:"answers_per_second"`
	// Refusals counts refusals by error kind and outcome.
	Refusals map[string]int64 `json:"refusals"`
	// NoResponse counts requests without a response by cause.
	NoResponse map[string]int64 `json:"no_answer"`
	// Truncated counts responses that detectably ended early.
	Truncated int64 `json:"cut"`
	// Wrong counts responses that looked complete but did not belong to their
	// request, and malformed refusals.
	Wrong int64 `json:"wrong"`
	// RunsLost counts runs that were not committed because one of their calls failed.
	RunsLost int64 `json:"runs_lost"`
	// Left counts requests whose callers disconnected before the end of the response.
	Left int64 `json:"left"`
	// Kinds has the results of each kind of request.
	Kinds          []KindReport `json:"kinds"`
	WrongExamples  []string     `json:"wrong_examples,omitempty"`
	Latency        Latency      `json:"latency"`
	RefusalLatency Latency      `json:"refused_in"`
}

// Latency contains the mean and percentiles in microseconds. In an open loop the
// latency is measured from the arrival and includes the wait for a free worker.
type Latency struct {
	Mean float64 `json:"mean_us"`
	P50  int64   `json:"p50_us"`
	P90  int64   `json:"p90_us"`
	P99  int64   `json:"p99_us"`
	P999 int64   `json:"p999_us"`
	Max  int64   `json:"max_us"`
}

func percentiles(h *hdrhistogram.Histogram) Latency {
	if h.TotalCount() == 0 {
		return Latency{}
	}
	return Latency{
		Mean: h.Mean(),
		P50:  h.ValueAtQuantile(50),
		P90:  h.ValueAtQuantile(90),
		P99:  h.ValueAtQuantile(99),
		P999: h.ValueAtQuantile(99.9),
		Max:  h.Max(),
	}
}

// merge combines the tallies of all workers into a report.
func merge(kinds []loadKind, tallies []*tally, took time.Duration, notSent int64) Report {
	total := newTally(kinds)
	for _, t := range tallies {
		total.responses.Merge(t.responses)
		total.refusals.Merge(t.refusals)
		total.repeats += t.repeats
		notSent += t.notSent
		for kind, details := range t.counts {
			for detail, n := range details {
				total.count(kind, detail, n)
			}
		}
		for _, text := range t.examples {
			total.example(text)
		}
		for i, k := range t.kinds {
			total.kinds[i].merge(k)
		}
	}
	report := Report{
		Seconds:            took.Seconds(),
		Sent:               total.sum(resultOK) + total.sum(resultRefused) + total.sum(resultNoResponse) + total.sum(resultTruncated) + total.sum(resultWrong) + total.sum(resultRunLost) + total.sum(resultLeft),
		NotSent:            notSent,
		Repeats:            total.repeats,
		Responses:          total.sum(resultOK),
		ResponsesPerSecond: float64(total.sum(resultOK)) / took.Seconds(),
		Refusals:           total.counts[resultRefused],
		NoResponse:         total.counts[resultNoResponse],
		Truncated:          total.sum(resultTruncated),
		Wrong:              total.sum(resultWrong),
		WrongExamples:      total.examples,
		Latency:            percentiles(total.responses),
		RefusalLatency:     percentiles(total.refusals),
		RunsLost:           total.sum(resultRunLost),
		Left:               total.sum(resultLeft),
	}
	for _, k := range total.kinds {
		report.Kinds = append(report.Kinds, k.report())
	}
	return report
}

func (t *tally) sum(kind resultKind) int64 {
	var sum int64
	for _, n := range t.counts[kind] {
		sum += n
	}
	return sum
}

// print writes the report as text.
func (r Report) print(out io.Writer) error {
	w := &textWriter{out: out}
	w.line("sent %d requests in %.2f s (%d of them repeats), %d arrivals not sent", r.Sent, r.Seconds, r.Repeats, r.NotSent)
	w.line("answers %d, %.1f/s", r.Responses, r.ResponsesPerSecond)
	w.latency("latency of answers", r.Latency)
	w.counts("refused", r.Refusals)
	if len(r.Refusals) > 0 {
		w.latency("latency of refusals", r.RefusalLatency)
	}
	w.counts("no answer", r.NoResponse)
	w.line("cut answers %d", r.Truncated)
	w.line("wrong answers %d", r.Wrong)
	if r.RunsLost+r.Left > 0 {
		w.line("runs lost with a call %d, callers that left %d", r.RunsLost, r.Left)
	}
	for _, text := range r.WrongExamples {
		w.line("  %s", text)
	}
	w.kinds(r.Kinds)
	return w.err
}

// textWriter writes lines and keeps the first error.
type textWriter struct {
	out io.Writer
	err error
}

func (w *textWriter) line(format string, args ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", args...)
	}
}

func (w *textWriter) latency(what string, l Latency) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	w.line("%s in ms: mean %.3f, p50 %.3f, p90 %.3f, p99 %.3f, p99.9 %.3f, max %.3f",
		what, l.Mean/1000, ms(l.P50), ms(l.P90), ms(l.P99), ms(l.P999), ms(l.Max))
}

func (w *textWriter) counts(what string, counts map[string]int64) {
	for _, detail := range slices.Sorted(maps.Keys(counts)) {
		w.line("%s: %s %d", what, detail, counts[detail])
	}
}
