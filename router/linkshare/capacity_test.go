package linkshare

import (
	"testing"
	"time"
)

// Guards against short responses that wait behind queues in the kernel when the link has
// become narrower than set, against a rate above the setting, and against one that stays
// low. The link carries 4 of 10 Mbit/s for 20 s, and then 10 again. Also against a rate that
// falls because of connections that have just begun to send, or of samples that lie far
// apart.
func TestRateFollowsTheLink(t *testing.T) {
	l, start := New(testMbps), time.Unix(0, 0)
	long := l.Open(start, 1<<30)
	var queued, acked, longest float64
	for ms := range 40_000 {
		now, carries := start.Add(time.Duration(ms)*time.Millisecond), testRate/1000
		if ms < 20_000 {
			carries *= 0.4
		}
		left := min(queued, carries)
		queued, acked = queued-left, acked+left
		l.Queue(long, ChunkBytes)
		if sent, _ := l.Next(now); sent != nil {
			queued += ChunkBytes
		}
		if ms%250 == 0 {
			l.Observe(now, Sample{Carried: int64(acked), Queued: int64(queued)})
			acked = 0
		}
		if ms > 2_000 {
			longest = max(longest, queued/testRate/0.4)
		}
		if ms == 19_999 && (longest > 0.25 || l.RateShare() < 0.36 || l.RateShare() > 0.7) {
			t.Errorf("narrow link: up to %.2f s were queued, rate of %.2f", longest, l.RateShare())
		}
	}
	for i := range 4 {
		now := start.Add(time.Minute + time.Duration(i)*SampleInterval)
		l.Observe(now, Sample{Queued: int64(i%2) << 20})
		l.Observe(now.Add(time.Minute), Sample{Queued: 1 << 20})
	}
	if l.RateShare() != 1 {
		t.Errorf("wide link: rate of %.2f", l.RateShare())
	}
}
