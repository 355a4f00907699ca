package node

import (
	"context"
	"sync"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
)

// methodNoteGet asks a peer for its configuration.
const methodNoteGet = "note.get"

// Times of the spread of release notes.
const (
	noteCallTimeout = 2 * time.Second
	// notePushFanout is the number of random peers that learn of a new version
	// at once; exchanges and polls reach the others.
	notePushFanout = 3
)

// noteQuery asks for a configuration of at least a version.
type noteQuery struct {
	MinVersion int64 `json:"min_version"`
}

// noteAnswer has the configuration in force, if any.
type noteAnswer struct {
	Config *note.Config `json:"config,omitempty"`
}

// fetches keeps the number of parallel questions for one version at one.
type fetches struct {
	mu      sync.Mutex
	version int64
	busy    bool
}

func (f *fetches) begin(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy && version <= f.version {
		return false
	}
	f.busy, f.version = true, version
	return true
}

func (f *fetches) end() {
	f.mu.Lock()
	f.busy = false
	f.mu.Unlock()
}

// noteVersion returns the version in force, 0 for none.
func (n *Node) noteVersion() int64 {
	c, _ := n.follower.Current()
	return c.Version
}

// noteVersionSeen takes in a version that came with a heartbeat.
func (n *Node) noteVersionSeen(version int64, host string) {
	if version <= n.noteVersion() {
		return
	}
	if m, ok := n.directory.Get(host); ok {
		n.peerNoteVersion(version, m.Host)
	}
}

// peerNoteVersion fetches a version that a peer has and this router lacks.
func (n *Node) peerNoteVersion(version int64, from ownership.Host) {
	if version <= n.noteVersion() || !n.fetches.begin(version) {
		return
	}
	go func() {
		defer n.fetches.end()
		if c, ok := n.askForNote(context.Background(), from, version); ok {
			n.follower.Offer(c)
		}
	}()
}

func (n *Node) askForNote(ctx context.Context, from ownership.Host, minVersion int64) (note.Config, bool) {
	ctx, cancel := context.WithTimeout(ctx, noteCallTimeout)
	defer cancel()
	var answer noteAnswer
	err := n.client.Call(ctx, from, methodNoteGet, noteQuery{MinVersion: minVersion}, &answer)
	if err != nil || answer.Config == nil {
		return note.Config{}, false
	}
	return *answer.Config, true
}

// askPeersForNote asks all known members and seeds.
func (n *Node) askPeersForNote(ctx context.Context) []note.Config {
	hosts := map[string]ownership.Host{}
	for _, m := range n.directory.All() {
		hosts[m.Host.ControlAddr] = m.Host
	}
	for _, seed := range n.s.Peers.Seeds {
		if _, ok := hosts[seed]; !ok {
			hosts[seed] = ownership.Host{ControlAddr: seed}
		}
	}
	delete(hosts, n.self.ControlAddr)
	var mu sync.Mutex
	var configs []note.Config
	var asking sync.WaitGroup
	for _, h := range hosts {
		asking.Go(func() {
			if c, ok := n.askForNote(ctx, h, 0); ok {
				mu.Lock()
				configs = append(configs, c)
				mu.Unlock()
			}
		})
	}
	asking.Wait()
	return configs
}

// noteChanged tells random peers of a new version and lets the registrar look
// whether the service of the upstream is defined now.
func (n *Node) noteChanged(_, _ note.Config) {
	n.registrar.poke()
	go func() {
		for _, m := range n.directory.Peers(time.Now(), n.self.Name, notePushFanout) {
			ctx, cancel := context.WithTimeout(context.Background(), noteCallTimeout)
			n.gossip.SyncWith(ctx, m.Host)
			cancel()
		}
	}()
}

func (n *Node) noteMethod() peer.Method {
	return peer.Handle(func(_ context.Context, _ peer.Caller, q noteQuery) (noteAnswer, error) {
		c, ok := n.follower.Current()
		if !ok {
			return noteAnswer{}, errkind.New(errkind.NotReady, "this router has no configuration yet")
		}
		if c.Version < q.MinVersion {
			return noteAnswer{}, nil
		}
		return noteAnswer{Config: &c}, nil
	})
}
