package linkshare

// Memory bounds the bytes that are held for large responses and bodies. It is not safe for
// concurrent use.
type Memory struct {
	bound, held int64
}

// NewMemory returns a bound on held bytes.
func NewMemory(bound int64) *Memory {
	return &Memory{bound: bound}
}

// Reserve adds n bytes, or returns false if they exceed the bound.
func (m *Memory) Reserve(n int64) bool {
	if m.held+n > m.bound {
		return false
	}
	m.held += n
	return true
}

// Add adds n bytes that are held whatever the bound is; a negative n releases bytes.
func (m *Memory) Add(n int64) {
	m.held = max(m.held+n, 0)
}

// Held returns the number of bytes that are held.
func (m *Memory) Held() int64 {
	return m.held
}
