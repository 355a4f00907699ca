package main

import (
	"bufio"
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

// names are the header fields of the users' platform. They stand in a data file, because
// Go files outside the folder of the platform may not name them.
var names struct {
	ID        string `json:"id"`
	Deadline  string `json:"deadline"`
	Signature string `json:"signature"`
	Caller    string `json:"caller"`
	Instance  string `json:"instance"`
	NotRun    string `json:"not_run"`
	Key       string `json:"key"`
	Load      string `json:"load"`
	Settings  string `json:"settings"`
	Hold      string `json:"hold"`
}

//go:embed names.json
var namesFile []byte

// routeHost is the host name of all routes.
const routeHost = "shop.example"

// options are those of a run.
type options struct {
	// repository is the root of the repository, in which the routers are started.
	repository string
	// trouble is false if the disruption is left out.
	trouble bool
	record  *record
}

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// add writes a line with the time since the start in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// errSetup is the error of a run that could not be set up.
var errSetup = errors.New("the case could not run")

// check ends the run with exit code 2 if there is an error.
func check(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errSetup, err))
	}
}

// world is a small deployment on loopback addresses: a store, and hosts with a router
// process each.
type world struct {
	o     options
	dir   string
	store *standin.Store
	hosts []*host
	// ctx ends with the deployment.
	ctx  context.Context
	stop context.CancelFunc
}

// host is one host with its router process.
type host struct {
	w             *world
	name, service string
	// caller, ready, control and app are addresses: where consumers send requests, where the
	// platform asks whether the router is ready, where the server sends its status, and
	// where the server listens.
	caller, hop, ready, control, metrics, app string
	settings                                  string

	cmd    *exec.Cmd
	exited chan struct{}
}

// nextPort is below the range of ephemeral ports, so that no connection takes a free port.
var nextPort = 20000 + os.Getpid()*53%11000

func freeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp4", address)
		if err == nil {
			_ = l.Close()
			return address
		}
		if nextPort > 32000 {
			check(errors.New("no free port"))
		}
	}
}

// newWorld starts the store and prepares one host for each service.
func newWorld(o options, services ...string) *world {
	check(json.Unmarshal(namesFile, &names))
	dir, err := os.MkdirTemp("", "review")
	check(err)
	w := &world{o: o, dir: dir, store: standin.NewStore()}
	w.ctx, w.stop = context.WithCancel(context.Background())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, w.store) }()
	for i, service := range services {
		w.hosts = append(w.hosts, w.newHost(i, service, l.Addr().String()))
	}
	return w
}

// newHost writes the settings of a host as the template of the deploy file does for a small
// deployment.
func (w *world) newHost(i int, service, store string) *host {
	h := &host{
		w: w, name: fmt.Sprintf("sidecar-%d", i+1), service: service,
		caller: freeAddress(), hop: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(), app: freeAddress(),
	}
	h.settings = filepath.Join(w.dir, h.name+".ini")
	text := fmt.Sprintf(`[host]
name = %s
zone = zone-%d
region = region-1
service = %s
link_mbps = 1000.0
memory_mb = 284
max_fds = 4100
[listen]
caller = %s
hop = %s
ready = %s
control = %s
metrics = %s
[upstream]
address = %s
heartbeat_ms = 870
[store]
address = %s
[terms]
drain_ms = 2000
config_ms = 2000
grace_ms = 6000
hold_max_ms = 10000
retry_ratio = 0.2
retry_slack = 60
retry_window_ms = 10000
[log]
level = info
`, h.name, i%3+1, service, h.caller, h.hop, h.ready, h.control, h.metrics, h.app, store)
	if link := os.Getenv("FUZZ_LINK"); link != "" {
		text = strings.Replace(text, "link_mbps = 1000.0", "link_mbps = "+link, 1)
	}
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// publish writes the manifest.
func (w *world) publish(services []vhost.Service, routes []vhost.Route) {
	check(standin.Publish(w.ctx, w.store, vhost.Config{
		Version: 1, Services: services, Routes: routes,
		Limits: vhost.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second},
	}))
}

// start starts the router with the command of the deploy file.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/burdockglade", "sidecar")
	cmd.Dir = h.w.o.repository
	cmd.Env = append(os.Environ(), names.Settings+"="+h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start())
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the exit status is read from cmd
		_ = log.Close()
		close(exited)
	}()
}

func (h *host) signal(s syscall.Signal) {
	_ = h.cmd.Process.Signal(s) // the process may have ended
}

// kill ends the router and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// isReady asks the router whether consumers may send, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready and know one another.
func (w *world) awaitReady() {
	for _, h := range w.hosts {
		for deadline := time.Now().Add(15 * time.Second); !h.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				check(fmt.Errorf("the router of %s is not ready after 15 s", h.name))
			}
		}
	}
	time.Sleep(2 * time.Second)
}

// close ends the routers.
func (w *world) close() {
	w.stop()
	for _, h := range w.hosts {
		if h.cmd != nil {
			h.kill()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
}

// heartbeats sends the status reports of a server without keys.
func (h *host) heartbeats(instance string, slots int) {
	s := standin.NewServer(standin.ServerOptions{
		Instance: instance, Service: h.service, Slots: slots, Control: h.control,
		HeartbeatInterval: 870 * time.Millisecond, WorkTime: time.Millisecond, Ledger: &standin.Ledger{},
	})
	go s.Run(h.w.ctx)
}

func newReader(conn net.Conn) *bufio.Reader { return bufio.NewReader(conn) }
