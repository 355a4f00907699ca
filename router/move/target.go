package move

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/event"
)

// readTimeout bounds the read of a row.
const readTimeout = 2 * time.Second

// TargetOptions configure a Target. Log may be nil; the rest is required.
type TargetOptions struct {
	Receiver Receiver
	Records  Records
	Adopter  Adopter
	Log      *event.Logger
}

// Target receives shards from other hosts. Prepare, Transfer and Commit handle
// the peer methods of the same names and are safe for concurrent use.
type Target struct {
	o TargetOptions

	mu      sync.Mutex
	machine *TargetMachine
	// wake tells Run that the machine's wake time may have changed.
	wake chan struct{}
}

// NewTarget returns a Target. Its Run method must be called.
func NewTarget(o TargetOptions) *Target {
	return &Target{o: o, machine: NewTargetMachine(), wake: make(chan struct{}, 1)}
}

// Busy reports whether a move is being received.
func (t *Target) Busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Busy(time.Now())
}

// Prepare handles move.prepare.
func (t *Target) Prepare(_ context.Context, r PrepareRequest) (PrepareAnswer, error) {
	for _, action := range t.step(PrepareAsked{r}) {
		switch a := action.(type) {
		case AskReceiver:
			return t.accept(a.Request)
		case AnswerPrepare:
			return a.Answer, a.Err
		}
	}
	return PrepareAnswer{}, errNoAnswer
}

func (t *Target) accept(r PrepareRequest) (PrepareAnswer, error) {
	group, err := t.o.Receiver.Accept(r)
	for _, action := range t.step(AcceptAnswered{MoveID: r.MoveID, Group: group, Err: err}) {
		if a, ok := action.(AnswerPrepare); ok {
			return a.Answer, a.Err
		}
	}
	return PrepareAnswer{}, errNoAnswer
}

// Transfer handles move.transfer.
func (t *Target) Transfer(ctx context.Context, r TransferRequest) (TransferAnswer, error) {
	for _, action := range t.step(TransferAsked{r}) {
		switch a := action.(type) {
		case ImportEntries:
			return TransferAnswer{}, t.importEntries(ctx, a)
		case AnswerTransfer:
			return TransferAnswer{}, a.Err
		}
	}
	return TransferAnswer{}, errNoAnswer
}

func (t *Target) importEntries(ctx context.Context, a ImportEntries) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	err := t.o.Receiver.ImportJournal(ctx, a.GroupID, a.Request.Entries)
	for _, action := range t.step(ImportEnded{MoveID: a.Request.MoveID, Err: err}) {
		if answer, ok := action.(AnswerTransfer); ok {
			return answer.Err
		}
	}
	return errNoAnswer
}

// Commit handles move.commit.
func (t *Target) Commit(_ context.Context, r CommitRequest) (CommitAnswer, error) {
	for _, action := range t.step(CommitAsked{r}) {
		if a, ok := action.(AdoptAtTarget); ok {
			t.o.Adopter.Adopt(a.Records...)
		}
	}
	t.o.Log.Log(eventReceived,
		event.F("move", r.MoveID),
		event.F("service", r.Target.Service),
		event.F("group", r.Target.ID),
		event.F("source", r.Source.Holder.Name))
	return CommitAnswer{}, nil
}

// Run reads rows for moves whose commit message did not come. It returns when
// ctx ends.
func (t *Target) Run(ctx context.Context) {
	for t.sleep(ctx) {
		for _, action := range t.step(TargetTick{}) {
			if a, ok := action.(ReadRow); ok {
				t.readRow(ctx, a)
			}
		}
	}
}

// sleep waits for the machine's wake time. It returns false when ctx ends.
func (t *Target) sleep(ctx context.Context) bool {
	t.mu.Lock()
	wake, ok := t.machine.Wake()
	t.mu.Unlock()
	var timer <-chan time.Time
	if ok {
		tm := time.NewTimer(time.Until(wake))
		defer tm.Stop()
		timer = tm.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.wake:
	case <-timer:
	}
	return true
}

func (t *Target) readRow(ctx context.Context, a ReadRow) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	group, err := t.o.Records.ReadGroup(ctx, a.Service, a.GroupID)
	for _, action := range t.step(RowRead{MoveID: a.MoveID, Group: group, Err: err}) {
		if adopt, ok := action.(AdoptAtTarget); ok {
			t.o.Log.Log(eventFoundInRow, event.F("move", a.MoveID), event.F("group", a.GroupID))
			t.o.Adopter.Adopt(adopt.Records...)
		}
	}
}

func (t *Target) step(e TargetEvent) []TargetAction {
	t.mu.Lock()
	before, _ := t.machine.Wake()
	actions := t.machine.Step(time.Now(), e)
	after, _ := t.machine.Wake()
	t.mu.Unlock()
	// Run steps the machine itself; without this test it would wake itself
	// without end.
	if before.Equal(after) {
		return actions
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return actions
}
