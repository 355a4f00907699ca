package node

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/lease"
	"burdockglade.dev/router/member"
	"burdockglade.dev/router/ownership"
	"burdockglade.dev/router/peer"
	"burdockglade.dev/router/route"
	"burdockglade.dev/stores/table"
)

const (
	// benchHeartbeatRate is the number of heartbeats per second of one group.
	benchHeartbeatRate = 1 / 0.150
	benchGroups        = 2 // held by each host
	// ipv4UDPHeader is the size of the IPv4 and UDP headers of a datagram in bytes.
	ipv4UDPHeader = 28
)

func benchHeartbeat() lease.Heartbeat {
	return lease.Heartbeat{
		Service: "orders", GroupID: uuid.NewString(), Generation: 1234, RowVersion: 50_000_000, Seq: 20_000_000,
		HolderName: "host-0123", HolderIncarnation: newIncarnation(), StandbyIncarnation: newIncarnation(), NoteVersion: 3_000_000,
	}
}

func benchAck(h lease.Heartbeat) lease.Ack {
	return lease.Ack{
		Service: h.Service, GroupID: h.GroupID, Generation: h.Generation, Seq: h.Seq, HolderIncarnation: h.HolderIncarnation,
		StandbyName: "host-0456", StandbyIncarnation: h.StandbyIncarnation, NoteVersion: h.NoteVersion,
	}
}

// BenchmarkHeartbeat sends a heartbeat and its ack over loopback with the production
// encoder. One operation encodes, signs, sends, receives, verifies and decodes both.
// The rates are those of a host that holds two groups and is the standby of two.
func BenchmarkHeartbeat(b *testing.B) {
	secret, err := peer.NewSecret([]byte("a shared secret for benchmarks only"))
	if err != nil {
		b.Fatal(err)
	}
	socket := func() *net.UDPConn {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			b.Fatal(err)
		}
		return conn
	}
	sender, receiver := socket(), socket()
	defer func() { _ = sender.Close() }()
	quiet := event.NewLogger(io.Discard, log.ErrorLevel)
	network := &leaseNetwork{datagrams: peer.NewDatagrams(secret, sender), log: quiet}
	to := ownership.Host{Name: "receiver", ControlAddr: receiver.LocalAddr().String()}
	heartbeat := benchHeartbeat()
	ack := benchAck(heartbeat)

	size := func(send func()) float64 {
		send()
		buffer := make([]byte, 1500)
		n, err := receiver.Read(buffer)
		if err != nil {
			b.Fatal(err)
		}
		return float64(n)
	}
	heartbeatBytes := size(func() { network.SendHeartbeat(to, heartbeat) })
	ackBytes := size(func() { network.SendAck(to, ack) })

	received := make(chan error, 1)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() {
		_ = peer.NewDatagrams(secret, receiver).Serve(ctx, quiet, func(kind peer.DatagramKind, body []byte) {
			var h heartbeatWire
			var a ackWire
			if kind == peer.HeartbeatDatagram {
				received <- peer.DecodeDatagram(body, &h)
			} else {
				received <- peer.DecodeDatagram(body, &a)
			}
		})
	}()
	b.ReportAllocs()
	for b.Loop() {
		network.SendHeartbeat(to, heartbeat)
		if err := <-received; err != nil {
			b.Fatal(err)
		}
		network.SendAck(to, ack)
		if err := <-received; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(heartbeatBytes, "heartbeat-B")
	b.ReportMetric(ackBytes, "answer-B")
	b.ReportMetric(heartbeatBytes*benchHeartbeatRate*benchGroups, "holder-sent-B/s")
	b.ReportMetric(ackBytes*benchHeartbeatRate*benchGroups, "standby-sent-B/s")
	b.ReportMetric((heartbeatBytes+ackBytes+2*ipv4UDPHeader)*benchHeartbeatRate*benchGroups, "both-with-headers-B/s")
}

// BenchmarkRouterState measures the heap that the rows of a whole cluster occupy in
// one router: rows, directory and route table.
func BenchmarkRouterState(b *testing.B) {
	for _, hosts := range []int{18, 195, 780} {
		for _, shards := range []int{50, 100} {
			b.Run(fmt.Sprintf("hosts=%d/shards=%d", hosts, shards), func(b *testing.B) {
				var bytes, objects float64
				n := 0
				for b.Loop() {
					b.StopTimer()
					rows := benchRows(hosts, shards)
					before := heap()
					b.StartTimer()
					state := newBenchState(cloneRows(rows))
					b.StopTimer()
					after := heap()
					bytes += float64(after.HeapAlloc) - float64(before.HeapAlloc)
					objects += float64(after.HeapObjects) - float64(before.HeapObjects)
					n++
					runtime.KeepAlive(state)
					runtime.KeepAlive(rows)
					b.StartTimer()
				}
				b.ReportMetric(bytes/float64(n)/1e6, "heap-MB")
				b.ReportMetric(objects/float64(n), "heap-objects")
			})
		}
	}
}

// heap returns the memory statistics after garbage collection.
func heap() runtime.MemStats {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

type benchState struct {
	gossip    *member.Gossip
	directory *member.Directory
	routes    *route.Table
	newest    map[string]ownership.Group // as kept by the lease manager
}

func newBenchState(rows []table.Row) *benchState {
	s := &benchState{directory: member.NewDirectory(), routes: route.NewTable(), newest: map[string]ownership.Group{}}
	s.gossip = member.NewGossip(member.GossipOptions{
		Self: ownership.Host{Name: "self"}, Directory: s.directory, Log: event.NewLogger(io.Discard, log.ErrorLevel),
		OnGroups: func(groups []ownership.Group) {
			for _, g := range groups {
				s.newest[g.Key()] = g
			}
			s.routes.Merge(groups...)
		},
	})
	s.gossip.Learn(rows...)
	return s
}

func cloneRows(rows []table.Row) []table.Row {
	all := make([]table.Row, len(rows))
	for i, r := range rows {
		all[i] = r
		all[i].Value = append([]byte(nil), r.Value...)
	}
	return all
}

func benchRows(hosts, shardsPerGroup int) []table.Row {
	rng := rand.New(rand.NewPCG(1, 2))
	shards := keyspace.Divide(hosts * benchGroups * shardsPerGroup)
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	host := func(i int) ownership.Host {
		address := fmt.Sprintf("10.24.%d.%d", 100+i/200, 20+i%200)
		return ownership.Host{Name: fmt.Sprintf("host-%04d", i), Incarnation: newIncarnation(), HopAddr: address + ":7102", ControlAddr: address + ":7103"}
	}
	now := time.Now().UTC()
	var rows []table.Row
	add := func(key string, value []byte, err error) {
		if err != nil {
			panic(err)
		}
		rows = append(rows, table.Row{Key: key, Version: int64(len(rows)) + 1, WriteID: uuid.NewString(), Value: value})
	}
	for i := range hosts {
		m := member.Member{Host: host(i), Zone: "region-1-zone-3", Region: "region-1", Service: "orders", State: member.Active, Slots: 16, JoinedAt: now}
		value, err := member.Encode(m)
		add(member.Key(m.Host.Name), value, err)
		for j := range benchGroups {
			g := ownership.Group{
				Service: "orders", ID: uuid.NewString(), Holder: m.Host, Generation: 7, Standby: host((i + 1 + j) % hosts),
				JournalComplete: true, HolderSince: now, Shards: shards[:shardsPerGroup],
			}
			shards = shards[shardsPerGroup:]
			keyspace.Sort(g.Shards)
			value, err := ownership.EncodeGroup(g)
			add(g.Key(), value, err)
		}
	}
	return rows
}
