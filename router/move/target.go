package move

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/event"
)

// readTimeout limits the read of a row.
const readTimeout = 2 * time.Second

// TargetOptions configures a Target. Log may be nil; all other fields are
// required.
type TargetOptions struct {
	Receiver Receiver
	Records  Records
	Adopter  Adopter
	Log      *event.Logger
}

// Target receives shards from other hosts. Prepare, Transfer and Commit handle
// the peer methods of the same names. It is safe for concurrent use.
type Target struct {
	options TargetOptions

	mu      sync.Mutex
	machine *TargetMachine
	// wake signals Run that the machine's wake time may have changed.
	wake chan struct{}
}

// NewTarget returns a Target. The caller must call Run.
func NewTarget(o TargetOptions) *Target {
	return &Target{options: o, machine: NewTargetMachine(), wake: make(chan struct{}, 1)}
}

// Busy reports whether a move is being received.
func (t *Target) Busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.Busy(time.Now())
}

// Prepare handles move.prepare.
func (t *Target) Prepare(_ context.Context, r PrepareRequest) (PrepareResponse, error) {
	for _, action := range t.step(PrepareRequested{r}) {
		switch a := action.(type) {
		case AcceptShards:
			return t.accept(a.Request)
		case RespondPrepare:
			return a.Response, a.Err
		}
	}
	return PrepareResponse{}, errNoResponse
}

func (t *Target) accept(r PrepareRequest) (PrepareResponse, error) {
	group, err := t.options.Receiver.Accept(r)
	for _, action := range t.step(AcceptDone{MoveID: r.MoveID, Group: group, Err: err}) {
		if a, ok := action.(RespondPrepare); ok {
			return a.Response, a.Err
		}
	}
	return PrepareResponse{}, errNoResponse
}

// Transfer handles move.transfer.
func (t *Target) Transfer(ctx context.Context, r TransferRequest) (TransferResponse, error) {
	for _, action := range t.step(TransferRequested{r}) {
		switch a := action.(type) {
		case ImportEntries:
			return TransferResponse{}, t.importEntries(ctx, a)
		case RespondTransfer:
			return TransferResponse{}, a.Err
		}
	}
	return TransferResponse{}, errNoResponse
}

func (t *Target) importEntries(ctx context.Context, a ImportEntries) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	err := t.options.Receiver.ImportJournal(ctx, a.GroupID, a.Request.Entries)
	for _, action := range t.step(ImportDone{MoveID: a.Request.MoveID, Err: err}) {
		if respond, ok := action.(RespondTransfer); ok {
			return respond.Err
		}
	}
	return errNoResponse
}

// Commit handles move.commit.
func (t *Target) Commit(_ context.Context, r CommitRequest) (CommitResponse, error) {
	for _, action := range t.step(CommitRequested{r}) {
		if a, ok := action.(AdoptTargetRecords); ok {
			t.options.Adopter.Adopt(a.Records...)
		}
	}
	t.options.Log.Log(eventReceived,
		event.F("move", r.MoveID),
		event.F("service", r.Target.Service),
		event.F("group", r.Target.ID),
		event.F("source", r.Source.Holder.Name))
	return CommitResponse{}, nil
}

// Run reads the rows of moves whose commit message did not arrive. It returns
// when ctx is done.
func (t *Target) Run(ctx context.Context) {
	for t.sleep(ctx) {
		for _, action := range t.step(TargetTick{}) {
			if a, ok := action.(ReadRow); ok {
				t.readRow(ctx, a)
			}
		}
	}
}

// sleep waits until the machine's wake time or until it may have changed. It
// returns false if ctx is done.
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
	group, err := t.options.Records.ReadGroup(ctx, a.Service, a.GroupID)
	for _, action := range t.step(RowRead{MoveID: a.MoveID, Group: group, Err: err}) {
		if adopt, ok := action.(AdoptTargetRecords); ok {
			t.options.Log.Log(eventFoundInRow, event.F("move", a.MoveID), event.F("group", a.GroupID))
			t.options.Adopter.Adopt(adopt.Records...)
		}
	}
}

func (t *Target) step(e TargetEvent) []TargetAction {
	t.mu.Lock()
	before, _ := t.machine.Wake()
	actions := t.machine.Step(time.Now(), e)
	after, _ := t.machine.Wake()
	t.mu.Unlock()
	// Run calls step too; without this check it would wake itself endlessly.
	if before.Equal(after) {
		return actions
	}
	select {
	case t.wake <- struct{}{}:
	default:
	}
	return actions
}
