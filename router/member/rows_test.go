package member

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/phuslu/log"
	"pgregory.net/rapid"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/stores/table"
)

var start = time.Unix(1_000_000, 0)

func drawRows(t *rapid.T, label string) []table.Row {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) table.Row {
		key := Key(fmt.Sprintf("h%d", rapid.IntRange(0, 30).Draw(t, "key")))
		version := rapid.Int64Range(1, 20).Draw(t, "version")
		return table.Row{Key: key, Version: version, Value: []byte(fmt.Sprint(version))}
	}), 0, 60).Draw(t, label)
}

// syncRows exchanges rows between a and b as Gossip.SyncWith does.
func syncRows(a, b *Rows) {
	digests := a.Digests()
	versions, peerDigests := b.Versions(digests), b.Digests()
	want, offer := a.Compare(start, versions, peerDigests)
	a.Merge(start, b.Get(want)...)
	b.Merge(start, offer...)
}

// Guards against rows that never reach a router or are replaced by older ones:
// after one exchange both sides must hold the newest version of each row.
func TestExchangeLevelsAnyTwoRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewRows(), NewRows()
		rowsA, rowsB := drawRows(t, "a"), drawRows(t, "b")
		a.Merge(start, rowsA...)
		b.Merge(start, rowsB...)
		newest := map[string]int64{}
		for _, row := range append(rowsA, rowsB...) {
			newest[row.Key] = max(newest[row.Key], row.Version)
		}
		syncRows(a, b)
		if diff := cmp.Diff(a.All(""), b.All("")); diff != "" {
			t.Fatal(diff)
		}
		if a.Digests() != b.Digests() {
			t.Fatal("equal rows have different digests")
		}
		for _, row := range a.All("") {
			if row.Version != newest[row.Key] {
				t.Fatalf("row %s has version %d, want %d", row.Key, row.Version, newest[row.Key])
			}
		}
	})
}

// Guards against control traffic for row renewals, and against a change that is
// taken for a renewal.
func TestRenewedRowsAreNotSent(t *testing.T) {
	old := table.Row{Key: Key("h"), Version: 1, Value: []byte("x")}
	renewed := table.Row{Key: Key("h"), Version: 2, Value: []byte("x")}
	changed := table.Row{Key: Key("h"), Version: 3, Value: []byte("y")}
	a, b := NewRows(), NewRows()
	a.Merge(start, old)
	b.Merge(start, old)
	if newer, versions := a.merge(start, []table.Row{renewed}); len(newer) != 1 || len(versions) != 0 {
		t.Errorf("renewed row: newer %v, to be pushed %v", newer, versions)
	}
	if a.Digests() != b.Digests() {
		t.Error("a row renewal changed the digest")
	}
	if want := b.NewerKeys(start, []Version{versionOf(renewed)}); len(want) != 0 {
		t.Errorf("a renewed row is requested: %v", want)
	}
	if _, versions := a.merge(start, []table.Row{changed}); len(versions) != 1 {
		t.Error("a changed row is not pushed")
	}
	syncRows(b, a)
	if got := b.Get([]string{changed.Key}); len(got) != 1 || got[0].Version != 3 {
		t.Errorf("got %v", got)
	}
	// Restoring the value of the first version is a change for routers that saw
	// the second.
	restored := table.Row{Key: Key("h"), Version: 4, Value: []byte("x")}
	a.Merge(start, restored)
	syncRows(b, a)
	if got := b.Get([]string{restored.Key}); len(got) != 1 || got[0].Version != 4 {
		t.Errorf("got %v", got)
	}
}

// Guards against a deleted group that reappears because a peer knows a renewal of
// its row that this router has not seen.
func TestDeletedGroupStaysDeletedAfterRowRenewal(t *testing.T) {
	row := table.Row{Key: "group/s/g", Version: 1, Value: []byte("x")}
	a, b := NewRows(), NewRows()
	a.Merge(start, row)
	b.Merge(start, row)
	row.Version = 2
	b.Merge(start, row)
	a.Reconcile(start, "group/", a.All("group/"), nil)
	syncRows(a, b)
	if got := a.All(""); len(got) != 0 {
		t.Errorf("the group reappeared: %v", got)
	}
}

// Guards against a deleted row that a router with older rows reintroduces.
func TestDeletedRowStaysDeleted(t *testing.T) {
	row := table.Row{Key: Key("a"), Version: 5}
	a, b := NewRows(), NewRows()
	a.Merge(start, row)
	b.Merge(start, row)
	dropped, _ := a.Reconcile(start, Prefix, a.All(Prefix), nil)
	if len(dropped) != 1 {
		t.Fatalf("dropped %d rows, want 1", len(dropped))
	}
	syncRows(a, b)
	if rows := a.All(""); len(rows) != 0 {
		t.Errorf("the row reappeared: %v", rows)
	}
	newer := table.Row{Key: Key("a"), Version: 6}
	if got := a.Merge(start, newer); len(got) != 1 {
		t.Error("a newer row of the same key was ignored")
	}
}

// Guards against a scan that drops a row written during the scan.
func TestReconcileKeepsRowsWrittenDuringTheScan(t *testing.T) {
	r := NewRows()
	before := r.All(Prefix)
	r.Merge(start, table.Row{Key: Key("new"), Version: 9})
	r.Reconcile(start, Prefix, before, nil)
	if len(r.All(Prefix)) != 1 {
		t.Error("a row written during the scan was dropped")
	}
}

func testMember(name, zone, region string) Member {
	return Member{
		Host: ownership.Host{Name: name, Incarnation: 1}, Zone: zone, Region: region,
		Service: "orders", State: Active, Version: 1,
	}
}

// Guards against a standby that fails together with its holder.
func TestStandbyIsInAnotherZoneOfTheRegion(t *testing.T) {
	self := testMember("self", "z1", "r1")
	tests := map[string]struct {
		members []Member
		exclude []string
		want    string
	}{
		"other zone first":        {[]Member{testMember("a", "z1", "r1"), testMember("b", "z2", "r1"), testMember("c", "z9", "r2")}, nil, "b"},
		"same zone before region": {[]Member{testMember("a", "z1", "r1"), testMember("c", "z9", "r2")}, nil, "a"},
		"other region last":       {[]Member{testMember("c", "z9", "r2")}, nil, "c"},
		"excluded":                {[]Member{testMember("a", "z1", "r1"), testMember("b", "z2", "r1")}, []string{"b"}, "a"},
		"nobody":                  {nil, nil, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory()
			d.Put(self)
			for _, m := range test.members {
				d.Put(m)
			}
			got, ok := d.PickStandby(start, self, "orders", test.exclude...)
			if got.Host.Name != test.want || ok != (test.want != "") {
				t.Errorf("got %q, want %q", got.Host.Name, test.want)
			}
		})
	}
}

// Guards against a standby that does not respond, is leaving or cannot serve.
func TestPickStandbySkipsUnfitMembers(t *testing.T) {
	self := testMember("self", "z1", "r1")
	silent, leaving, unhealthy := testMember("silent", "z2", "r1"), testMember("leaving", "z2", "r1"), testMember("unhealthy", "z2", "r1")
	leaving.State = Leaving
	d := NewDirectory()
	for _, m := range []Member{self, silent, leaving, unhealthy} {
		d.Put(m)
	}
	d.MarkSuspect(start, "silent")
	d.PutLoad(start, Load{Host: "unhealthy", Incarnation: 1, Seq: 1, Healthy: false})
	if got, ok := d.PickStandby(start, self, "orders"); ok {
		t.Errorf("got %q, want none", got.Host.Name)
	}
	if got, ok := d.PickStandby(start.Add(2*suspectDuration), self, "orders"); !ok || got.Host.Name != "silent" {
		t.Errorf("after the suspicion expired: got %q", got.Host.Name)
	}
}

// Guards against holders and standbys that stay in one zone permanently, and
// against replacements without benefit.
func TestBetterStandby(t *testing.T) {
	self := testMember("self", "z1", "r1")
	same, apart, far := testMember("same", "z1", "r1"), testMember("apart", "z2", "r1"), testMember("far", "z9", "r2")
	d := NewDirectory()
	d.Put(self)
	d.Put(same)
	d.Put(far)
	for current, want := range map[string]bool{"same": false, "far": true, "unknown": false} {
		if _, got := d.BetterStandby(start, self, "orders", current); got != want {
			t.Errorf("one zone, standby %s: got %v", current, got)
		}
	}
	d.Put(apart)
	for current, want := range map[string]bool{"same": true, "far": true, "apart": false} {
		if _, got := d.BetterStandby(start, self, "orders", current); got != want {
			t.Errorf("two zones, standby %s: got %v", current, got)
		}
	}
}

// Guards against load summaries of another incarnation or out of order.
func TestOldLoadsAreIgnored(t *testing.T) {
	d := NewDirectory()
	d.Put(testMember("a", "z", "r"))
	if !d.PutLoad(start, Load{Host: "a", Incarnation: 1, Seq: 2}) {
		t.Error("a new summary was ignored")
	}
	if d.PutLoad(start, Load{Host: "a", Incarnation: 1, Seq: 1}) || d.PutLoad(start, Load{Host: "a", Incarnation: 2, Seq: 9}) {
		t.Error("an old summary or one of another incarnation was stored")
	}
}

// Guards against load summaries that change when they are encoded and decoded.
func TestLoadsRoundTrip(t *testing.T) {
	sent := Loads{
		{Host: "h1", Incarnation: 1<<63 + 5, Seq: 7, InUse: 12.345, Slots: 16, NoteVersion: 9, Healthy: true},
		{Host: "h2", InUse: 0},
	}
	text, err := json.Marshal(Digest{Loads: sent})
	if err != nil {
		t.Fatal(err)
	}
	var got Digest
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(sent, got.Loads, cmpopts.EquateApprox(0, loadUnit/2)); diff != "" {
		t.Error(diff)
	}
	for _, malformed := range []string{`5`, `"AAAA"`, `"oA=="`} {
		var l Loads
		if json.Unmarshal([]byte(malformed), &l) == nil {
			t.Errorf("%s accepted", malformed)
		}
	}
}

// Guards against digests that change when they are encoded and decoded, and
// against a router that panics on malformed ones.
func TestDigestsRoundTrip(t *testing.T) {
	var sent, got Digests
	for i := range sent {
		sent[i] = uint64(i) * 0x9e3779b97f4a7c15
	}
	text, err := json.Marshal(Digest{Digests: &sent})
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &Digest{Digests: &got}); err != nil || got != sent {
		t.Errorf("got %v, %v", got, err)
	}
	for _, malformed := range []string{`""`, `"AAAA"`, `"?"`, `5`} {
		var d Digests
		if json.Unmarshal([]byte(malformed), &d) == nil {
			t.Errorf("%s accepted", malformed)
		}
	}
}

// pairCaller passes calls to the other router in the process, encoded as on a
// connection.
type pairCaller struct {
	other *Gossip
}

func (c pairCaller) Call(ctx context.Context, _ ownership.Host, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	response, err := c.other.Methods()[method](ctx, peer.Caller{}, raw)
	if err != nil {
		return err
	}
	if raw, err = json.Marshal(response); err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Guards against an exchange that leaves differences, or that compares buckets
// when there are none.
func TestSyncWithUpdatesBothSides(t *testing.T) {
	rows := benchSize{hosts: 4, shardsPerGroup: 2}.rows()
	quiet := event.NewLogger(io.Discard, log.ErrorLevel)
	b := benchGossip(1, nil, quiet)
	a := benchGossip(0, pairCaller{b}, quiet)
	a.Learn(rows[:7]...)
	b.Learn(rows[5:]...)
	a.Learn(changed(a.rows, rows[1]))
	if a.rows.Digests() == b.rows.Digests() {
		t.Fatal("nothing differs before the exchange")
	}
	if !a.SyncWith(t.Context(), b.o.Self) {
		t.Fatal("no response")
	}
	if diff := cmp.Diff(a.rows.All(""), b.rows.All("")); diff != "" || len(a.rows.All("")) != len(rows) {
		t.Errorf("%d of %d rows; %s", len(a.rows.All("")), len(rows), diff)
	}
	response, err := b.handleDigest(t.Context(), peer.Caller{}, Digest{Root: a.rows.Digests().root()})
	if err != nil || !response.Same || response.Digests != nil {
		t.Errorf("got %+v, %v", response, err)
	}
}

// Guards against hosts that do not discover each other because each already knows
// some other member: seeds that are not known members must still be contacted.
func TestUnknownSeedsAreContacted(t *testing.T) {
	d := NewDirectory()
	g := NewGossip(GossipOptions{Self: ownership.Host{Name: "self", ControlAddr: "self:1"}, Seeds: []string{"self:1", "known:1", "lost:1"}, Directory: d})
	known := testMember("known", "z", "r")
	known.Host.ControlAddr = "known:1"
	d.Put(known)
	contacted := map[string]bool{}
	for range 200 {
		h, ok := g.exchangePeer()
		if !ok {
			t.Fatal("no peer to contact")
		}
		contacted[h.ControlAddr] = true
	}
	if diff := cmp.Diff(map[string]bool{"known:1": true, "lost:1": true}, contacted); diff != "" {
		t.Error(diff)
	}
}
