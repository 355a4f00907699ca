package member

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/stores/table"
)

// benchSize is a cluster of one service. Each host holds two groups.
type benchSize struct {
	hosts          int
	shardsPerGroup int
}

// 780 hosts with 50 shards per group hold the 78,000 shards that the router is
// designed for; 100 shards per group are twice as many.
var benchSizes = []benchSize{{18, 50}, {195, 50}, {780, 50}, {780, 100}}

func (s benchSize) String() string {
	return fmt.Sprintf("hosts=%d/shards=%d", s.hosts, s.shardsPerGroup)
}

func benchHost(i int) ownership.Host {
	address := fmt.Sprintf("10.24.%d.%d", 100+i/200, 20+i%200)
	return ownership.Host{
		Name:        fmt.Sprintf("host-%04d", i),
		Incarnation: rand.New(rand.NewPCG(5, uint64(i))).Uint64(),
		HopAddr:     address + ":7102",
		ControlAddr: address + ":7103",
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// rows returns the member and group rows of the cluster. Shards are assigned to
// groups at random, as after many moves.
func (s benchSize) rows() []table.Row {
	rng := rand.New(rand.NewPCG(1, 2))
	since := time.Date(2026, 3, 4, 5, 6, 7, 89_000_000, time.UTC)
	shards := keyspace.Divide(s.hosts * 2 * s.shardsPerGroup)
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	var rows []table.Row
	for i := range s.hosts {
		m := Member{Host: benchHost(i), Zone: "region-1-zone-3", Region: "region-1", Service: "orders", State: Active, Slots: 16, JoinedAt: since}
		rows = append(rows, table.Row{Key: Key(m.Host.Name), Version: 1_000_000 + int64(i), WriteID: uuid.NewString(), Value: must(Encode(m))})
		for j := range 2 {
			g := ownership.Group{
				Service: "orders", ID: uuid.NewString(), Holder: m.Host, Generation: 7,
				Standby: benchHost((i + 1 + j) % s.hosts), JournalComplete: true, HolderSince: since,
				Shards: shards[:s.shardsPerGroup],
			}
			shards = shards[s.shardsPerGroup:]
			keyspace.Sort(g.Shards)
			rows = append(rows, table.Row{Key: g.Key(), Version: 2_000_000 + int64(2*i+j), WriteID: uuid.NewString(), Value: must(ownership.EncodeGroup(g))})
		}
	}
	return rows
}

// countedConn counts the bytes of a control connection on the client side.
type countedConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// benchPair is two routers; the first calls the second.
type benchPair struct {
	client         *peer.Client
	to             ownership.Host
	a, b           *Gossip
	sent, received atomic.Int64
}

func newBenchPair(tb testing.TB) *benchPair {
	tb.Helper()
	p := &benchPair{}
	secret := must(peer.NewSecret([]byte("a shared secret for benchmarks only")))
	quiet := event.NewLogger(io.Discard, log.ErrorLevel)
	p.client = peer.NewClient(peer.ClientOptions{
		Secret: secret, Host: benchHost(0).Name, Incarnation: benchHost(0).Incarnation,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", address)
			return countedConn{conn, &p.sent, &p.received}, err
		},
	})
	p.a, p.b = benchGossip(0, p.client, quiet), benchGossip(1, nil, quiet)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p.to = benchHost(1)
	p.to.ControlAddr = l.Addr().String()
	server := peer.NewServer(peer.ServerOptions{Secret: secret, Host: p.to.Name, Incarnation: p.to.Incarnation, Methods: p.b.Methods(), Log: quiet})
	go func() { _ = server.Serve(tb.Context(), l) }()
	tb.Cleanup(p.client.Close)
	return p
}

func benchGossip(i int, caller Caller, quiet *event.Logger) *Gossip {
	self := benchHost(i)
	return NewGossip(GossipOptions{
		Self: self, Directory: NewDirectory(), Peers: caller, Log: quiet,
		OnGroups:      func([]ownership.Group) {},
		Load:          func() Load { return benchLoad(i) },
		NoteVersion:   func() int64 { return 10_000 },
		OnNoteVersion: func(int64, ownership.Host) {},
	})
}

func benchLoad(i int) Load {
	rng := rand.New(rand.NewPCG(3, uint64(i)))
	return Load{
		Host: benchHost(i).Name, Incarnation: benchHost(i).Incarnation, Seq: uint64(rng.IntN(200_000)),
		InUse: 16 * rng.Float64(), Slots: 16, NoteVersion: 10_000, Healthy: true,
	}
}

// fill gives a router all rows and the load summaries of all hosts.
func (s benchSize) fill(g *Gossip, rows []table.Row) {
	g.Learn(rows...)
	g.pending = nil
	now := time.Now()
	for i := range s.hosts {
		g.o.Directory.PutLoad(now, benchLoad(i))
	}
}

func cpuSeconds() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// report measures f over a new connection each time, which is the usual case with
// many hosts: a random peer is rarely contacted twice within the idle timeout.
func (p *benchPair) report(b *testing.B, prepare, f func()) {
	n := 0
	p.sent.Store(0)
	p.received.Store(0)
	var cpu float64
	for b.Loop() {
		b.StopTimer()
		p.client.Close()
		prepare()
		b.StartTimer()
		before := cpuSeconds()
		f()
		cpu += cpuSeconds() - before
		n++
	}
	b.ReportMetric(float64(p.sent.Load())/float64(n), "sent-B/op")
	b.ReportMetric(float64(p.received.Load())/float64(n), "received-B/op")
	b.ReportMetric(cpu/float64(n)*1e6, "cpu-us/op")
}

// BenchmarkExchange measures one comparison with a random peer: bytes sent and
// received by the caller, and the CPU time of both sides together.
func BenchmarkExchange(b *testing.B) {
	for _, size := range benchSizes {
		rows := size.rows()
		run := func(name string, prepare func(p *benchPair)) {
			b.Run(name+"/"+size.String(), func(b *testing.B) {
				p := newBenchPair(b)
				size.fill(p.a, rows)
				size.fill(p.b, rows)
				p.report(b, func() { prepare(p) }, func() {
					if !p.a.SyncWith(b.Context(), p.to) {
						b.Fatal("no response")
					}
				})
			})
		}
		run("equal", func(*benchPair) {})
		run("one-row", func(p *benchPair) { p.b.rows.Merge(time.Now(), changed(p.b.rows, rows[1])) })
		run("touched", func(p *benchPair) { p.b.rows.Merge(time.Now(), renewed(p.b.rows, rows[1])) })
	}
}

// renewed returns the row with a higher version and the same value, as a holder's
// row renewal writes it.
func renewed(rows *Rows, row table.Row) table.Row {
	row = rows.Get([]string{row.Key})[0]
	row.Version += 1_000_000
	return row
}

// changed returns the row with a higher version and a higher generation.
func changed(rows *Rows, row table.Row) table.Row {
	row = renewed(rows, row)
	g := must(ownership.DecodeGroup(row))
	g.Generation++
	row.Value = must(ownership.EncodeGroup(g))
	return row
}

// BenchmarkFullSync measures a new router that receives all rows from one peer.
func BenchmarkFullSync(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) {
			rows := size.rows()
			p := newBenchPair(b)
			size.fill(p.b, rows)
			p.report(b, func() { p.a.rows = NewRows() }, func() {
				// An exchange ends after callTimeout; the next one continues.
				for len(p.a.rows.All("")) != len(rows) {
					if !p.a.SyncWith(b.Context(), p.to) {
						b.Fatal("no response")
					}
				}
			})
		})
	}
}

// BenchmarkPush measures the push of one changed record to one peer. The peer
// lacks the record or has it already.
func BenchmarkPush(b *testing.B) {
	for _, size := range benchSizes {
		rows := size.rows()
		run := func(name string, known bool) {
			b.Run(name+"/"+size.String(), func(b *testing.B) {
				p := newBenchPair(b)
				size.fill(p.a, rows)
				size.fill(p.b, rows)
				var row table.Row
				p.report(b, func() {
					row = changed(p.a.rows, rows[1])
					p.a.rows.Merge(time.Now(), row)
					if known {
						p.b.rows.Merge(time.Now(), row)
					}
				}, func() {
					p.a.push(b.Context(), p.to, []Version{versionOf(row)})
				})
			})
		}
		run("new", false)
		run("known", true)
	}
}
