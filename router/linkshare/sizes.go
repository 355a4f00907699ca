package linkshare

import (
	"math"
	"time"
)

const (
	// sizeWeight is the weight of a new response in the mean size of its class.
	sizeWeight = 0.1
	// firstLargeBytes is the size that is expected of a class of large responses before
	// the first one.
	firstLargeBytes = 64 << 10
	// maxSizeSample bounds the effect of a single response on the mean of its class.
	maxSizeSample = 1 << 20
	// A class that is refused for refusalGrace without any response is expected to have
	// half the size after each further refusalHalfLife. Without that, a class with one huge
	// response would never be admitted again, nor its mean corrected.
	refusalGrace    = 2 * time.Second
	refusalHalfLife = time.Second
)

// Class is a class of responses that are expected to have about the same size.
type Class struct {
	// Priority and Repeatable are those of the work class.
	Priority   int
	Repeatable bool
	// Large is true if the route says that its responses are large.
	Large bool
}

// Sizes holds the mean size of the responses of each class. The zero value is empty. It is
// not safe for concurrent use.
type Sizes struct {
	classes map[Class]*classSize
}

// classSize is the size of the responses of a class.
type classSize struct {
	mean  float64
	known bool
	// refusedSince is the time of the first refusal after the last response.
	refusedSince time.Time
}

func (s *Sizes) class(c Class) *classSize {
	if s.classes == nil {
		s.classes = map[Class]*classSize{}
	}
	size := s.classes[c]
	if size == nil {
		size = &classSize{}
		if c.Large {
			size.mean = firstLargeBytes
		}
		s.classes[c] = size
	}
	return size
}

// Observe records a response of n bytes.
func (s *Sizes) Observe(c Class, n int64) {
	size, sample := s.class(c), float64(min(n, maxSizeSample))
	if !size.known {
		size.mean, size.known = sample, true
	}
	size.mean += sizeWeight * (sample - size.mean)
	size.refusedSince = time.Time{}
}

// Refused records that a response was not admitted.
func (s *Sizes) Refused(now time.Time, c Class) {
	if size := s.class(c); size.refusedSince.IsZero() {
		size.refusedSince = now
	}
}

// Expect returns the expected size of a response, and whether it is large.
func (s *Sizes) Expect(now time.Time, c Class) (n int64, large bool) {
	size := s.class(c)
	mean := size.mean
	if !size.refusedSince.IsZero() {
		aged := max(now.Sub(size.refusedSince)-refusalGrace, 0)
		mean *= math.Exp2(-aged.Seconds() / refusalHalfLife.Seconds())
	}
	return int64(mean), mean > ChunkBytes
}
