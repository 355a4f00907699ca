package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	relay "burdockglade.dev/stores/standin"
)

// Services of a world.
const (
	plainService = "plain"
	keyedService = "keyed"
)

// lateOrders is the share of the orders to upstreams that get no answer and are
// carried out late.
const lateOrders = 0.1

// world is a deployment on the loopback interface.
type world struct {
	t   *testing.T
	dir string
	// ordered tells that the keyed upstreams are granted keys by calls.
	ordered bool
	store   *standin.Store
	configs configs
	hosts   []*host
	ledger  *standin.Ledger
	callers *callers

	mu     sync.Mutex
	notice []*server
}

// server is one run of a stand-in server.
type server struct {
	*standin.Server
	instance string
	stop     func()
}

// host is a router process with its server and the relays in front of its store
// and of its hop port.
type host struct {
	w          *world
	name       string
	service    string
	settings   string
	caller     string
	control    string
	app        string
	storeRelay *relay.Relay
	hopRelay   *relay.Relay

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// processes counts the starts of the process, runs those of the server.
	processes int
	runs      int
	server    *server
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func listen(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// nextPort is below the range from which the system takes ports for listeners
// and connections without one, so that none of these gets a port of a process
// that is about to start.
var nextPort = 20000 + os.Getpid()%800*10

// freePorts returns addresses on which nothing listens.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		nextPort++
		if nextPort > 32000 {
			t.Fatal("no free port below 32000")
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		must(t, l.Close())
		addresses = append(addresses, address)
	}
	return addresses
}

func newWorld(t *testing.T, n int, ordered bool) *world {
	w := &world{t: t, ordered: ordered, dir: t.TempDir(), store: standin.NewStore(), ledger: &standin.Ledger{}, callers: &callers{},
		configs: configs{confirmed: map[uint64]time.Time{}}}
	if *keepLogs != "" {
		w.dir = filepath.Join(*keepLogs, filepath.Base(t.Name()))
		must(t, os.MkdirAll(w.dir, 0o755))
	}
	storeAddress := listen(t, w.store)
	w.publish()
	ports := freePorts(t, 6*n)
	for i := range n {
		w.addHost(i, storeAddress, ports[6*i:6*i+6])
	}
	t.Cleanup(func() {
		for _, h := range w.hosts {
			h.kill(syscall.SIGKILL)
			h.server.stop()
		}
	})
	return w
}

func (w *world) addHost(i int, storeAddress string, ports []string) {
	h := &host{w: w, name: fmt.Sprintf("h%d", i), service: plainService, caller: ports[0], control: ports[3]}
	if i%2 == 1 {
		h.service = keyedService
	}
	var err error
	h.storeRelay, err = relay.StartRelay(relay.RelayOptions{Target: storeAddress})
	must(w.t, err)
	h.hopRelay, err = relay.StartRelay(relay.RelayOptions{Target: ports[1]})
	must(w.t, err)
	w.t.Cleanup(h.storeRelay.Close)
	w.t.Cleanup(h.hopRelay.Close)
	h.app = ports[5]
	h.settings = filepath.Join(w.dir, h.name+".ini")
	text := fmt.Sprintf("[host]\nname = %s\nzone = z%d\nregion = r1\nservice = %s\n[listen]\ncaller = %s\nhop = %s\nhop_advertised = %s\nready = %s\ncontrol = %s\nmetrics = %s\n[upstream]\naddress = %s\nheartbeat_ms = 300\n[store]\naddress = %s\n",
		h.name, i%3, h.service, ports[0], ports[1], h.hopRelay.Address(), ports[2], ports[3], ports[4], h.app, h.storeRelay.Address())
	must(w.t, os.WriteFile(h.settings, []byte(text), 0o600))
	h.startServer()
	h.start()
	w.hosts = append(w.hosts, h)
}

// startServer replaces the server by a new run. The connections of the earlier one
// end with it.
func (h *host) startServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs++
	instance := fmt.Sprintf("i-%s-%d", h.name, h.runs)
	s := standin.NewServer(standin.ServerOptions{
		Instance: instance, Service: h.service, Slots: 8, Control: h.control,
		HeartbeatInterval: 300 * time.Millisecond, WorkTime: 40 * time.Millisecond, Keyed: h.service == keyedService, Ledger: h.w.ledger,
		KeysByCommand: h.service == keyedService && h.w.ordered, LateCommands: lateOrders,
	})
	if h.server != nil {
		h.server.stop()
	}
	l, err := net.Listen("tcp4", h.app)
	if err != nil {
		h.w.t.Error(err)
		return
	}
	web := &http.Server{Handler: s}
	go func() { _ = web.Serve(l) }() // ends with Close
	ctx, cancel := context.WithCancel(context.Background())
	h.server = &server{Server: s, instance: instance, stop: func() {
		cancel()
		_ = web.Close()
	}}
	go s.Run(ctx)
}

// start starts the process unless it runs.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.w.t.Error(err)
		return
	}
	cmd := exec.Command(binary, "sidecar", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.w.t.Error(err)
		return
	}
	exited := make(chan struct{})
	h.process, h.exited = cmd, exited
	h.processes++
	go func() {
		_ = cmd.Wait() // a killed process is no error
		_ = log.Close()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(exited)
	}()
}

// processRun is the number of starts of the process.
func (h *host) processRun() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processes
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s) // it may just have ended
	}
}

// kill ends the process and waits for its end.
func (h *host) kill(s syscall.Signal) {
	h.signal(syscall.SIGCONT)
	h.signal(s)
	h.mu.Lock()
	exited, running := h.exited, h.process != nil
	h.mu.Unlock()
	if running {
		<-exited
	}
}

// drains returns the servers that gave notice and were acknowledged.
func (w *world) drains() []drain {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []drain
	for _, s := range w.notice {
		if at := s.Acknowledged(); !at.IsZero() {
			all = append(all, drain{instance: s.instance, acknowledged: at})
		}
	}
	return all
}

// awaitService waits until every host serves every route of the newest
// configuration.
func (w *world) awaitService(when string) {
	w.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	paths := []string{"/look/", "/pay/", "/keys/", "/order/", fmt.Sprintf("/version-%d/", w.configs.newestVersion())}
	for _, h := range w.hosts {
		for _, path := range paths {
			for key := 0; key <= 65535; key += 13107 {
				for r := w.callers.send(h.caller, path, key); r.status != 200; r = w.callers.send(h.caller, path, key) {
					if time.Now().After(deadline) {
						w.t.Fatalf("%s: %s does not serve %s key %d: status %d %s", when, h.name, path, key, r.status, r.body)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		}
	}
}

// settle waits for work that is still under way.
func (w *world) settle() {
	time.Sleep(500 * time.Millisecond)
}
