package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/retry"
)

// BudgetLimits bound the retries in a deployment: within each Window, all hosts together
// may send at most Ratio times the requests of a service, plus Slack, as retries.
type BudgetLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// budgetShare is the part of the bound that the hosts use. The rest covers calls that are
// made by repeated requests, and hosts that join.
const budgetShare = 0.5

// budgets holds this host's part of the retry budget of each service.
type budgets struct {
	terms BudgetLimits
	hosts func() int

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newBudgets(terms BudgetLimits, hosts func() int) *budgets {
	return &budgets{terms: terms, hosts: hosts, byService: map[string]*retry.Budget{}}
}

// forService returns the budget of a service.
func (b *budgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = b.newBudget()
		b.byService[service] = budget
	}
	return budget
}

func (b *budgets) newBudget() *retry.Budget {
	slack := budgetShare * b.terms.Slack / float64(max(b.hosts(), 1))
	floor := slack / 2 / max(b.terms.Window.Seconds(), 1)
	return retry.NewSharedBudget(budgetShare*b.terms.Ratio, floor, max(slack/2, 1))
}

// tokens returns the number of retries that the budget of a service allows now. It adds no
// budget for a service without requests.
func (b *budgets) tokens(now time.Time, service string) float64 {
	b.mu.Lock()
	budget := b.byService[service]
	if budget == nil {
		budget = b.newBudget()
	}
	b.mu.Unlock()
	return budget.Tokens(now)
}
