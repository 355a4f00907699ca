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
	evBadRow = event.Define(1510, log.WarnLevel, "row refused",
		"a row from the table service or a peer does not decode",
		"compare the versions of the routers; a row written by hand must be repaired in the table service")
	evScanFailed = event.Define(1511, log.WarnLevel, "scan of rows failed",
		"the table service did not answer a periodic scan",
		"none if the table service is known to be down; the router goes on with what its peers tell")
	evPeerSilent = event.Define(1512, log.InfoLevel, "peer did not answer",
		"a peer could not be reached or did not answer an exchange",
		"none for a host that was stopped; otherwise look at that host")
)

// Control methods of this package.
const (
	MethodPush    = "gossip.push"
	MethodRecords = "gossip.records"
	MethodDigest  = "gossip.digest"
	MethodFetch   = "gossip.fetch"
)

// Times and sizes of the exchange between routers.
const (
	// pushFanout is the number of random peers that learn of a change at once.
	pushFanout = 3
	// exchangeInterval is the time between comparisons with a random peer.
	exchangeInterval = 2 * time.Second
	callTimeout      = 2 * time.Second
	minScanInterval  = 30 * time.Second
	// scanPerMember stretches the scan interval with the number of members, so
	// that all routers together scan about once a second.
	scanPerMember = time.Second
	// maxRowsPerMessage bounds one message.
	maxRowsPerMessage = 500
	// maxLoadsPerMessage keeps the exchange within the control traffic of a
	// host: a summary has about 50 bytes.
	maxLoadsPerMessage = 16
)

// Push tells a peer of new row versions.
type Push struct {
	From        ownership.Host `json:"from"`
	Versions    []Version      `json:"versions"`
	Loads       Loads          `json:"loads"`
	NoteVersion int64          `json:"note_version"`
}

// PushAnswer lists the rows that the peer wants to have.
type PushAnswer struct {
	Want        []string `json:"want"`
	Loads       Loads    `json:"loads"`
	NoteVersion int64    `json:"note_version"`
}

// Records carries rows.
type Records struct {
	Rows []table.Row `json:"rows"`
}

// Digest asks for a comparison of all rows. The first question of an exchange
// carries the root alone, which suffices while both hold the same; the second
// carries the digests of all buckets.
type Digest struct {
	From        ownership.Host `json:"from"`
	Root        uint64         `json:"root,string"`
	Digests     *Digests       `json:"digests,omitempty"`
	Loads       Loads          `json:"loads,omitempty"`
	NoteVersion int64          `json:"note_version"`
}

// DigestAnswer tells whether the rows are the same and, when the question had
// digests, has the versions of the rows in the buckets that differ.
type DigestAnswer struct {
	Same        bool      `json:"same"`
	Digests     *Digests  `json:"digests,omitempty"`
	Versions    []Version `json:"versions,omitempty"`
	Loads       Loads     `json:"loads,omitempty"`
	NoteVersion int64     `json:"note_version"`
}

// Fetch asks for rows by key.
type Fetch struct {
	Keys []string `json:"keys"`
}

// Caller sends control calls. peer.Client implements it.
type Caller interface {
	Call(ctx context.Context, to ownership.Host, method string, params, answer any) error
}

// GossipOptions configure a Gossip.
type GossipOptions struct {
	Self ownership.Host
	// Seeds are control addresses of routers to ask when no member is known.
	Seeds     []string
	Directory *Directory
	Store     table.Store
	Peers     Caller
	// OnGroups gets the group records that were newer than the known ones.
	OnGroups func([]ownership.Group)
	// Load returns this host's own summary.
	Load func() Load
	// NoteVersion and OnNoteVersion exchange the version of the release note;
	// OnNoteVersion gets versions of peers with the peer's address.
	NoteVersion   func() int64
	OnNoteVersion func(version int64, from ownership.Host)
	Log           *event.Logger
}

// Gossip spreads rows between routers.
type Gossip struct {
	o    GossipOptions
	rows *Rows

	mu      sync.Mutex
	pending []Version
	wake    chan struct{}
}

// NewGossip returns a Gossip that knows no rows.
func NewGossip(o GossipOptions) *Gossip {
	return &Gossip{o: o, rows: NewRows(), wake: make(chan struct{}, 1)}
}

// Methods returns the control methods that peers call.
func (g *Gossip) Methods() map[string]peer.Method {
	return map[string]peer.Method{
		MethodPush:    peer.Handle(g.handlePush),
		MethodRecords: peer.Handle(g.handleRecords),
		MethodDigest:  peer.Handle(g.handleDigest),
		MethodFetch:   peer.Handle(g.handleFetch),
	}
}

// Run exchanges rows with peers until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { g.pushLoop(ctx) })
	running.Go(func() { g.scanLoop(ctx) })
	g.exchangeLoop(ctx)
	running.Wait()
}

// Learn takes in rows written by this host or received from others, and spreads
// those that have a new value. A touch of a row is not spread: 1,560 groups
// touch theirs every 450 s, which would cost each host 30 KB/s. Other routers
// see the new version when they scan, long before the horizon.
func (g *Gossip) Learn(rows ...table.Row) {
	valid := rows[:0:0]
	for _, row := range rows {
		if g.check(row) {
			valid = append(valid, row)
		}
	}
	newer, changed := g.rows.take(time.Now(), valid)
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

// LearnGroup takes in a group record.
func (g *Gossip) LearnGroup(record ownership.Group) {
	value, err := ownership.EncodeGroup(record)
	if err != nil {
		g.o.Log.Log(evBadRow, event.F("row", record.Key()), event.F("error", err.Error()))
		return
	}
	g.Learn(table.Row{Key: record.Key(), Version: record.Version, WriteID: record.WriteID, Value: value})
}

func (g *Gossip) check(row table.Row) bool {
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
		g.o.Log.Log(evBadRow, event.F("row", row.Key), event.F("error", err.Error()))
	}
	return err == nil
}

func hasPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && key[:len(prefix)] == prefix
}

// apply hands checked rows to the directory and the route table.
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
	var answer PushAnswer
	err := g.o.Peers.Call(ctx, to, MethodPush, Push{
		From:        g.o.Self,
		Versions:    versions,
		Loads:       g.ownLoad(),
		NoteVersion: g.o.NoteVersion(),
	}, &answer)
	if !g.heard(to, err) {
		return
	}
	g.learnLoads(answer.Loads)
	g.o.OnNoteVersion(answer.NoteVersion, to)
	g.sendRows(ctx, to, g.rows.Get(answer.Want))
}

func (g *Gossip) sendRows(ctx context.Context, to ownership.Host, rows []table.Row) {
	for len(rows) > 0 {
		n := min(len(rows), maxRowsPerMessage)
		if err := g.o.Peers.Call(ctx, to, MethodRecords, Records{Rows: rows[:n]}, &struct{}{}); !g.heard(to, err) {
			return
		}
		rows = rows[n:]
	}
}

// heard notes whether a peer answered and reports it. A refusal is an answer.
func (g *Gossip) heard(to ownership.Host, err error) bool {
	if err == nil {
		g.o.Directory.Heard(to.Name)
		return true
	}
	if to.Name != "" && (errkind.Is(err, errkind.PeerUnreachable) || errors.Is(err, peer.ErrNoResponse)) {
		g.o.Directory.Suspect(time.Now(), to.Name)
	}
	g.o.Log.Log(evPeerSilent, event.F("host", to.Name), event.F("address", to.ControlAddr), event.F("error", err.Error()))
	return false
}

func (g *Gossip) exchangeLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if to, ok := g.exchangePeer(); ok {
			g.Exchange(ctx, to)
		}
		timer.Reset(exchangeInterval/2 + rand.N(exchangeInterval))
	}
}

// exchangePeer picks a random member, or a seed that is no known member. Seeds
// count even when members are known: two groups of hosts that started apart
// would otherwise not learn of each other before their next scans.
func (g *Gossip) exchangePeer() (ownership.Host, bool) {
	candidates := g.unknownSeeds()
	if peers := g.o.Directory.Peers(time.Now(), g.o.Self.Name, 1); len(peers) > 0 {
		candidates = append(candidates, peers[0].Host)
	}
	if len(candidates) == 0 {
		return ownership.Host{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// unknownSeeds returns the seeds that are neither this host nor a known member.
func (g *Gossip) unknownSeeds() []ownership.Host {
	known := map[string]bool{g.o.Self.ControlAddr: true}
	for _, m := range g.o.Directory.All() {
		known[m.Host.ControlAddr] = true
	}
	var seeds []ownership.Host
	for _, address := range g.o.Seeds {
		if !known[address] {
			seeds = append(seeds, ownership.Host{ControlAddr: address})
		}
	}
	return seeds
}

// Exchange compares all rows with a peer and levels the differences. It reports
// whether the peer answered.
func (g *Gossip) Exchange(ctx context.Context, to ownership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer DigestAnswer
	err := g.o.Peers.Call(ctx, to, MethodDigest, Digest{
		From:        g.o.Self,
		Root:        g.rows.Digests().root(),
		Loads:       g.loads(),
		NoteVersion: g.o.NoteVersion(),
	}, &answer)
	if !g.heard(to, err) {
		return false
	}
	g.learnLoads(answer.Loads)
	g.o.OnNoteVersion(answer.NoteVersion, to)
	if !answer.Same {
		g.level(ctx, to)
	}
	return true
}

// level compares the buckets with a peer whose rows differ and exchanges rows.
func (g *Gossip) level(ctx context.Context, to ownership.Host) {
	digests := g.rows.Digests()
	var answer DigestAnswer
	err := g.o.Peers.Call(ctx, to, MethodDigest, Digest{
		From:        g.o.Self,
		Root:        digests.root(),
		Digests:     &digests,
		NoteVersion: g.o.NoteVersion(),
	}, &answer)
	if !g.heard(to, err) || answer.Digests == nil {
		return
	}
	want, offer := g.rows.Compare(time.Now(), answer.Versions, *answer.Digests)
	for len(want) > 0 {
		n := min(len(want), maxRowsPerMessage)
		var records Records
		if err := g.o.Peers.Call(ctx, to, MethodFetch, Fetch{Keys: want[:n]}, &records); !g.heard(to, err) {
			return
		}
		g.Learn(records.Rows...)
		want = want[n:]
	}
	g.sendRows(ctx, to, offer)
}

// ownLoad returns this host's own summary alone. Pushes and their answers carry
// it, because shards move fast at a start and a source that sees the load of
// its targets late moves too many.
func (g *Gossip) ownLoad() Loads {
	return Loads{g.o.Load()}
}

// loads returns the own summary and some random ones of others.
func (g *Gossip) loads() Loads {
	loads := g.ownLoad()
	seen := g.o.Directory.Loads()
	rand.Shuffle(len(seen), func(i, j int) { seen[i], seen[j] = seen[j], seen[i] })
	for _, l := range seen[:min(len(seen), maxLoadsPerMessage)] {
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

func (g *Gossip) handlePush(_ context.Context, _ peer.Caller, p Push) (PushAnswer, error) {
	if len(p.Versions) > maxRowsPerMessage*Buckets || len(p.Loads) > 2*maxLoadsPerMessage {
		return PushAnswer{}, errkind.New(errkind.TooLarge, "%d versions and %d loads in one message", len(p.Versions), len(p.Loads))
	}
	g.learnLoads(p.Loads)
	g.o.OnNoteVersion(p.NoteVersion, p.From)
	return PushAnswer{
		Want:        g.rows.Wanted(time.Now(), p.Versions),
		Loads:       g.ownLoad(),
		NoteVersion: g.o.NoteVersion(),
	}, nil
}

func (g *Gossip) handleRecords(_ context.Context, _ peer.Caller, p Records) (struct{}, error) {
	if len(p.Rows) > maxRowsPerMessage {
		return struct{}{}, errkind.New(errkind.TooLarge, "%d rows in one message", len(p.Rows))
	}
	g.Learn(p.Rows...)
	return struct{}{}, nil
}

func (g *Gossip) handleDigest(_ context.Context, _ peer.Caller, p Digest) (DigestAnswer, error) {
	g.learnLoads(p.Loads)
	g.o.OnNoteVersion(p.NoteVersion, p.From)
	digests := g.rows.Digests()
	answer := DigestAnswer{Same: p.Root == digests.root(), NoteVersion: g.o.NoteVersion()}
	if p.Digests == nil {
		answer.Loads = g.loads()
		return answer, nil
	}
	answer.Digests = &digests
	answer.Versions = g.rows.Versions(*p.Digests)
	return answer, nil
}

func (g *Gossip) handleFetch(_ context.Context, _ peer.Caller, p Fetch) (Records, error) {
	if len(p.Keys) > maxRowsPerMessage {
		return Records{}, errkind.New(errkind.TooLarge, "%d keys in one message", len(p.Keys))
	}
	return Records{Rows: g.rows.Get(p.Keys)}, nil
}

func (g *Gossip) scanLoop(ctx context.Context) {
	for {
		interval := max(minScanInterval, time.Duration(len(g.o.Directory.All()))*scanPerMember)
		timer := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := g.Scan(ctx); err != nil && ctx.Err() == nil {
			g.o.Log.Log(evScanFailed, event.F("error", err.Error()))
		}
	}
}

// Scan reads all member and group rows from the table service.
func (g *Gossip) Scan(ctx context.Context) error {
	for _, prefix := range []string{Prefix, ownership.GroupPrefix} {
		before := g.rows.All(prefix)
		scan, err := table.ScanAll(ctx, g.o.Store, prefix)
		if err != nil {
			return err
		}
		valid := scan[:0]
		for _, row := range scan {
			if g.check(row) {
				valid = append(valid, row)
			}
		}
		dropped, newer := g.rows.Reconcile(time.Now(), prefix, before, valid)
		g.apply(newer)
		for _, row := range dropped {
			if m, err := Decode(row); err == nil {
				g.o.Directory.Remove(m.Host.Name, row.Version)
			}
		}
	}
	return nil
}
