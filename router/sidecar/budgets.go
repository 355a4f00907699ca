package sidecar

import (
	"sync"
	"time"

	"burdockglade.dev/router/retry"
)

// BudgetLimits are the deployment's bound on repeats: in each window all hosts
// together may send a service Ratio times its requests, plus Slack.
type BudgetLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safety is the part of the bound that the hosts use. The rest covers calls that
// repeated work makes, and hosts that join.
const safety = 0.5

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

// of returns the budget of a service.
func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		slack := safety * b.terms.Slack / float64(max(b.hosts(), 1))
		floor := slack / 2 / max(b.terms.Window.Seconds(), 1)
		budget = retry.NewSharedBudget(safety*b.terms.Ratio, floor, max(slack/2, 1))
		b.byService[service] = budget
	}
	return budget
}
