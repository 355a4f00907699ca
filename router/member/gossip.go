package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/stores/table"
)

var (
	evInvalidRow = event.Define(1510, log.WarnLevel, "invalid row ignored",
		"a row from the table service or a peer cannot be decoded",
		"compare the versions of the routers; a row written by hand must be repaired in the table service")
	evScanFailed = event.Define(1511, log.WarnLevel, "scan of rows failed",
		"a periodic scan of the table service failed",
		"none if the table service is known to be down; the router continues with the rows that its peers send")
	evGossipFailed = event.Define(1512, log.InfoLevel, "gossip call to peer failed",
		"a peer could not be reached, or did not respond to a gossip call",
		"none for a host that was stopped; otherwise check that host")
)

// Intervals and limits of the gossip between routers.
const (
	// pushFanout is the number of random peers to which a change is pushed at once.
	pushFanout = 3
	// exchangeInterval is the mean time between comparisons with a random peer.
	exchangeInterval = 2 * time.Second
	callTimeout      = 2 * time.Second
	minScanInterval  = 30 * time.Second
	// scanPerMember scales the scan interval with the number of members, so
	// that all routers together scan about once per second.
	scanPerMember     = time.Second
	maxRowsPerMessage = 500
	// maxLoadsPerMessage limits the load summaries of a message, of about 50 bytes
	// each, to keep gossip within the control traffic budget of a host.
	maxLoadsPerMessage = 16
)

// Caller sends control calls. peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, to ownership.Host, method string, params, result any) error
}

// GossipOptions configure a Gossip.
type GossipOptions struct {
	Self ownership.Host
	// Seeds are control addresses of routers to contact in addition to the known
	// members.
	Seeds     []string
	Directory *Directory
	Store     table.Store
	Peers     Caller
	// OnGroups receives the group records that are newer than the known ones.
	OnGroups func([]ownership.Group)
	// Load returns the load summary of this host.
	Load func() Load
	// NoteVersion returns the version of the release note of this host;
	// OnNoteVersion receives the versions of peers.
	NoteVersion   func() int64
	OnNoteVersion func(version int64, from ownership.Host)
	Log           *event.Logger
}

// Gossip disseminates rows between routers: it pushes changes to random peers,
// periodically compares all rows with a random peer, and periodically scans the
// table service.
type Gossip struct {
	o    GossipOptions
	rows *Rows

	mu      sync.Mutex
	pending []Version
	wake    chan struct{}
}

// NewGossip returns a Gossip without rows.
func NewGossip(o GossipOptions) *Gossip {
	return &Gossip{o: o, rows: NewRows(), wake: make(chan struct{}, 1)}
}

// Methods returns the handlers of the control methods that peers call.
func (g *Gossip) Methods() map[string]peer.Method {
	return map[string]peer.Method{
		MethodPush:    peer.Handle(g.handlePush),
		MethodRecords: peer.Handle(g.handleRecords),
		MethodDigest:  peer.Handle(g.handleDigest),
		MethodFetch:   peer.Handle(g.handleFetch),
	}
}

// Run exchanges rows with peers until ctx is done.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.pushLoop(ctx) })
	wg.Go(func() { g.scanLoop(ctx) })
	g.exchangeLoop(ctx)
	wg.Wait()
}

// Learn merges rows written by this host or received from others, and pushes
// those whose value changed. Row renewals are not pushed: 1,560 groups renew
// their rows every 450 s, which would cost each host 30 KB/s. Other routers see
// the new version when they scan, long before the renewal deadline.
func (g *Gossip) Learn(rows ...table.Row) {
	valid := rows[:0:0]
	for _, row := range rows {
		if g.isValid(row) {
			valid = append(valid, row)
		}
	}
	newer, changed := g.rows.merge(time.Now(), valid)
	if len(newer) > 0 {
		g.apply(newer)
	}
	if len(changed) == 0 {
		return
	}
	g.mu.Lock()
	g.pending = append(g.pending, changed...)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// LearnGroup merges the row of a group record, as Learn does.
func (g *Gossip) LearnGroup(record ownership.Group) {
	value, err := ownership.EncodeGroup(record)
	if err != nil {
		g.o.Log.Log(evInvalidRow, event.F("row", record.Key()), event.F("error", err.Error()))
		return
	}
	g.Learn(table.Row{Key: record.Key(), Version: record.Version, WriteID: record.WriteID, Value: value})
}

// isValid reports whether the row can be decoded, and logs it if it cannot.
func (g *Gossip) isValid(row table.Row) bool {
	var err error
	switch {
	case hasPrefix(row.Key, Prefix):
		_, err = Decode(row)
	case hasPrefix(row.Key, ownership.GroupPrefix):
		_, err = ownership.DecodeGroup(row)
	default:
		err = errors.New("unknown kind of row")
	}
	if err != nil {
		g.o.Log.Log(evInvalidRow, event.F("row", row.Key), event.F("error", err.Error()))
	}
	return err == nil
}

func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && key[:len(prefix)] == prefix
}

// apply passes valid rows on to the directory and to OnGroups.
func (g *Gossip) apply(rows []table.Row) {
	var groups []ownership.Group
	for _, row := range rows {
		if hasPrefix(row.Key, Prefix) {
			m, _ := Decode(row)
			g.o.Directory.Put(m)
			continue
		}
		record, _ := ownership.DecodeGroup(row)
		groups = append(groups, record)
	}
	if len(groups) > 0 {
		g.o.OnGroups(groups)
	}
}

func (g *Gossip) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		g.mu.Lock()
		versions := g.pending
		g.pending = nil
		g.mu.Unlock()
		for _, m := range g.o.Directory.Peers(time.Now(), g.o.Self.Name, pushFanout) {
			g.push(ctx, m.Host, versions)
		}
	}
}

func (g *Gossip) push(ctx context.Context, to ownership.Host, versions []Version) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response PushResponse
	err := g.o.Peers.Call(ctx, to, MethodPush, Push{
		From:        g.o.Self,
		Versions:    versions,
		Loads:       g.ownLoad(),
		NoteVersion: g.o.NoteVersion(),
	}, &response)
	if !g.recordContact(to, err) {
		return
	}
	g.learnLoads(response.Loads)
	g.o.OnNoteVersion(response.NoteVersion, to)
	g.sendRows(ctx, to, g.rows.Get(response.Want))
}

func (g *Gossip) sendRows(ctx context.Context, to ownership.Host, rows []table.Row) {
	for len(rows) > 0 {
		n := min(len(rows), maxRowsPerMessage)
		if err := g.o.Peers.Call(ctx, to, MethodRecords, Records{Rows: rows[:n]}, &struct{}{}); !g.recordContact(to, err) {
			return
		}
		rows = rows[n:]
	}
}

// recordContact updates the suspicion of a peer after a call and reports whether
// the call succeeded. An error response does not make the peer suspect.
func (g *Gossip) recordContact(to ownership.Host, err error) bool {
	if err == nil {
		g.o.Directory.ClearSuspect(to.Name)
		return true
	}
	if to.Name != "" && (errkind.Is(err, errkind.PeerUnreachable) || errors.Is(err, peer.ErrNoResponse)) {
		g.o.Directory.MarkSuspect(time.Now(), to.Name)
	}
	g.o.Log.Log(evGossipFailed, event.F("host", to.Name), event.F("address", to.ControlAddr), event.F("error", err.Error()))
	return false
}

// ownLoad returns only this host's summary. Pushes and their responses carry it:
// when hosts start, shards move fast, and a source with outdated loads of its
// targets moves too many.
func (g *Gossip) ownLoad() Loads {
	return Loads{g.o.Load()}
}

// loads returns this host's summary and up to maxLoadsPerMessage random ones of
// other hosts.
func (g *Gossip) loads() Loads {
	loads := g.ownLoad()
	received := g.o.Directory.Loads()
	rand.Shuffle(len(received), func(i, j int) { received[i], received[j] = received[j], received[i] })
	for _, l := range received[:min(len(received), maxLoadsPerMessage)] {
		if l.Host != g.o.Self.Name {
			loads = append(loads, l.Load)
		}
	}
	return loads
}

func (g *Gossip) learnLoads(loads []Load) {
	now := time.Now()
	for _, l := range loads {
		if l.Host != g.o.Self.Name {
			g.o.Directory.PutLoad(now, l)
		}
	}
}
