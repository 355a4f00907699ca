package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/platform/standin"
	relay "burdockglade.dev/stores/standin"
)

// Services of a deployment.
const (
	plainService = "plain"
	keyedService = "keyed"
)

// lateCommandShare is the share of the commands to upstreams that get no response
// and are executed late.
const lateCommandShare = 0.1

// defaultSlots is the number of slots of a server.
const defaultSlots = 8

// deploymentOptions configure a deployment. All but keysByCommand, slots, wrapServer,
// twoRegions, restrictKeys, coldStarts and downloads are required.
type deploymentOptions struct {
	hosts int
	// slots is the number of slots of each server; 0 means defaultSlots.
	slots int
	// wrapServer returns the handler of a server's requests; nil means the server itself.
	wrapServer func(*standin.Server) http.Handler
	// keysByCommand is true if keys are granted to the keyed upstreams by commands.
	keysByCommand bool
	// twoRegions puts the hosts of one zone into a second region.
	twoRegions bool
	// restrictKeys adds a restricted route to the keyed service, whose keys then belong to
	// hosts in homeRegion.
	restrictKeys bool
	// coldStarts makes the upstreams cold after their start.
	coldStarts bool
	// downloads adds routes for large responses and for runs that make calls, and the
	// settings that concern them.
	downloads bool
	// services are the services of the upstreams, in turn.
	services []string
	// workTime is the mean duration of an execution.
	workTime time.Duration
	// publishFirst publishes the first configuration.
	publishFirst func(*deployment)
}

// deployment is a set of hosts and a store on the loopback interface.
type deployment struct {
	t       *testing.T
	dir     string
	opts    deploymentOptions
	store   *standin.Store
	configs configs
	hosts   []*host
	ledger  *standin.Ledger
	callers *callers

	// evacuations are those of the zones.
	evacuations evacuations

	// operator is held during each change of the operator.
	operator sync.Mutex

	mu      sync.Mutex
	drained []*server
	// limited holds the servers that have named a limit.
	limited []*server
	// started holds all servers.
	started []*server
}

// server is one incarnation of a stand-in server.
type server struct {
	*standin.Server
	instance string
	stop     func()
}

// host is a router process with its server, and the relays to the store and to the
// router's hop port.
type host struct {
	deployment *deployment
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
	// starts counts the starts of the process, incarnations those of the server.
	starts       int
	incarnations int
	server       *server
	// disrupted are the times at which the process was ended, stopped or resumed.
	disrupted []time.Time
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
	go func() { _ = s.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// nextPort is the last port that freePorts tried. It stays below the range of
// ephemeral ports, so that no other listener or connection takes the port of a
// process that is about to start.
var nextPort = 20000 + os.Getpid()%800*10

// freePorts returns n loopback addresses on which nothing listens.
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

func newDeployment(t *testing.T, opts deploymentOptions) *deployment {
	d := &deployment{t: t, opts: opts, dir: t.TempDir(), store: standin.NewStore(), ledger: &standin.Ledger{}, callers: &callers{},
		configs: configs{confirmed: map[uint64]time.Time{}}}
	if *logDir != "" {
		d.dir = filepath.Join(*logDir, filepath.Base(t.Name()))
		must(t, os.MkdirAll(d.dir, 0o755))
	}
	storeAddress := listen(t, d.store)
	opts.publishFirst(d)
	ports := freePorts(t, 6*opts.hosts)
	for i := range opts.hosts {
		d.addHost(i, storeAddress, ports[6*i:6*i+6])
	}
	t.Cleanup(func() {
		for _, h := range d.hosts {
			h.kill(syscall.SIGKILL)
			h.server.stop()
		}
	})
	return d
}

func (d *deployment) addHost(i int, storeAddress string, ports []string) {
	h := &host{deployment: d, name: fmt.Sprintf("h%d", i), service: d.opts.services[i%len(d.opts.services)], caller: ports[0], control: ports[3]}
	var err error
	h.storeRelay, err = relay.StartRelay(relay.RelayOptions{Target: storeAddress})
	must(d.t, err)
	h.hopRelay, err = relay.StartRelay(relay.RelayOptions{Target: ports[1]})
	must(d.t, err)
	d.t.Cleanup(h.storeRelay.Close)
	d.t.Cleanup(h.hopRelay.Close)
	h.app = ports[5]
	h.settings = filepath.Join(d.dir, h.name+".ini")
	text := fmt.Sprintf("[host]\nname = %s\nzone = %s\nregion = %s\nservice = %s\n[listen]\ncaller = %s\nhop = %s\nhop_advertised = %s\nready = %s\ncontrol = %s\nmetrics = %s\n[upstream]\naddress = %s\nheartbeat_ms = 300\n[store]\naddress = %s\n",
		h.name, d.opts.placeOf(i).zone, d.opts.placeOf(i).region, h.service, ports[0], ports[1], h.hopRelay.Address(), ports[2], ports[3], ports[4], h.app, h.storeRelay.Address())
	if d.opts.downloads {
		text = strings.Replace(text, "[listen]", fmt.Sprintf("link_mbps = %d\n[calls]\nenabled = true\n[listen]", linkMbps), 1)
	}
	must(d.t, os.WriteFile(h.settings, []byte(text), 0o600))
	h.startServer()
	h.start()
	d.hosts = append(d.hosts, h)
}

// startServer replaces the server by a new incarnation. The connections of the
// previous one are closed.
func (h *host) startServer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnations++
	instance := fmt.Sprintf("i-%s-%d", h.name, h.incarnations)
	options := standin.ServerOptions{
		Instance: instance, Service: h.service, Slots: cmp.Or(h.deployment.opts.slots, defaultSlots), Control: h.control,
		HeartbeatInterval: 300 * time.Millisecond, WorkTime: h.deployment.opts.workTime, Keyed: h.service == keyedService, Ledger: h.deployment.ledger,
		KeysByCommand: h.service == keyedService && h.deployment.opts.keysByCommand, LateCommands: lateCommandShare,
	}
	if h.deployment.opts.coldStarts {
		options.ColdStart, options.SilentColdStart = coldStartTime, h.incarnations%2 == 0
	}
	if h.deployment.opts.downloads {
		options.BodyBytes, options.Call = func(r *http.Request) int { return downloadBytes(r.URL.Path) }, h.call
	}
	s := standin.NewServer(options)
	if h.server != nil {
		h.server.stop()
	}
	l, err := net.Listen("tcp4", h.app)
	if err != nil {
		h.deployment.t.Error(err)
		return
	}
	web := &http.Server{Handler: s}
	if wrap := h.deployment.opts.wrapServer; wrap != nil {
		web.Handler = wrap(s)
	}
	go func() { _ = web.Serve(l) }() // returns after Close
	ctx, cancel := context.WithCancel(context.Background())
	h.server = &server{Server: s, instance: instance, stop: func() {
		cancel()
		_ = web.Close()
	}}
	h.deployment.mu.Lock()
	h.deployment.started = append(h.deployment.started, h.server)
	h.deployment.mu.Unlock()
	go s.Run(ctx)
}

// start starts the process unless it is running.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(h.deployment.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.deployment.t.Error(err)
		return
	}
	cmd := exec.Command(binary, "sidecar", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		h.deployment.t.Error(err)
		return
	}
	exited := make(chan struct{})
	h.process, h.exited = cmd, exited
	h.starts++
	go func() {
		_ = cmd.Wait() // the exit status of a killed process is not an error
		_ = log.Close()
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(exited)
	}()
}

// processStarts returns the number of starts of the process.
func (h *host) processStarts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// signal sends a signal to the process if it is running.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s != syscall.SIGHUP {
		h.disrupted = append(h.disrupted, time.Now())
	}
	if h.process != nil {
		_ = h.process.Process.Signal(s) // the process may have exited
	}
}

// kill resumes the process, sends it the signal and waits until it has exited.
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

// drains returns the drained servers whose drain was acknowledged.
func (d *deployment) drains() []drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []drain
	for _, s := range d.drained {
		if at := s.Acknowledged(); !at.IsZero() {
			all = append(all, drain{instance: s.instance, acknowledged: at})
		}
	}
	return all
}

// awaitService waits until every host serves a sample of keys of every route of the
// newest configuration. It fails the test after 20 s.
func (d *deployment) awaitService(when string) {
	d.t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	paths := append(d.paths(), fmt.Sprintf("/version-%d/", d.configs.newestVersion()))
	if d.opts.downloads {
		paths = append(paths, downloadPrefix, runPrefix)
	}
	for _, h := range d.hosts {
		for _, path := range paths {
			for key := 0; key <= 65535; key += 13107 {
				if key > 0 && (isRestricted(path) || path == downloadPrefix || path == runPrefix) {
					break // their hosts and keys are those of the other routes, or they have no keys
				}
				for r := d.callers.send(h.caller, path, key); r.status != 200; r = d.callers.send(h.caller, path, key) {
					if time.Now().After(deadline) {
						d.t.Fatalf("%s: %s does not serve %s key %d: status %d %s", when, h.name, path, key, r.status, r.body)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}
		}
	}
}

// awaitWorkDone waits 500 ms for work that is still in progress.
func (d *deployment) awaitWorkDone() {
	time.Sleep(500 * time.Millisecond)
}
