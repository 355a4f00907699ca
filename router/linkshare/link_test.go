package linkshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testMbps = 10
	testRate = testMbps * 1e6 / 8
)

// wire is a link with a queue in front of it, to which the schedule of a Link is written.
type wire struct {
	*Link
	// queued are the writes that have not left yet.
	queued []write
	open   map[*Transfer]*download
	order  []*Transfer // those that are open, in the order of admission
}

type write struct {
	leaves time.Time
	n      int
	large  bool
}

// download is a large response of a test.
type download struct {
	left    int
	readyAt time.Time
	ready   bool
	limit   time.Time
	// deadline is when the caller leaves.
	deadline time.Time
	sentAt   time.Time
}

func newWire() *wire {
	return &wire{Link: New(testMbps), open: map[*Transfer]*download{}}
}

// write adds bytes to the queue and returns when they have left.
func (w *wire) write(now time.Time, n int, large bool) time.Time {
	w.queued = slices.DeleteFunc(w.queued, func(q write) bool { return !q.leaves.After(now) })
	begin := now
	if len(w.queued) > 0 {
		begin = w.queued[len(w.queued)-1].leaves
	}
	leaves := begin.Add(duration(float64(n) / testRate))
	w.queued = append(w.queued, write{leaves, n, large})
	return leaves
}

// short sends a short response and returns for how long it waited for large ones.
func (w *wire) short(now time.Time, n int) time.Duration {
	wait := w.write(now, n, false).Sub(now)
	for _, q := range w.queued {
		if !q.large {
			wait -= duration(float64(q.n) / testRate)
		}
	}
	w.Charge(now, n)
	return wait
}

// step sends the chunks whose turn it is.
func (w *wire) step(now time.Time) {
	for _, t := range slices.Clone(w.order) {
		if w.open[t].deadline.Before(now) {
			w.end(t)
			continue
		}
		if d := w.open[t]; !d.ready && !d.readyAt.After(now) {
			d.ready = true
			w.Ready(now, t, int64(d.left))
			w.Queue(t, min(d.left, ChunkBytes))
		}
	}
	for {
		t, _ := w.Next(now)
		if t == nil {
			return
		}
		d := w.open[t]
		n := min(d.left, ChunkBytes)
		d.left -= n
		d.sentAt = w.write(now, n, true)
		if d.left == 0 {
			w.end(t)
		} else {
			w.Queue(t, min(d.left, ChunkBytes))
		}
	}
}

func (w *wire) end(t *Transfer) {
	w.End(t)
	delete(w.open, t)
	w.order = slices.DeleteFunc(w.order, func(other *Transfer) bool { return other == t })
}

func (w *wire) admit(now time.Time, r Request, size int) (*download, Admission) {
	a := w.Admit(now, r)
	if a.Transfer == nil {
		return nil, a
	}
	d := &download{left: size, readyAt: now.Add(r.Service), limit: r.Goal, deadline: r.Deadline}
	if r.Last {
		d.limit = r.Deadline
	}
	w.open[a.Transfer] = d
	w.order = append(w.order, a.Transfer)
	return d, a
}

func downloadAt(now time.Time, last bool) Request {
	return Request{Bytes: 90_000, Service: 40 * time.Millisecond, Goal: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Last: last}
}

// Guards against short calls that are lost behind downloads: 116 downloads a second of
// 90 KB (up to 540 KB) from six links of 10 Mbit/s, beside 250 short calls a second. Also
// against downloads that are admitted and late, and against links that idle meanwhile.
func TestDownloadsBeyondTheLinks(t *testing.T) {
	for name, size := range map[string]func(*rand.Rand) int{
		"equal": func(*rand.Rand) int { return 90_000 },
		"odd": func(r *rand.Rand) int {
			switch x := r.IntN(100); {
			case x < 85:
				return 20_000 + r.IntN(60_000)
			case x < 95:
				return 200_000
			}
			return 540_000
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			wires := make([]*wire, 6)
			for i := range wires {
				wires[i] = newWire()
			}
			start := time.Unix(0, 0)
			var served []*download
			var longest time.Duration
			offered, short := 0, 0
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Millisecond) {
				for _, w := range wires {
					w.step(now)
				}
				if r.Float64() < 0.250 {
					short++
					longest = max(longest, wires[r.IntN(6)].short(now, 1500))
				}
				if r.Float64() >= 0.116 {
					continue
				}
				offered++
				n := size(r)
				for i, at := range r.Perm(6)[:4] {
					d, a := wires[at].admit(now, downloadAt(now, i == 3), n)
					if d != nil {
						served = append(served, d)
						break
					}
					if a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
						t.Fatalf("refused with a retry time of %v", a.RetryAfter)
					}
				}
			}
			chunk := duration(ChunkBytes / testRate)
			if longest > chunk+catchUp {
				t.Errorf("a short call waited %v for downloads; want at most %v and %v", longest, chunk, catchUp)
			}
			late, cut, worst := 0, 0, time.Duration(0)
			for _, d := range served {
				if d.left > 0 && d.deadline.Before(start.Add(20*time.Second)) {
					cut++
				}
				if d.left == 0 && d.sentAt.After(d.limit) {
					late++
					worst = max(worst, d.sentAt.Sub(d.limit))
				}
			}
			t.Logf("%d of %d downloads admitted, %d late by up to %v, %d cut, %d short calls, longest wait %v", len(served), offered, late, worst, cut, short, longest)
			if name == "equal" && late+cut > 0 || cut > len(served)/50 {
				t.Errorf("%d of %d downloads were late, and %d were cut", late, len(served), cut)
			}
			if len(served)*2 < offered {
				t.Errorf("only %d of %d downloads were admitted; the links carry 0.6 of them", len(served), offered)
			}
		})
	}
}

// Guards against a retry time at which there is no room, or long after there is.
func TestRetryTimeHasRoom(t *testing.T) {
	for _, last := range []bool{false, true} {
		w := newWire()
		now := time.Unix(0, 0)
		_, a := w.admit(now, downloadAt(now, last), 90_000)
		for a.Transfer != nil {
			_, a = w.admit(now, downloadAt(now, last), 90_000)
		}
		for end := now.Add(a.RetryAfter / 2); now.Before(end); now = now.Add(time.Millisecond) {
			w.step(now)
		}
		if got := w.Admit(now, downloadAt(now, last)); got.Transfer != nil {
			t.Errorf("last %v: room long before the retry time of %v", last, a.RetryAfter)
			w.End(got.Transfer)
		}
		for end := now.Add(a.RetryAfter/2 + time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
			w.step(now)
		}
		if got := w.Admit(now, downloadAt(now, last)); got.Transfer == nil {
			t.Errorf("last %v: no room after the retry time of %v", last, a.RetryAfter)
		}
	}
}

// Guards against a response that is admitted and makes an earlier one late, and against a
// backlog that stays when callers leave.
func TestAdmittedResponseStaysInTime(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	urgent := Request{Bytes: 500_000, Goal: now.Add(600 * time.Millisecond), Deadline: now.Add(time.Second)}
	patient := Request{Bytes: 500_000, Goal: now.Add(10 * time.Second), Deadline: now.Add(10 * time.Second)}
	first := l.Admit(now, urgent).Transfer
	if first == nil {
		t.Fatal("an idle link refused a response that it can send in time")
	}
	if l.Admit(now, patient).Transfer != nil {
		t.Error("a response was admitted that makes an earlier one late")
	}
	l.End(first)
	l.End(first)
	if l.Backlog() != 0 || l.Admit(now, patient).Transfer == nil {
		t.Errorf("a backlog of %d bytes after the caller left", l.Backlog())
	}
}

// Guards against routes that are never served because their objective is shorter than
// their responses take on an idle link.
func TestObjectiveBelowTimeOfSending(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	r := Request{Bytes: 540_000, Goal: now.Add(100 * time.Millisecond), Deadline: now.Add(2 * time.Second)}
	if l.Admit(now, r).Transfer == nil {
		t.Error("refused on an idle link")
	}
	if l.Admit(now, r).Transfer != nil {
		t.Error("admitted behind another one")
	}
}

// Guards against a long response that delays all others, and against a share of the link
// that is reported while nothing is sent.
func TestTurnsAndShare(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	long, other := l.Open(now, 1<<20), l.Open(now, ChunkBytes*2)
	l.Queue(long, ChunkBytes)
	l.Queue(other, ChunkBytes)
	var order []*Transfer
	for len(order) < 4 {
		sent, wait := l.Next(now)
		if sent == nil {
			now = now.Add(wait)
			continue
		}
		order = append(order, sent)
		l.Queue(sent, ChunkBytes)
	}
	if !slices.Equal(order, []*Transfer{long, other, long, other}) {
		t.Error("the responses did not take turns")
	}
	if got := l.Taken(now); got < 0.9 {
		t.Errorf("%.2f of a busy link is taken", got)
	}
	l.End(long)
	l.End(other)
	if got := l.Taken(now.Add(5 * time.Second)); got > 0.01 {
		t.Errorf("%.2f of an idle link is taken", got)
	}
}

// Guards against large responses that are never sent because small ones exceed the rate,
// as with a bandwidth that is set too low.
func TestSmallResponsesLeaveAShare(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	large := l.Open(now, 1<<20)
	chunks := 0
	for ms := range 10_000 {
		now = now.Add(time.Millisecond)
		l.Charge(now, 5_000) // four times the rate
		l.Queue(large, ChunkBytes)
		if sent, _ := l.Next(now); sent != nil && ms > 5_000 {
			chunks++
		}
	}
	if rate := float64(chunks) * ChunkBytes / 5; rate < 0.05*testRate || rate > 0.15*testRate {
		t.Errorf("large responses got %.2f of the rate", rate/testRate)
	}
}

// BenchmarkRefusal measures the forecasts of a refusal behind a backlog of a second.
func BenchmarkRefusal(b *testing.B) {
	now := time.Unix(0, 0)
	for _, mbps := range []float64{10, 200} {
		b.Run(fmt.Sprint(mbps, " Mbit"), func(b *testing.B) {
			l := New(mbps)
			for l.Admit(now, downloadAt(now, false)).Transfer != nil {
			}
			b.ReportMetric(float64(len(l.transfers)), "transfers")
			for b.Loop() {
				l.refusals = [2]refusal{} // the next one would be covered by it
				l.Admit(now, downloadAt(now, false))
			}
		})
	}
}

// Guards against a class whose responses are small and that is refused, and against one
// of large responses that no route marks.
func TestSizesOfClasses(t *testing.T) {
	var s Sizes
	marked, plain := Class{Large: true}, Class{Repeatable: true}
	if n, large := s.Expect(marked); !large || n != firstLargeBytes {
		t.Errorf("marked class: %d %v", n, large)
	}
	for range 50 {
		s.Observe(marked, 90_000)
		s.Observe(plain, 2_000)
	}
	if n, _ := s.Expect(marked); n != 90_000 {
		t.Errorf("marked class: %d", n)
	}
	if _, large := s.Expect(plain); large {
		t.Error("a class of small responses is large")
	}
	for range 50 {
		s.Observe(plain, 90_000)
	}
	if _, large := s.Expect(plain); !large {
		t.Error("a class of large responses is small")
	}
}
