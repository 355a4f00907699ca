package dev

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// KindReport is the result of one kind of request. A request and its retries count once:
// Sent is the sum of InTime, Late, Refused, RefusedAgain, Failed and Left. Requests that
// --repeat sends a second time are not counted.
type KindReport struct {
	Kind string `json:"kind"`
	Sent int64  `json:"sent"`
	// InTime and Late count served requests, by the time from the arrival until the whole
	// response, or until its beginning for callers that read slowly.
	InTime int64 `json:"in_time"`
	Late   int64 `json:"late"`
	// Refused counts requests that were refused as not run and not sent again,
	// RefusedAgain those whose last retry was refused as well.
	Refused      int64 `json:"refused"`
	RefusedAgain int64 `json:"refused_again"`
	// Failed counts requests without a response, with a truncated or wrong one or with an
	// unknown outcome, and runs that were lost with a call.
	Failed int64 `json:"failed"`
	Left   int64 `json:"left"`
	// Retries counts the requests that were sent again after a refusal.
	Retries int64 `json:"retries"`
	// P50, P95 and P99 are the times of the served requests.
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	P99 int64 `json:"p99_us"`
}

// kindDigits is the precision of the times of a kind. With the precision of the whole load,
// the histograms of 512 workers with 5 kinds would take 440 MB.
const kindDigits = 2

// kindTally counts the results of one kind of request.
type kindTally struct {
	KindReport
	inTime time.Duration
	times  *hdrhistogram.Histogram
}

func newKindTally(k loadKind) *kindTally {
	return &kindTally{
		KindReport: KindReport{Kind: k.name}, inTime: k.inTime,
		times: hdrhistogram.New(minLatency, maxLatency, kindDigits),
	}
}

// boundedMicros returns a latency in microseconds within the range of the histograms, so
// that recording it cannot fail.
func boundedMicros(latency time.Duration) int64 {
	return min(max(latency.Microseconds(), minLatency), maxLatency)
}

// add counts the last result of a request that was sent again the given number of times.
func (t *kindTally) add(v result, retries int, took time.Duration) {
	t.Sent++
	t.Retries += int64(retries)
	switch {
	case v.kind == resultOK:
		_ = t.times.RecordValue(boundedMicros(took))
		if took <= t.inTime {
			t.InTime++
		} else {
			t.Late++
		}
	case v.notRun && retries > 0:
		t.RefusedAgain++
	case v.notRun:
		t.Refused++
	case v.kind == resultLeft:
		t.Left++
	default:
		t.Failed++
	}
}

func (t *kindTally) merge(o *kindTally) {
	t.times.Merge(o.times)
	t.Sent += o.Sent
	t.InTime += o.InTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.RefusedAgain += o.RefusedAgain
	t.Failed += o.Failed
	t.Left += o.Left
	t.Retries += o.Retries
}

func (t *kindTally) report() KindReport {
	r := t.KindReport
	if t.times.TotalCount() > 0 {
		r.P50, r.P95, r.P99 = t.times.ValueAtQuantile(50), t.times.ValueAtQuantile(95), t.times.ValueAtQuantile(99)
	}
	return r
}

// kinds writes a table of the results of each kind.
func (w *textWriter) kinds(kinds []KindReport) {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	w.line("%-10s %8s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s", "kind", "sent", "in time", "late", "refused", "again", "failed", "left", "retries", "p50 ms", "p95 ms", "p99 ms")
	for _, k := range kinds {
		w.line("%-10s %8d %8d %8d %8d %8d %8d %8d %8d %9.3f %9.3f %9.3f",
			k.Kind, k.Sent, k.InTime, k.Late, k.Refused, k.RefusedAgain, k.Failed, k.Left, k.Retries, ms(k.P50), ms(k.P95), ms(k.P99))
	}
}
