package connlimit

// resource is an amount that the classes share. Each class has a reserve that the other
// classes cannot use.
type resource struct {
	total         int64 // 0: unlimited
	used, reserve [classes]int64
}

// reserveShares are the reserves of the classes as parts of the total, in sixteenths. Half
// of the total is left for any class.
var reserveShares = [classes]int64{Caller: 4, Router: 2, Control: 1, Probe: 1}

func newResource(total int64) resource {
	r := resource{total: max(total, 0)}
	for c, share := range reserveShares {
		r.reserve[c] = r.total * share / 16
	}
	return r
}

// fits reports whether the class may use n more.
func (r *resource) fits(c Class, n int64) bool {
	if r.total == 0 {
		return true
	}
	left := r.total - n
	for other := range classes {
		left -= r.used[other]
		if other != c {
			left -= max(r.reserve[other]-r.used[other], 0)
		}
	}
	return left >= 0
}

// sum returns what all classes use.
func (r *resource) sum() int64 {
	var sum int64
	for _, n := range r.used {
		sum += n
	}
	return sum
}

// exceedsReserve reports whether the class uses more than its reserve, so that what it
// releases becomes available to others.
func (r *resource) exceedsReserve(c Class) bool {
	return r.used[c] > r.reserve[c]
}
