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

// Parameters of the distribution of release notes.
const (
	noteCallTimeout = 2 * time.Second
	// notePushFanout is the number of random peers that are notified of a new
	// version immediately; gossip exchanges and polls reach the others.
	notePushFanout = 3
)

// noteRequest asks for a configuration of at least MinVersion.
type noteRequest struct {
	MinVersion int64 `json:"min_version"`
}

// noteResponse has the current configuration, or nil if it is older than
// MinVersion.
type noteResponse struct {
	Config *note.Config `json:"config,omitempty"`
}

// noteFetches prevents concurrent fetches of the same or an older version.
type noteFetches struct {
	mu       sync.Mutex
	version  int64
	fetching bool
}

// begin reports whether the caller may fetch the version.
func (f *noteFetches) begin(version int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fetching && version <= f.version {
		return false
	}
	f.fetching, f.version = true, version
	return true
}

func (f *noteFetches) end() {
	f.mu.Lock()
	f.fetching = false
	f.mu.Unlock()
}

// noteVersion returns the version of the current configuration, or 0 if there is
// none.
func (n *Node) noteVersion() int64 {
	c, _ := n.follower.Current()
	return c.Version
}

// observeNoteVersion processes the configuration version in a heartbeat or ack.
func (n *Node) observeNoteVersion(version int64, host string) {
	if version <= n.noteVersion() {
		return
	}
	if m, ok := n.directory.Get(host); ok {
		n.fetchNewerNote(version, m.Host)
	}
}

// fetchNewerNote fetches the configuration from a peer in the background if the
// peer has a newer version.
func (n *Node) fetchNewerNote(version int64, from ownership.Host) {
	if version <= n.noteVersion() || !n.fetches.begin(version) {
		return
	}
	go func() {
		defer n.fetches.end()
		if c, ok := n.fetchNote(context.Background(), from, version); ok {
			n.follower.Offer(c)
		}
	}()
}

// fetchNote fetches a configuration of at least minVersion from a peer.
func (n *Node) fetchNote(ctx context.Context, from ownership.Host, minVersion int64) (note.Config, bool) {
	ctx, cancel := context.WithTimeout(ctx, noteCallTimeout)
	defer cancel()
	var response noteResponse
	err := n.client.Call(ctx, from, methodNoteGet, noteRequest{MinVersion: minVersion}, &response)
	if err != nil || response.Config == nil {
		return note.Config{}, false
	}
	return *response.Config, true
}

// fetchNotesFromPeers fetches the configurations of all known members and seeds.
func (n *Node) fetchNotesFromPeers(ctx context.Context) []note.Config {
	hosts := map[string]ownership.Host{}
	for _, m := range n.directory.All() {
		hosts[m.Host.ControlAddr] = m.Host
	}
	for _, seed := range n.settings.Peers.Seeds {
		if _, ok := hosts[seed]; !ok {
			hosts[seed] = ownership.Host{ControlAddr: seed}
		}
	}
	delete(hosts, n.self.ControlAddr)
	var mu sync.Mutex
	var configs []note.Config
	var calls sync.WaitGroup
	for _, h := range hosts {
		calls.Go(func() {
			if c, ok := n.fetchNote(ctx, h, 0); ok {
				mu.Lock()
				configs = append(configs, c)
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return configs
}

// noteChanged notifies random peers of a new version and wakes the registrar,
// because the service of the upstream may be defined now.
func (n *Node) noteChanged(_, _ note.Config) {
	n.registrar.wakeUp()
	go func() {
		for _, m := range n.directory.Peers(time.Now(), n.self.Name, notePushFanout) {
			ctx, cancel := context.WithTimeout(context.Background(), noteCallTimeout)
			n.gossip.SyncWith(ctx, m.Host)
			cancel()
		}
	}()
}

func (n *Node) noteMethod() peer.Method {
	return peer.Handle(func(_ context.Context, _ peer.Caller, q noteRequest) (noteResponse, error) {
		c, ok := n.follower.Current()
		if !ok {
			return noteResponse{}, errkind.New(errkind.NotReady, "this router has no configuration yet")
		}
		if c.Version < q.MinVersion {
			return noteResponse{}, nil
		}
		return noteResponse{Config: &c}, nil
	})
}
