package retry

import (
	"sync"
	"time"
)

// Budgets holds one budget per service. It is safe for concurrent use.
type Budgets struct {
	mu        sync.RWMutex
	byService map[string]*Budget
}

// NewBudgets returns an empty set.
func NewBudgets() *Budgets {
	return &Budgets{byService: map[string]*Budget{}}
}

// RecordRequest counts one request of the service. share is the share of its requests that
// may be retried.
func (b *Budgets) RecordRequest(service string, share float64) {
	budget := b.of(service)
	budget.SetShare(share)
	budget.Request(time.Now())
}

// AllowRetry takes one retry from the service's budget and reports whether there was one.
func (b *Budgets) AllowRetry(service string) bool {
	return b.of(service).Take(time.Now())
}

// of returns the budget of the service and creates it if needed.
func (b *Budgets) of(service string) *Budget {
	b.mu.RLock()
	budget := b.byService[service]
	b.mu.RUnlock()
	if budget != nil {
		return budget
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[service] == nil {
		b.byService[service] = NewBudget(DefaultShare)
	}
	return b.byService[service]
}
