package linkshare

const (
	// sizeWeight is the weight of a new response in the mean size of its class.
	sizeWeight = 0.1
	// firstLargeBytes is the size that is expected of a class of large responses before
	// the first one.
	firstLargeBytes = 64 << 10
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
	means map[Class]float64
}

// Observe records a response of n bytes.
func (s *Sizes) Observe(c Class, n int64) {
	if s.means == nil {
		s.means = map[Class]float64{}
	}
	mean, known := s.means[c]
	if !known {
		s.means[c] = float64(n)
		return
	}
	s.means[c] = mean + sizeWeight*(float64(n)-mean)
}

// Expect returns the expected size of a response, and whether it is large.
func (s *Sizes) Expect(c Class) (n int64, large bool) {
	mean, known := s.means[c]
	if !known && c.Large {
		mean = firstLargeBytes
	}
	return int64(mean), mean > ChunkBytes
}
