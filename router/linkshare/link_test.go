package linkshare

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testMbps   = 10
	testRate   = testMbps * 1e6 / 8
	shortBytes = 1500
)

// wire is a link with the queue of the kernel in front of it.
type wire struct {
	*Link
	// free is when everything that was written has left.
	free time.Time
	open []*download
}

// download is a large response of a test.
type download struct {
	Request
	*Transfer
	left            int
	readyAt, sentAt time.Time
}

// write adds bytes to the queue and returns when they have left.
func (w *wire) write(now time.Time, n int) time.Time {
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(duration(float64(n) / testRate))
	return w.free
}

// short sends a short response and returns for how long it waited.
func (w *wire) short(now time.Time) time.Duration {
	wait := w.free.Sub(now)
	w.write(now, shortBytes)
	w.Charge(now, shortBytes)
	return wait
}

// step sends the chunks whose turn it is. Callers leave at their deadline.
func (w *wire) step(now time.Time) {
	w.open = slices.DeleteFunc(w.open, func(d *download) bool {
		gone := d.left == 0 || d.Deadline.Before(now)
		if gone {
			w.End(d.Transfer)
		}
		return gone
	})
	for _, d := range w.open {
		if !d.readyAt.After(now) {
			w.Ready(now, d.Transfer, int64(d.left))
			w.Queue(d.Transfer, min(d.left, ChunkBytes))
		}
	}
	for t, _ := w.Next(now); t != nil; t, _ = w.Next(now) {
		d := w.open[slices.IndexFunc(w.open, func(d *download) bool { return d.Transfer == t })]
		n := min(d.left, ChunkBytes)
		d.left, d.sentAt = d.left-n, w.write(now, n)
		if d.left > 0 {
			w.Queue(t, min(d.left, ChunkBytes))
		}
	}
}

// admit asks for a response that turns out to have the size.
func (w *wire) admit(now time.Time, last bool, size int) (*download, Admission) {
	r := Request{Bytes: 90_000, Service: 40 * time.Millisecond, Goal: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Last: last}
	a := w.Admit(now, r)
	if a.Transfer == nil {
		return nil, a
	}
	d := &download{Request: r, Transfer: a.Transfer, left: size, readyAt: now.Add(r.Service)}
	w.open = append(w.open, d)
	return d, a
}

// Guards against short calls that are lost behind downloads: 116 downloads a second of
// 90 KB (up to 540 KB) from six links of 10 Mbit/s, beside 250 short calls a second. Also
// against downloads that are admitted and late, and against links that idle meanwhile.
func TestDownloadsBeyondTheLinks(t *testing.T) {
	for _, odd := range []bool{false, true} {
		r := rand.New(rand.NewPCG(1, 2))
		size := func() int {
			switch x := r.IntN(100); {
			case !odd:
				return 90_000
			case x < 85:
				return 20_000 + r.IntN(60_000)
			case x < 95:
				return 200_000
			}
			return 540_000
		}
		wires := make([]*wire, 6)
		for i := range wires {
			wires[i] = &wire{Link: New(testMbps)}
		}
		start, offered, late, cut := time.Unix(0, 0), 0, 0, 0
		var longest time.Duration
		var served []*download
		end := start.Add(20 * time.Second)
		for now := start; now.Before(end); now = now.Add(time.Millisecond) {
			for _, w := range wires {
				w.step(now)
			}
			if r.Float64() < 0.250 {
				longest = max(longest, wires[r.IntN(6)].short(now))
			}
			if r.Float64() >= 0.116 {
				continue
			}
			offered++
			n := size()
			for i, at := range r.Perm(6)[:4] {
				d, a := wires[at].admit(now, i == 3, n)
				if d != nil {
					served = append(served, d)
					break
				}
				if a.RetryAfter <= 0 || a.RetryAfter > 2*time.Second {
					t.Fatalf("refused with a retry time of %v", a.RetryAfter)
				}
			}
		}
		for _, d := range served {
			switch {
			case d.left > 0 && d.Deadline.Before(end):
				cut++
			case d.left == 0 && d.sentAt.After(d.Goal) && (!d.Last || d.sentAt.After(d.Deadline)):
				late++
			}
		}
		t.Logf("odd sizes %v: %d of %d admitted, %d late, %d cut, longest wait of a short call %v", odd, len(served), offered, late, cut, longest)
		// Short responses may come together; three of them take 3.6 ms.
		if most := duration((ChunkBytes+3*shortBytes)/testRate) + catchUp; longest > most {
			t.Errorf("a short call waited %v; want at most %v", longest, most)
		}
		if (!odd && late+cut > 0) || cut > len(served)/50 {
			t.Errorf("%d of %d downloads were late, and %d were cut", late, len(served), cut)
		}
		if len(served)*2 < offered {
			t.Errorf("only %d of %d downloads were admitted; the links carry 0.6 of them", len(served), offered)
		}
	}
}

// Guards against a retry time at which there is no room, or long after there is.
func TestRetryTimeHasRoom(t *testing.T) {
	for _, last := range []bool{false, true} {
		w, now := &wire{Link: New(testMbps)}, time.Unix(0, 0)
		d, a := w.admit(now, last, 90_000)
		for d != nil {
			d, a = w.admit(now, last, 90_000)
		}
		for half := range 2 {
			for end := now.Add(a.RetryAfter/2 + time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
				w.step(now)
			}
			if d, _ := w.admit(now, last, 90_000); (d != nil) != (half == 1) {
				t.Errorf("last %v: admitted %v after %d halves of the retry time of %v", last, d != nil, half+1, a.RetryAfter)
			}
		}
	}
}

// Guards against a response that is admitted and makes an earlier one late, against a
// backlog that stays when callers leave, and against routes that are never served because
// their objective is shorter than their responses take on an idle link.
func TestAdmittedResponsesStayInTime(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	request := func(goal time.Duration) Request {
		return Request{Bytes: 500_000, Goal: now.Add(goal), Deadline: now.Add(goal + time.Second)}
	}
	for _, goal := range []time.Duration{600 * time.Millisecond, 100 * time.Millisecond} {
		first := l.Admit(now, request(goal)).Transfer
		if first == nil {
			t.Fatalf("an idle link refused a response with a goal of %v", goal)
		}
		if l.Admit(now, request(goal)).Transfer != nil {
			t.Errorf("another one with a goal of %v was admitted behind it", goal)
		}
		if patient := l.Admit(now, request(10*time.Second)).Transfer; (patient != nil) != (goal < time.Second/2) {
			t.Errorf("goal of %v: a patient one was admitted: %v", goal, patient != nil)
		} else if patient != nil {
			l.End(patient)
		}
		l.End(first)
		l.End(first)
		if l.Backlog() != 0 {
			t.Errorf("a backlog of %d bytes after the callers left", l.Backlog())
		}
	}
}

// Guards against a long response that delays all others, against large ones that are never
// sent because small ones exceed the rate, and against a share that is reported while
// nothing is sent.
func TestTurnsAndShare(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	long, other := l.Open(now, 1<<20), l.Open(now, ChunkBytes*2)
	var order []*Transfer
	for range 30_000 {
		now = now.Add(time.Millisecond)
		if len(order) >= 4 {
			l.Charge(now, 4*testRate/1000)
		}
		l.Queue(long, ChunkBytes)
		l.Queue(other, ChunkBytes)
		if sent, _ := l.Next(now); sent != nil {
			order = append(order, sent)
		}
	}
	if !slices.Equal(order[:4], []*Transfer{long, other, long, other}) {
		t.Error("the responses did not take turns")
	}
	if rate := float64(len(order)) * ChunkBytes / 30; rate < 0.05*testRate || rate > 0.15*testRate || l.Taken(now) < 0.9 {
		t.Errorf("large responses got %.2f of the rate; %.2f of the link is taken", rate/testRate, l.Taken(now))
	}
	l.End(long)
	l.End(other)
	if got := l.Taken(now.Add(5 * time.Second)); got > 0.05 {
		t.Errorf("%.2f of an idle link is taken", got)
	}
}

// Guards against a class that is refused for good after one huge response, and against one
// whose mean size falls while it is refused for a moment.
func TestRefusedClassIsTriedAgain(t *testing.T) {
	var s Sizes
	c, now := Class{Repeatable: true}, time.Unix(0, 0)
	s.Observe(c, 1<<30)
	s.Refused(now, c)
	s.Refused(now.Add(time.Second), c)
	if n, _ := s.Expect(now.Add(time.Second), c); n != maxSizeSample {
		t.Errorf("%d bytes after a second", n)
	}
	if _, large := s.Expect(now.Add(10*time.Second), c); large {
		t.Error("still large after 10 s of refusals")
	}
	for range 60 {
		s.Observe(c, 2_000)
	}
	if _, large := s.Expect(now, c); large {
		t.Error("a class of small responses is large")
	}
}
