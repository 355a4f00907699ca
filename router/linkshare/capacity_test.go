package linkshare

import (
	"testing"
	"time"
)

// Guards against short responses that wait behind queues in the kernel when the link has
// become narrower than set, against a rate above the setting, and against one that stays
// low. The link carries 4 of 10 Mbit/s for 20 s, and then 10 again.
func TestRateFollowsTheLink(t *testing.T) {
	l, start := New(testMbps), time.Unix(0, 0)
	long := l.Open(start, 1<<30)
	l.Queue(long, ChunkBytes)
	var queued, acked, widest float64
	for ms := range 40_000 {
		now, carries := start.Add(time.Duration(ms)*time.Millisecond), testRate/1000
		if ms < 20_000 {
			carries *= 0.4
		}
		left := min(queued, carries)
		queued, acked = queued-left, acked+left
		for sent, _ := l.Next(now); sent != nil; sent, _ = l.Next(now) {
			queued += ChunkBytes
			l.Queue(long, ChunkBytes)
		}
		if ms%250 == 0 {
			l.Observe(now, Sample{Carried: int64(acked), Queued: int64(queued)})
			acked = 0
		}
		if ms > 2_000 {
			widest = max(widest, queued/testRate/0.4)
		}
		if ms%10_000 == 9_999 {
			t.Logf("after %d ms: up to %.3f s queued, rate of %.2f", ms, widest, l.RateShare())
		}
		if ms == 19_999 && (widest > 0.25 || l.RateShare() < 0.36 || l.RateShare() > 0.7) {
			t.Errorf("narrow link: up to %.2f s were queued, rate of %.2f", widest, l.RateShare())
		}
		if l.RateShare() > 1 {
			t.Fatalf("rate of %.2f", l.RateShare())
		}
	}
	if l.RateShare() < 0.99 {
		t.Errorf("wide link: rate of %.2f", l.RateShare())
	}
}

// Guards against a rate that falls because of connections that have just begun to send,
// or of samples that lie far apart.
func TestRateStaysWhileTheLinkKeepsUp(t *testing.T) {
	l, now := New(testMbps), time.Unix(0, 0)
	for i := range 100 {
		now = now.Add(SampleInterval)
		queued := int64(ChunkBytes)
		switch i % 8 {
		case 3:
			queued = 1 << 20
		case 7:
			queued, now = 1<<20, now.Add(time.Minute)
		}
		l.Observe(now, Sample{Carried: 100, Queued: queued})
	}
	if l.RateShare() != 1 {
		t.Errorf("rate of %.2f", l.RateShare())
	}
}
