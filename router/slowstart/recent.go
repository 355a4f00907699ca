package slowstart

import "time"

const (
	// recentStep is the resolution of the count, and recentSteps the number of steps that
	// cover a second and the step in progress.
	recentStep  = 50 * time.Millisecond
	recentSteps = int(time.Second/recentStep) + 1
)

// recent counts the requests of the last second. It may count requests that are older by
// up to one step.
type recent struct {
	counts [recentSteps]int
	// step is the number of the latest step, counted from epoch.
	step  int64
	epoch time.Time
	sum   int
}

func (r *recent) add(now time.Time) {
	r.advance(now)
	r.counts[r.step%int64(recentSteps)]++
	r.sum++
}

func (r *recent) count(now time.Time) int {
	r.advance(now)
	return r.sum
}

// advance drops the counts of steps that are older than a second.
func (r *recent) advance(now time.Time) {
	if r.epoch.IsZero() {
		r.epoch = now
	}
	step := int64(now.Sub(r.epoch) / recentStep)
	if step-r.step >= int64(recentSteps) {
		r.counts, r.sum, r.step = [recentSteps]int{}, 0, step
		return
	}
	for r.step < step {
		r.step++
		i := r.step % int64(recentSteps)
		r.sum -= r.counts[i]
		r.counts[i] = 0
	}
}
