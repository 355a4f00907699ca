package move

import (
	"context"
	"time"

	"burdockglade.dev/router/balance"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
)

const (
	// maxIdleMoves limits concurrent moves of idle shards. A higher limit gains
	// little, because Source serializes the row writes.
	maxIdleMoves = 4
	// drainMargin is added to the time that the longest request has left. It
	// covers a grant that ends after the request's deadline.
	drainMargin = time.Second
)

// Mover makes one attempt to move shards. *Source implements it.
type Mover interface {
	Run(ctx context.Context, plan Plan) Result
}

// Progress is the state of an evacuation, in shards unless noted.
type Progress struct {
	Remaining int
	Moving    int
	Moved     int
	// FailedAttempts counts attempts, not shards.
	FailedAttempts int
}

// EvacuateOptions configures an evacuation. Report and Log may be nil; all other
// fields are required.
type EvacuateOptions struct {
	Mover Mover
	// Policy must not be used elsewhere during the evacuation.
	Policy *balance.Policy
	// Input returns the shards of one service that this host currently holds,
	// and the hosts that can receive them.
	Input func() balance.Input
	// Group returns this host's record of a group.
	Group func(groupID string) (ownership.Group, bool)
	// Random returns a number in [0, 1).
	Random func() float64
	Report func(Progress)
	Log    *event.Logger
}

// Evacuate moves every shard of one service off a leaving host: idle shards
// first, those with the longest requests last. It retries failed moves until no
// shard is left, and then returns nil, or until ctx is done, and then returns
// ctx.Err(). No attempt is in progress when it returns.
func Evacuate(ctx context.Context, o EvacuateOptions) error {
	e := &evacuation{
		EvacuateOptions: o,
		moving:          map[keyspace.Shard]bool{},
		targets:         map[string]bool{},
		results:         make(chan attempt),
	}
	err := e.run(ctx)
	if err != nil {
		o.Log.Log(eventEvacuationIncomplete, event.F("left", e.progress.Remaining), event.F("moved", e.progress.Moved))
	}
	return err
}

// attempt is a finished attempt to move shards.
type attempt struct {
	move   balance.Move
	result Result
}

type evacuation struct {
	EvacuateOptions
	moving   map[keyspace.Shard]bool
	targets  map[string]bool // targets of the attempts for idle shards
	results  chan attempt
	idle     int // attempts in progress for idle shards
	busy     int // attempts in progress for shards with requests in flight
	failures int // consecutive failures, for the backoff
	retryAt  time.Time
	progress Progress
}

func (e *evacuation) run(ctx context.Context) error {
	for {
		in := e.Input()
		e.report(len(in.Shards))
		if len(in.Shards) == 0 && e.active() == 0 {
			return nil
		}
		if ctx.Err() != nil {
			e.waitForAttempts()
			e.report(len(e.Input().Shards))
			return ctx.Err()
		}
		now := time.Now()
		if !now.Before(e.retryAt) {
			e.launch(ctx, now, in)
		}
		e.wait(ctx)
	}
}

func (e *evacuation) active() int {
	return e.idle + e.busy
}

func (e *evacuation) report(left int) {
	e.progress.Remaining = left
	e.progress.Moving = len(e.moving)
	if e.Report != nil {
		e.Report(e.progress)
	}
}

// launch starts moves for the shards that are not moving yet. It starts those
// with requests in flight only when no idle shard is left, and then all at once,
// so that none of them accepts new requests while another one drains.
func (e *evacuation) launch(ctx context.Context, now time.Time, in balance.Input) {
	in.Shards = e.notMoving(in.Shards)
	if len(in.Shards) == 0 {
		return
	}
	moves := e.Policy.Evacuate(now, in)
	if len(moves) == 0 {
		e.backOff(now)
		return
	}
	idleLeft := !moves[0].Busy || e.idle > 0
	for _, m := range moves {
		if idleLeft && (m.Busy || e.idle >= maxIdleMoves) {
			break
		}
		// A target accepts one move at a time. A busy shard may share a target
		// with other busy shards, because the target's preparation expires while
		// the source drains and is renewed afterwards.
		if e.targets[m.Target.Name] {
			continue
		}
		e.start(ctx, now, m)
	}
}

func (e *evacuation) notMoving(shards []balance.ShardLoad) []balance.ShardLoad {
	var result []balance.ShardLoad
	for _, s := range shards {
		if !e.moving[s.Shard] {
			result = append(result, s)
		}
	}
	return result
}

func (e *evacuation) start(ctx context.Context, now time.Time, m balance.Move) {
	group, ok := e.Group(m.Group)
	if !ok {
		// This host lost the group after Input listed its shards.
		e.backOff(now)
		return
	}
	e.countAttempt(m, 1)
	for _, s := range m.Shards {
		e.moving[s] = true
	}
	plan := evacuationPlan(group, m)
	go func() {
		e.results <- attempt{move: m, result: e.Mover.Run(ctx, plan)}
	}()
}

func evacuationPlan(group ownership.Group, m balance.Move) Plan {
	plan := Plan{
		Service:         group.Service,
		SourceGroup:     group.ID,
		Generation:      group.Generation,
		JournalComplete: group.JournalComplete,
		Shards:          m.Shards,
		RequestRate:     m.RequestRate,
		Target:          m.Target,
	}
	if m.Busy {
		plan.ShutdownDrainLimit = m.LongestRemaining + drainMargin
	}
	return plan
}

// countAttempt counts the start (n = 1) or the end (n = -1) of an attempt.
func (e *evacuation) countAttempt(m balance.Move, n int) {
	if m.Busy {
		e.busy += n
		return
	}
	e.idle += n
	if n > 0 {
		e.targets[m.Target.Name] = true
	} else {
		delete(e.targets, m.Target.Name)
	}
}

// wait returns when an attempt ends, when the delay after a failure is over or
// when ctx is done.
func (e *evacuation) wait(ctx context.Context) {
	var timer <-chan time.Time
	if delay := time.Until(e.retryAt); delay > 0 || e.active() == 0 {
		t := time.NewTimer(delay)
		defer t.Stop()
		timer = t.C
	}
	select {
	case a := <-e.results:
		e.attemptEnded(a)
	case <-timer:
	case <-ctx.Done():
	}
}

func (e *evacuation) waitForAttempts() {
	for e.active() > 0 {
		e.attemptEnded(<-e.results)
	}
}

func (e *evacuation) attemptEnded(a attempt) {
	now := time.Now()
	e.countAttempt(a.move, -1)
	for _, s := range a.move.Shards {
		delete(e.moving, s)
	}
	if a.result.Outcome == Applied {
		e.failures = 0
		e.progress.Moved += len(a.move.Shards)
		e.Policy.RecordMove(now, a.move)
		e.Log.Log(eventEvacuation, event.F("moved", e.progress.Moved), event.F("left", e.progress.Remaining))
		return
	}
	e.progress.FailedAttempts++
	if a.result.AvoidTarget() {
		e.Policy.RecordRefusal(now, a.move.Target.Name)
	}
	if errkind.Is(a.result.Err, errkind.Conflict) {
		// The target is receiving another host's move and will soon be free.
		e.failures = 0
	}
	e.backOff(now)
}

func (e *evacuation) backOff(now time.Time) {
	e.failures++
	e.retryAt = now.Add(Backoff(e.failures, e.Random()))
}
