package move

import (
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/ownership"
)

// Limits of the target.
const (
	// PreparationTimeout is how long a preparation waits for the next message of
	// the source. Other moves are refused meanwhile.
	PreparationTimeout = 3 * time.Second
	// The target reads its row when no commit message follows the transfer.
	// The first read comes soon because the source may be lost after its
	// commit; a commit normally follows within two delays to the store.
	checkPauseMin = 300 * time.Millisecond
	checkPauseMax = 10 * time.Second
	// checkReads is the number of reads that find the row unchanged before the
	// target stops looking: 300 ms doubled six times is 38 s in all.
	checkReads = 7
	// maxChecks bounds the moves that are looked for.
	maxChecks = 16
)

// TargetEvent is an input of the target's state machine.
type TargetEvent interface{ targetEvent() }

// Events of the target.
type (
	// PrepareRequested is a request to prepare.
	PrepareRequested struct{ Request PrepareRequest }
	// AcceptDone is the receiver's answer to AcceptShards.
	AcceptDone struct {
		MoveID string
		Group  ownership.Group
		Err    error
	}
	// TransferRequested is a request to take journal entries.
	TransferRequested struct{ Request TransferRequest }
	// ImportDone is the result of ImportEntries.
	ImportDone struct {
		MoveID string
		Err    error
	}
	// CommitRequested is the message that both rows are written.
	CommitRequested struct{ Request CommitRequest }
	// RowRead is the result of ReadRow.
	RowRead struct {
		MoveID string
		Group  ownership.Group
		Err    error
	}
	// TargetTick means that the time of Wake has come.
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
	// AcceptShards asks for the group that will receive the shards. It is
	// answered by AcceptDone.
	AcceptShards struct{ Request PrepareRequest }
	// RespondPrepare answers PrepareRequested.
	RespondPrepare struct {
		Response PrepareResponse
		Err      error
	}
	// ImportEntries takes in journal entries. It is answered by ImportDone.
	ImportEntries struct {
		GroupID string
		Request TransferRequest
	}
	// RespondTransfer answers TransferRequested.
	RespondTransfer struct{ Err error }
	// AdoptTargetRecords takes in records.
	AdoptTargetRecords struct{ Records []ownership.Group }
	// ReadRow reads the row of a group. It is answered by RowRead.
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

// preparation is the incoming move that the target waits for.
type preparation struct {
	moveID  string
	group   ownership.Group // zero until the receiver answered
	expires time.Time
	// imports is the number of imports under way. The preparation does not
	// expire meanwhile.
	imports int
}

// check is a transferred move whose commit has not been heard of.
type check struct {
	moveID  string
	group   ownership.Group
	next    time.Time
	pause   time.Duration
	reads   int
	reading bool
}

// TargetMachine is the state machine of a host that receives shards. It takes
// one move at a time. It is not safe for concurrent use.
//
// A preparation that expires needs no message to the source. The source's
// write is conditional on the row version that the target prepared, and the
// imported entries stay, so a late commit is as good as one in time.
type TargetMachine struct {
	current *preparation
	checks  []*check
}

// NewTargetMachine returns a machine with no move.
func NewTargetMachine() *TargetMachine {
	return &TargetMachine{}
}

// Busy reports whether a move is being received.
func (m *TargetMachine) Busy(now time.Time) bool {
	m.expire(now)
	return m.current != nil
}

// Wake returns the time at which the machine needs a TargetTick, and false
// when there is none.
func (m *TargetMachine) Wake() (time.Time, bool) {
	var wake time.Time
	for _, c := range m.checks {
		if !c.reading && (wake.IsZero() || c.next.Before(wake)) {
			wake = c.next
		}
	}
	return wake, !wake.IsZero()
}

// Step takes in an event and returns what to do.
func (m *TargetMachine) Step(now time.Time, event TargetEvent) []TargetAction {
	m.expire(now)
	switch e := event.(type) {
	case PrepareRequested:
		return m.prepareAsked(now, e.Request)
	case AcceptDone:
		return m.acceptAnswered(now, e)
	case TransferRequested:
		return m.transferAsked(e.Request)
	case ImportDone:
		return m.importEnded(now, e)
	case CommitRequested:
		return m.commitAsked(e.Request)
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

func (m *TargetMachine) prepareAsked(now time.Time, r PrepareRequest) []TargetAction {
	if m.current != nil && m.current.moveID != r.MoveID {
		err := errkind.New(errkind.Conflict, "move %s: move %s is being received", r.MoveID, m.current.moveID)
		return []TargetAction{RespondPrepare{Err: err}}
	}
	// A repeated request asks the receiver again: the row may have a newer
	// version, on which the source's write must be conditional.
	if m.current == nil {
		m.current = &preparation{moveID: r.MoveID}
	}
	m.current.expires = now.Add(PreparationTimeout)
	return []TargetAction{AcceptShards{r}}
}

func (m *TargetMachine) acceptAnswered(now time.Time, e AcceptDone) []TargetAction {
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

func (m *TargetMachine) transferAsked(r TransferRequest) []TargetAction {
	p := m.current
	if p == nil || p.moveID != r.MoveID || p.group.ID == "" {
		err := errkind.New(errkind.Conflict, "move %s is not prepared", r.MoveID)
		return []TargetAction{RespondTransfer{Err: err}}
	}
	p.imports++
	return []TargetAction{ImportEntries{GroupID: p.group.ID, Request: r}}
}

func (m *TargetMachine) importEnded(now time.Time, e ImportDone) []TargetAction {
	p := m.current
	if p == nil || p.moveID != e.MoveID {
		// The move was committed or given up during the import.
		return []TargetAction{RespondTransfer{Err: e.Err}}
	}
	p.imports = max(0, p.imports-1)
	p.expires = now.Add(PreparationTimeout)
	if e.Err == nil {
		m.addCheck(now, p)
	}
	return []TargetAction{RespondTransfer{Err: e.Err}}
}

// addCheck begins to look for the move in the row. Each part of the transfer
// puts the first read off.
func (m *TargetMachine) addCheck(now time.Time, p *preparation) {
	m.dropCheck(p.moveID)
	if len(m.checks) == maxChecks {
		m.checks = m.checks[1:]
	}
	m.checks = append(m.checks, &check{
		moveID: p.moveID,
		group:  p.group,
		next:   now.Add(checkPauseMin),
		pause:  checkPauseMin,
	})
}

func (m *TargetMachine) dropCheck(moveID string) {
	for i, c := range m.checks {
		if c.moveID == moveID {
			m.checks = append(m.checks[:i:i], m.checks[i+1:]...)
			return
		}
	}
}

// commitAsked takes in the records also when the move is not known here any
// more, because the rows decide.
func (m *TargetMachine) commitAsked(r CommitRequest) []TargetAction {
	m.end(r.MoveID)
	return []TargetAction{AdoptTargetRecords{[]ownership.Group{r.Source, r.Target}}}
}

func (m *TargetMachine) end(moveID string) {
	m.dropCheck(moveID)
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
		// Either the move was committed or it never will be: its write is
		// conditional on the older version.
		m.end(e.MoveID)
		return []TargetAction{AdoptTargetRecords{[]ownership.Group{e.Group}}}
	}
	if e.Err == nil {
		c.reads++
	}
	if c.reads == checkReads {
		m.dropCheck(e.MoveID)
		return nil
	}
	c.next = now.Add(c.pause)
	c.pause = min(2*c.pause, checkPauseMax)
	return nil
}

func (m *TargetMachine) findCheck(moveID string) *check {
	for _, c := range m.checks {
		if c.moveID == moveID {
			return c
		}
	}
	return nil
}
