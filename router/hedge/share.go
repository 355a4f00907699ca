package hedge

import "sync"

// maxTokens bounds the second requests that may accumulate, so that a quiet time is not
// followed by a burst of them.
const maxTokens = 10

// Share limits the second requests of a service to a share of its requests. It is safe for
// concurrent use.
type Share struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewShare returns a limit for the share, 0 to 1. It allows nothing before the first
// requests, so that the share holds from the start.
func NewShare(share float64) *Share {
	return &Share{share: share}
}

// Request counts one request that may be sent a second time.
func (s *Share) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+s.share, maxTokens)
}

// Take charges one second request and reports whether the limit allows it.
func (s *Share) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// giveBack takes back a charge of a second request that is not sent.
func (s *Share) giveBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = min(s.tokens+1, maxTokens)
}

// Shares holds a limit for each service. It is safe for concurrent use.
type Shares struct {
	share float64

	mu        sync.Mutex
	byService map[string]*Share
}

// NewShares returns limits for the share.
func NewShares(share float64) *Shares {
	return &Shares{share: share, byService: map[string]*Share{}}
}

// Of returns the limit of a service.
func (s *Shares) Of(service string) *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.byService[service]
	if limit == nil {
		limit = NewShare(s.share)
		s.byService[service] = limit
	}
	return limit
}

// Copy returns a limit with the same state, which can be charged without an effect on the
// original.
func (s *Share) Copy() *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Share{share: s.share, tokens: s.tokens}
}

// Tokens returns the number of second requests that the limit allows now.
func (s *Share) Tokens() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens
}

// CopyOf returns a copy of the limit of a service. It adds none for a service without
// requests.
func (s *Shares) CopyOf(service string) *Share {
	s.mu.Lock()
	limit := s.byService[service]
	s.mu.Unlock()
	if limit == nil {
		return NewShare(s.share)
	}
	return limit.Copy()
}
