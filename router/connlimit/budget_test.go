package connlimit

import (
	"strings"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// at returns the time some milliseconds after the start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// open opens n connections and fails the test if one does not fit.
func open(t *testing.T, b *Budget, now time.Time, class Class, n int) []*Conn {
	t.Helper()
	var conns []*Conn
	for i := range n {
		c, evicted, ok := b.Open(now, class, i)
		if !ok || len(evicted) > 0 {
			t.Fatalf("connection %d of %v: ok %v, %d evicted", i, class, ok, len(evicted))
		}
		conns = append(conns, c)
	}
	return conns
}

// Guards against a flood at one listener that leaves no descriptor for the others, and
// against idle connections that keep new ones out.
func TestFilesAreReservedAndIdleConnectionsGoFirst(t *testing.T) {
	b := New(Options{Files: reservedFiles + 160})
	conns := open(t, b, at(0), Caller, 120) // 40 are reserved for the other classes
	if _, _, ok := b.Open(at(1), Caller, nil); ok {
		t.Error("the reserve of the other classes was used")
	}
	for class, n := range map[Class]int{Router: 20, Control: 10, Probe: 10} {
		open(t, b, at(1), class, n)
	}
	for _, c := range conns {
		b.ReadStarted(at(2), c)
	}
	b.RequestDone(at(8), conns[1])
	b.RequestDone(at(9), conns[0])
	if _, evicted, ok := b.Open(at(100), Caller, nil); ok || len(evicted) > 0 {
		t.Error("a connection was closed that has been idle for less than minIdleTime")
	}
	if _, evicted, ok := b.Open(at(1000), Caller, nil); !ok || len(evicted) != 1 || evicted[0] != conns[1] {
		t.Errorf("evicted %v, want the longest idle connection", evicted)
	}
}

// Guards against connections with requests in progress that are closed for lack of
// descriptors, and against requests whose own connections to other hosts find none.
func TestRequestsInProgressTakeDescriptors(t *testing.T) {
	b := New(Options{Files: reservedFiles + 160})
	conns := open(t, b, at(0), Caller, 60)
	for i, c := range conns {
		if _, ok := b.RequestStarted(at(300), c); !ok {
			t.Fatalf("request %d was refused", i)
		}
	}
	if _, evicted, ok := b.Open(at(1000), Caller, nil); ok || len(evicted) > 0 {
		t.Error("a connection fits, or a connection with a request in progress was closed")
	}
	for _, c := range conns {
		b.RequestDone(at(2000), c)
		b.Close(c)
	}
	if got := b.Stats()[Caller].Files; got != 60 {
		t.Errorf("%d descriptors are counted while pooled connections may be open, want 60", got)
	}
	open(t, b, at(45000), Caller, 1)
	open(t, b, at(90000), Caller, 119)
}

// Guards against heads of many lines that keep ordinary requests out.
func TestLargeHeadsGiveWay(t *testing.T) {
	b := New(Options{MemoryBytes: budgetDivisor * 16 << 20})
	conns := open(t, b, at(0), Caller, 20)
	for _, c := range conns {
		b.ReadStarted(at(1), c)
	}
	large := HeadCost(15<<10, 3840)
	granted := 0
	for _, c := range conns {
		if _, ok := b.Charge(at(2), c, large); ok {
			granted++
		}
	}
	if used := b.Stats()[Caller].MemoryBytes; granted == 0 || used > 16<<20*largePercent/100 {
		t.Errorf("%d large heads were granted and %d bytes are used", granted, used)
	}
	evictions := 0
	for i := range 500 {
		c, _, ok := b.Open(at(3), Caller, nil)
		if !ok {
			break // connections take the rest
		}
		evicted, ok := b.Charge(at(3), c, HeadCost(1000, 20))
		if !ok {
			t.Fatalf("ordinary head %d was refused", i)
		}
		for _, e := range evicted {
			if !e.closed || e.charged != 0 || b.ReadStarted(at(3), e) {
				t.Error("an evicted connection may still read")
			}
			evictions++
		}
	}
	if evictions == 0 {
		t.Error("no large head was closed in favour of ordinary ones")
	}
}

// Guards against charges that are released twice or never: the budget would grow or shrink
// until it bounds nothing or refuses everything.
func TestChargesAreReleasedOnce(t *testing.T) {
	b := New(Options{MemoryBytes: 1 << 30, Files: 1000})
	c := open(t, b, at(0), Router, 1)[0]
	b.ReadStarted(at(1), c)
	b.Charge(at(1), c, 5000)
	b.RequestStarted(at(1), c)
	b.ChargeResponse(c, 7000)
	b.ChargeAhead(at(1), c, 3000)
	b.BodyStarted(at(1), c)
	b.Refund(c, 100000)
	b.RefundAhead(c, 1000)
	b.ChargeResponse(c, 10)
	b.Close(c)
	b.Close(c)
	b.Refund(c, 10)
	b.RequestDone(at(2), c)
	b.ChargeResponse(c, 10)
	if _, ok := b.Charge(at(2), c, 10); ok {
		t.Error("a closed connection was charged")
	}
	if got := b.Stats()[Router]; got.MemoryBytes != 0 || got.Files != 1 || b.active[Router] != 0 {
		t.Errorf("%+v and %d requests are left, want one descriptor of a pooled connection", got, b.active[Router])
	}
}

// Guards against idle connections of ordinary callers because of which a large head inside
// the limits is refused.
func TestLargeHeadFitsBesideIdleConnections(t *testing.T) {
	b := New(Options{MemoryBytes: 184 << 20})
	for _, c := range open(t, b, at(0), Caller, 2000) {
		b.RequestStarted(at(1), c)
		b.RequestDone(at(2), c)
	}
	c := open(t, b, at(3), Caller, 1)[0]
	if evicted, ok := b.Charge(at(3), c, HeadCost(15<<10, 5000)); !ok || len(evicted) > 0 {
		t.Errorf("ok %v, %d evicted, want the head charged", ok, len(evicted))
	}
}

// Guards against slow bodies that keep ordinary requests out, and against requests that are
// closed once their body is complete.
func TestSlowBodiesGiveWay(t *testing.T) {
	b := New(Options{MemoryBytes: budgetDivisor * 1 << 20})
	conns := open(t, b, at(0), Caller, 25)
	for _, c := range conns {
		b.RequestStarted(at(0), c)
		b.BodyStarted(at(0), c)
		if _, ok := b.Charge(at(0), c, 15<<10); !ok {
			t.Fatal("a body was refused")
		}
	}
	b.BodyDone(at(1), conns[0])
	refused, evictions := 0, 0
	for range 40 {
		c, evicted, ok := b.Open(at(1000), Caller, nil)
		evictions += len(evicted)
		if !ok {
			refused++
			continue
		}
		b.RequestStarted(at(1000), c)
		if evicted, ok = b.Charge(at(1000), c, RequestCost); !ok {
			refused++
		}
		evictions += len(evicted)
	}
	if evictions != len(conns)-1 || conns[0].closed || refused == 0 {
		t.Errorf("%d slow bodies were closed and %d requests refused, want all but the complete one first", evictions, refused)
	}
}

// Guards against refused connections that stay open for ever, because the server reports a
// request for the head that was refused.
func TestRefusedConnectionsAreClosed(t *testing.T) {
	b := New(Options{})
	c := open(t, b, at(0), Caller, 1)[0]
	b.Linger(at(1), c)
	if _, ok := b.RequestStarted(at(2), c); ok {
		t.Error("a request of a refused connection was admitted")
	}
	b.RequestDone(at(3), c)
	if expired := b.Expired(at(1000), func(Class) Timeouts { return Timeouts{time.Hour, time.Hour, time.Hour} }); len(expired) != 1 {
		t.Errorf("%d connections were closed, want 1", len(expired))
	}
}

// Guards against limits that apply only to new connections, and to slow heads that never end.
func TestTimeoutsApplyToOpenConnections(t *testing.T) {
	b := New(Options{})
	conns := open(t, b, at(0), Caller, 4)
	b.ReadStarted(at(10), conns[1])
	b.RequestStarted(at(10), conns[2])
	b.RequestDone(at(20), conns[3])
	expired := func(ms int, head, idle time.Duration) int {
		return len(b.Expired(at(ms), func(Class) Timeouts { return Timeouts{Fresh: head, Head: head, Idle: idle} }))
	}
	if n := expired(4000, 5*time.Second, time.Minute); n != 0 {
		t.Errorf("%d connections expired early", n)
	}
	if n := expired(4000, 5*time.Second, time.Second); n != 1 {
		t.Errorf("%d connections expired with a shorter idle time, want the idle one", n)
	}
	if n := expired(4010, 4*time.Second, time.Minute); n != 2 {
		t.Errorf("%d connections expired with a shorter head time, want the fresh and the slow one", n)
	}
	if n := expired(1<<30, time.Second, time.Second); n != 0 {
		t.Error("a connection with a request in progress expired")
	}
}

// Guards against idle connections of routers that are closed while their clients still use
// them, where these keep them for longer than 20 s.
func TestIdleRoutersAreKeptForPoolTime(t *testing.T) {
	for _, pool := range []time.Duration{0, 45 * time.Second} {
		b := New(Options{Files: reservedFiles + 1, PoolTime: pool})
		c := open(t, b, at(0), Router, 1)[0]
		b.ReadStarted(at(0), c)
		b.RequestDone(at(0), c)
		kept := max(pool, defaultPoolTime) + routerIdleMargin
		if b.Yield(at(0).Add(kept-1), Router) != nil {
			t.Errorf("pool time %v: closed before %v", pool, kept)
		}
		if b.Yield(at(0).Add(kept), Router) == nil {
			t.Errorf("pool time %v: not closed after %v", pool, kept)
		}
	}
}

// Guards against heads whose size or lines are counted wrongly, however they arrive.
func TestHeadCountsPiecewise(t *testing.T) {
	for text, want := range map[string]Head{
		"GET / HTTP/1.1\r\na: b\r\n\r\nrest\r\n": {requestLine: 16, fields: 6, lines: 3, ended: true},
		"GET / HTTP/1.1\na:\n\nrest":             {requestLine: 15, fields: 3, lines: 3, ended: true},
		"GET / HTTP/1.1\r\na: b\r\n\r":           {requestLine: 16, fields: 7, lines: 2},
		"\r\n" + strings.Repeat("x", 50):         {requestLine: 2, fields: 50, lines: 1},
	} {
		for piece := 1; piece <= len(text); piece++ {
			var h Head
			for rest := text; rest != ""; {
				n := min(piece, len(rest))
				h.Add([]byte(rest[:n]))
				rest = rest[n:]
			}
			if h.requestLine != want.requestLine || h.fields != want.fields || h.lines != want.lines || h.ended != want.ended {
				t.Fatalf("%q in pieces of %d: %+v, want %+v", text, piece, h, want)
			}
		}
	}
}
