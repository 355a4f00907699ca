package hostile

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/router/hop"
)

const (
	// crowdAtRequests and crowdAtOthers are the numbers of clients at each listener for
	// requests (callers, other routers) and at each other one (administration, readiness,
	// metrics).
	crowdAtRequests = 300
	crowdAtOthers   = 100
	// openFactor multiplies them for connections that are opened and left.
	openFactor = 4
)

// kind is a kind of hostile client: its payloads for HTTP and for routers. Clients take the
// payloads in turn; without payloads for routers that listener is left alone.
type kind struct {
	http, routers []payload
	factor        int
}

// hopHead is the length of the largest head between routers, as it is sent.
const hopHead = "\x80\x80\x08"

func kinds(t *testing.T) map[string]kind {
	name := func(i int) string { return fmt.Sprintf("n%d:\r\n", i) }
	var fields []hop.Field
	for i := range 9000 {
		fields = append(fields, hop.Field{Name: fmt.Sprintf("N%d", i)})
	}
	manyFields := encodeHop(t, hopRequest(fields, nil))
	ordinary := encodeHop(t, hopRequest([]hop.Field{{Name: "A", Value: "b"}}, nil))
	withBody := encodeHop(t, hopRequest(nil, make([]byte, 60<<10)))
	short := payload{open: getHead + repeated("a:\r\n", headBytes), end: "\r\n"}
	names := payload{open: getHead + lines(name, headBytes), end: "\r\n"}
	all := map[string]kind{
		"short-lines": {http: []payload{short}, routers: []payload{{open: manyFields[:len(manyFields)-1], end: manyFields[len(manyFields)-1:]}}},
		"odd-lines": {http: []payload{
			{open: getHead + repeated("a:\t \t\n", headBytes), end: "\r\n"},
			{open: getHead + repeated("~!#$%&'*+:\x80\xff\r\n", headBytes), end: "\r\n"},
		}, routers: []payload{{open: repeated("\x01\x80", headBytes)}}},
		"many-names": {http: []payload{names}, routers: []payload{{open: manyFields}}},
		"no-colon": {http: []payload{
			{open: getHead + repeated("a\r\n", headBytes), end: "\r\n"},
			{open: getHead + "a: b\r\n" + repeated(" c\r\n", headBytes), end: "\r\n"},
		}},
		"over-the-limit": {http: []payload{
			{open: getHead + repeated("a:\r\n", 58<<10), end: "\r\n"},
			{open: getHead + lines(name, 58<<10), end: "\r\n"},
			{open: getHead + "a: " + strings.Repeat("x", 200<<10), end: "\r\n\r\n"},
		}, routers: []payload{{open: "\xff\xff\xff\xff\xff\xff\xff\xff\x7f", repeat: "x", repeatBytes: 256 << 10}}},
		"head-without-end": {http: []payload{
			{open: getHead, repeat: "a:\r\n", repeatBytes: 1 << 20},
			{open: getHead + "a: ", repeat: "x", repeatBytes: 1 << 20},
			{open: "GET /", repeat: "x", repeatBytes: 1 << 20},
		}, routers: []payload{{open: hopHead, repeat: "x", repeatBytes: 120 << 10}}},
		"empty-lines": {http: []payload{{repeat: "\r\n", repeatBytes: 1 << 20}}, routers: []payload{{repeat: "\x00", repeatBytes: 1 << 20}}},
		"chunk-extension": {http: []payload{
			{open: postHead + "Transfer-Encoding: chunked\r\n\r\n1;", repeat: "x", repeatBytes: 1 << 20},
			{open: postHead + "Transfer-Encoding: chunked\r\n\r\n", repeat: "1;xxxxxxxxxxxxxxxx\r\nx\r\n", repeatBytes: 1 << 20},
		}},
		"trailer": {http: []payload{
			{open: postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "a:\r\n", repeatBytes: 1 << 20},
			{open: postHead + "Transfer-Encoding: chunked\r\n\r\n0\r\na:", repeat: "x", repeatBytes: 1 << 20},
		}},
		"slow-head": {http: []payload{{open: getHead + lines(name, headBytes)}}, routers: []payload{{open: manyFields[:len(manyFields)/2]}}},
		"slow-body": {http: []payload{
			{open: postHead + "Content-Length: 65000\r\n\r\n" + strings.Repeat("x", 64000)},
			{open: postHead + "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 300000)},
		}, routers: []payload{{open: withBody[:len(withBody)-1]}}},
		"opened-and-left": {http: []payload{{}}, routers: []payload{{}}, factor: openFactor},
		"pipelined": {http: []payload{
			{open: strings.Repeat(getHead+repeated("a:\r\n", headBytes)+"\r\n", 9)},
			{open: strings.Repeat(getHead+lines(name, headBytes)+"\r\n", 9)},
			{open: strings.Repeat(getHead+"\r\n", 2000)},
		}, routers: []payload{{open: strings.Repeat(ordinary, 1000)}, {open: strings.Repeat(manyFields, 4)}}},
	}
	var mix kind
	for _, name := range slices.Sorted(maps.Keys(all)) {
		mix.http = append(mix.http, all[name].http...)
		mix.routers = append(mix.routers, all[name].routers...)
	}
	all["mix"] = mix
	return all
}

// Guards against clients that end a process or make it hang: by memory that heads, bodies,
// responses and connections take, by file descriptors that are used up, and by listeners
// that end. Each kind meets processes of its own.
func TestHostileClients(t *testing.T) {
	all := kinds(t)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, smallSize)
			d.attack(all[name].crowd(d.hosts[0]))
			for i, h := range d.hosts {
				h.check(t, fmt.Sprintf("h%d", i))
			}
			for _, h := range d.hosts {
				d.awaitAnswers(h, recoveryTime)
			}
		})
	}
}

// group is a number of clients at one listener, which take the payloads in turn.
type group struct {
	address  string
	payloads []payload
	clients  int
}

// crowd returns the clients of the kind at every listener of the host.
func (k kind) crowd(h *host) []group {
	groups := []group{
		{h.caller, k.http, crowdAtRequests}, {h.hop, k.routers, crowdAtRequests},
		{h.control, k.http, crowdAtOthers}, {h.ready, k.http, crowdAtOthers}, {h.metrics, k.http, crowdAtOthers},
	}
	for i := range groups {
		groups[i].clients *= max(k.factor, 1)
	}
	return groups
}

// attack runs the clients at the first host, and waits until they have left.
func (d *deployment) attack(groups []group) {
	attackFirst(d.hosts, groups)
}

// attackFirst runs the clients at the first of the hosts, and waits until they have left. It
// records the descriptors of all hosts meanwhile.
func attackFirst(hosts []*host, groups []group) {
	h := hosts[0]
	stop := make(chan struct{})
	var observers, clients sync.WaitGroup
	for _, h := range hosts {
		observers.Go(func() { h.observeFiles(stop) })
	}
	for _, g := range groups {
		if len(g.payloads) == 0 {
			continue
		}
		for i := range g.clients {
			clients.Go(func() { g.payloads[i%len(g.payloads)].run(g.address, h.exited) })
		}
	}
	clients.Wait()
	close(stop)
	observers.Wait()
}

// Guards against limits that refuse a request inside the limits of the configuration while
// the process is not under pressure.
func TestLongHeadIsServed(t *testing.T) {
	d := newDeployment(t, smallSize)
	for _, service := range services {
		conn, err := net.Dial("tcp4", d.hosts[0].caller)
		must(t, err)
		must(t, conn.SetDeadline(time.Now().Add(recoveryTime)))
		_, err = io.WriteString(conn, "GET /"+service+"/x HTTP/1.1\r\nHost: hostile\r\n"+platform.Headers().RequestID+": long\r\n"+strings.Repeat("a:\n", 5000)+"\r\n")
		must(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must(t, err)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("a head of 5,000 lines for %s: status %d", service, resp.StatusCode)
		}
		_ = conn.Close()
	}
}
