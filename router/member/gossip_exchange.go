package member

import (
	"context"
	"math/rand/v2"
	"time"

	"burdockglade.dev/router/ownership"
)

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
			g.SyncWith(ctx, to)
		}
		timer.Reset(exchangeInterval/2 + rand.N(exchangeInterval))
	}
}

// exchangePeer picks a random member, or a seed that is not a known member. Seeds
// are candidates even when members are known: two groups of hosts that started
// separately would otherwise not discover each other before their next scans.
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

// SyncWith compares all rows with a peer and exchanges those that differ. It
// reports whether the peer responded.
func (g *Gossip) SyncWith(ctx context.Context, to ownership.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response DigestResponse
	err := g.o.Peers.Call(ctx, to, MethodDigest, Digest{
		From:        g.o.Self,
		Root:        g.rows.Digests().root(),
		Loads:       g.loads(),
		NoteVersion: g.o.NoteVersion(),
	}, &response)
	if !g.recordContact(to, err) {
		return false
	}
	g.learnLoads(response.Loads)
	g.o.OnNoteVersion(response.NoteVersion, to)
	if !response.Same {
		g.syncBuckets(ctx, to)
	}
	return true
}

// syncBuckets compares the buckets with a peer whose rows differ, fetches the rows
// that are newer there and sends those that are newer here.
func (g *Gossip) syncBuckets(ctx context.Context, to ownership.Host) {
	digests := g.rows.Digests()
	var response DigestResponse
	err := g.o.Peers.Call(ctx, to, MethodDigest, Digest{
		From:        g.o.Self,
		Root:        digests.root(),
		Digests:     &digests,
		NoteVersion: g.o.NoteVersion(),
	}, &response)
	if !g.recordContact(to, err) || response.Digests == nil {
		return
	}
	want, offer := g.rows.Compare(time.Now(), response.Versions, *response.Digests)
	for len(want) > 0 {
		n := min(len(want), maxRowsPerMessage)
		var records Records
		if err := g.o.Peers.Call(ctx, to, MethodFetch, Fetch{Keys: want[:n]}, &records); !g.recordContact(to, err) {
			return
		}
		g.Learn(records.Rows...)
		want = want[n:]
	}
	g.sendRows(ctx, to, offer)
}
