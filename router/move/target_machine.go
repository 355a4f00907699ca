package move

import (
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/ownership"
)

// Limits of the target.
const (
	// PreparationTimeout is how long a preparation waits for the next message
	// from the source. Other moves are refused meanwhile.
	PreparationTimeout = 3 * time.Second
	// Backoff between reads of the target's row when no commit message follows
	// the transfer. The first read comes soon because the source may fail after
	// its commit; a commit normally follows within two round trips to the store.
	checkBackoffMin = 300 * time.Millisecond
	checkBackoffMax = 10 * time.Second
	// maxUnchangedReads is the number of reads of an unchanged row after which
	// the target stops checking: 300 ms doubled six times is 38 s in total.
	maxUnchangedReads = 7
	// maxChecks limits the number of moves checked at the same time.
	maxChecks = 16
)

// TargetEvent is an input of the target's state machine.
type TargetEvent interface{ targetEvent() }

// Events of the target.
type (
	// PrepareRequested is a request to prepare.
	PrepareRequested struct{ Request PrepareRequest }
	// AcceptDone is the result of AcceptShards.
	AcceptDone struct {
		MoveID string
		Group  ownership.Group
		Err    error
	}
	// TransferRequested is a request to import journal entries.
	TransferRequested struct{ Request TransferRequest }
	// ImportDone is the result of ImportEntries.
	ImportDone struct {
		MoveID string
		Err    error
	}
	// CommitRequested is the notification that both rows are written.
	CommitRequested struct{ Request CommitRequest }
	// RowRead is the result of ReadRow.
	RowRead struct {
		MoveID string
		Group  ownership.Group
		Err    error
	}
	// TargetTick means that the time returned by Wake has passed.
	TargetTick struct{}
)

func (PrepareRequested) targetEvent()  {}
func (AcceptDone) targetEvent()        {}
func (TransferRequested) targetEvent() {}
func (ImportDone) targetEvent()        {}
func (CommitRequested) targetEvent()   {}
func (RowRead) targetEvent()           {}
func (TargetTick) targetEvent()        {}

// TargetAction is an output of the target's state machine.
type TargetAction interface{ targetAction() }

// Actions of the target.
type (
	// AcceptShards asks the Receiver for the group that will receive the shards.
	// It results in AcceptDone.
	AcceptShards struct{ Request PrepareRequest }
	// RespondPrepare responds to PrepareRequested.
	RespondPrepare struct {
		Response PrepareResponse
		Err      error
	}
	// ImportEntries imports journal entries. It results in ImportDone.
	ImportEntries struct {
		GroupID string
		Request TransferRequest
	}
	// RespondTransfer responds to TransferRequested.
	RespondTransfer struct{ Err error }
	// AdoptTargetRecords applies records to this host.
	AdoptTargetRecords struct{ Records []ownership.Group }
	// ReadRow reads the row of a group. It results in RowRead.
	ReadRow struct {
		MoveID  string
		Service string
		GroupID string
	}
)

func (AcceptShards) targetAction()       {}
func (RespondPrepare) targetAction()     {}
func (ImportEntries) targetAction()      {}
func (RespondTransfer) targetAction()    {}
func (AdoptTargetRecords) targetAction() {}
func (ReadRow) targetAction()            {}

// preparation is the move that the target has agreed to receive.
type preparation struct {
	moveID  string
	group   ownership.Group // zero until the Receiver has accepted the shards
	expires time.Time
	// imports is the number of imports in progress. The preparation does not
	// expire while it is above 0.
	imports int
}

// commitCheck checks the row of a group for the commit of a transferred move
// whose commit message has not arrived.
type commitCheck struct {
	moveID         string
	group          ownership.Group
	next           time.Time
	backoff        time.Duration
	unchangedReads int
	reading        bool
}

// TargetMachine is the state machine of a host that receives shards. It receives
// one move at a time. It is not safe for concurrent use.
//
// The source need not be notified when a preparation expires: its write is
// conditional on the row version that the target prepared, and imported entries
// stay, so a late commit is safe.
type TargetMachine struct {
	current *preparation
	checks  []*commitCheck
}

// NewTargetMachine returns a machine without moves.
func NewTargetMachine() *TargetMachine {
	return &TargetMachine{}
}

// Busy reports whether a move is being received.
func (m *TargetMachine) Busy(now time.Time) bool {
	m.expire(now)
	return m.current != nil
}

// Wake returns the time at which the machine needs a TargetTick, or false if it
// needs none.
func (m *TargetMachine) Wake() (time.Time, bool) {
	var wake time.Time
	for _, c := range m.checks {
		if !c.reading && (wake.IsZero() || c.next.Before(wake)) {
			wake = c.next
		}
	}
	return wake, !wake.IsZero()
}

// Step processes an event and returns the actions to execute.
func (m *TargetMachine) Step(now time.Time, event TargetEvent) []TargetAction {
	m.expire(now)
	switch e := event.(type) {
	case PrepareRequested:
		return m.prepareRequested(now, e.Request)
	case AcceptDone:
		return m.acceptDone(now, e)
	case TransferRequested:
		return m.transferRequested(e.Request)
	case ImportDone:
		return m.importDone(now, e)
	case CommitRequested:
		return m.commitRequested(e.Request)
	case RowRead:
		return m.rowRead(now, e)
	case TargetTick:
		return m.tick(now)
	}
	return nil
}

func (m *TargetMachine) expire(now time.Time) {
	p := m.current
	if p != nil && p.imports == 0 && !now.Before(p.expires) {
		m.current = nil
	}
}

func (m *TargetMachine) prepareRequested(now time.Time, r PrepareRequest) []TargetAction {
	if m.current != nil && m.current.moveID != r.MoveID {
		err := errkind.New(errkind.Conflict, "move %s: move %s is being received", r.MoveID, m.current.moveID)
		return []TargetAction{RespondPrepare{Err: err}}
	}
	// A retried request asks the Receiver again: the row may have a newer
	// version, on which the source's write must be conditional.
	if m.current == nil {
		m.current = &preparation{moveID: r.MoveID}
	}
	m.current.expires = now.Add(PreparationTimeout)
	return []TargetAction{AcceptShards{r}}
}

func (m *TargetMachine) acceptDone(now time.Time, e AcceptDone) []TargetAction {
	p := m.current
	if p == nil || p.moveID != e.MoveID {
		err := errkind.New(errkind.Conflict, "move %s: the preparation expired", e.MoveID)
		return []TargetAction{RespondPrepare{Err: err}}
	}
	if e.Err != nil {
		m.current = nil
		return []TargetAction{RespondPrepare{Err: e.Err}}
	}
	p.group = e.Group
	p.expires = now.Add(PreparationTimeout)
	return []TargetAction{RespondPrepare{Response: PrepareResponse{Target: e.Group}}}
}

func (m *TargetMachine) transferRequested(r TransferRequest) []TargetAction {
	p := m.current
	if p == nil || p.moveID != r.MoveID || p.group.ID == "" {
		err := errkind.New(errkind.Conflict, "move %s is not prepared", r.MoveID)
		return []TargetAction{RespondTransfer{Err: err}}
	}
	p.imports++
	return []TargetAction{ImportEntries{GroupID: p.group.ID, Request: r}}
}

func (m *TargetMachine) importDone(now time.Time, e ImportDone) []TargetAction {
	p := m.current
	if p == nil || p.moveID != e.MoveID {
		// The move was committed or abandoned during the import.
		return []TargetAction{RespondTransfer{Err: e.Err}}
	}
	p.imports = max(0, p.imports-1)
	p.expires = now.Add(PreparationTimeout)
	if e.Err == nil {
		m.addCheck(now, p)
	}
	return []TargetAction{RespondTransfer{Err: e.Err}}
}

// addCheck starts checking the row for the commit. Each part of the transfer
// postpones the first read.
func (m *TargetMachine) addCheck(now time.Time, p *preparation) {
	m.removeCheck(p.moveID)
	if len(m.checks) == maxChecks {
		m.checks = m.checks[1:]
	}
	m.checks = append(m.checks, &commitCheck{
		moveID:  p.moveID,
		group:   p.group,
		next:    now.Add(checkBackoffMin),
		backoff: checkBackoffMin,
	})
}

func (m *TargetMachine) removeCheck(moveID string) {
	for i, c := range m.checks {
		if c.moveID == moveID {
			m.checks = append(m.checks[:i:i], m.checks[i+1:]...)
			return
		}
	}
}

// commitRequested adopts the records even if the move is no longer known here,
// because the rows are authoritative.
func (m *TargetMachine) commitRequested(r CommitRequest) []TargetAction {
	m.end(r.MoveID)
	return []TargetAction{AdoptTargetRecords{[]ownership.Group{r.Source, r.Target}}}
}

func (m *TargetMachine) end(moveID string) {
	m.removeCheck(moveID)
	if m.current != nil && m.current.moveID == moveID {
		m.current = nil
	}
}

func (m *TargetMachine) tick(now time.Time) []TargetAction {
	var actions []TargetAction
	for _, c := range m.checks {
		if c.reading || now.Before(c.next) {
			continue
		}
		c.reading = true
		actions = append(actions, ReadRow{MoveID: c.moveID, Service: c.group.Service, GroupID: c.group.ID})
	}
	return actions
}

func (m *TargetMachine) rowRead(now time.Time, e RowRead) []TargetAction {
	c := m.findCheck(e.MoveID)
	if c == nil {
		return nil
	}
	c.reading = false
	if e.Err == nil && e.Group.Version > c.group.Version {
		// Either the move was committed or it can no longer be: its write is
		// conditional on the older version.
		m.end(e.MoveID)
		return []TargetAction{AdoptTargetRecords{[]ownership.Group{e.Group}}}
	}
	if e.Err == nil {
		c.unchangedReads++
	}
	if c.unchangedReads == maxUnchangedReads {
		m.removeCheck(e.MoveID)
		return nil
	}
	c.next = now.Add(c.backoff)
	c.backoff = min(2*c.backoff, checkBackoffMax)
	return nil
}

func (m *TargetMachine) findCheck(moveID string) *commitCheck {
	for _, c := range m.checks {
		if c.moveID == moveID {
			return c
		}
	}
	return nil
}
