// Package hostile runs routers as separate processes and sends them what no sound client
// sends. It checks that the processes live on, stay within their memory and file
// descriptors, and answer an ordinary request afterwards.
package hostile

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
	"burdockglade.dev/router/vhost"
)

// size is the settings of a process and the bounds that it must keep.
type size struct {
	// memoryMB and maxFiles are its settings.
	memoryMB, maxFiles int
	// peakMB bounds the peak of its resident memory. The number of its open descriptors is
	// bounded by maxFiles.
	peakMB int
}

// smallSize is below that of every host.
var smallSize = size{memoryMB: 128, maxFiles: 1000, peakMB: 128}

const (
	// startTime and recoveryTime bound the waits for the first answers and for an ordinary
	// answer after a crowd has left.
	startTime    = 30 * time.Second
	recoveryTime = 30 * time.Second
)

// binary is the path of the program under test.
var binary string

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// buildAndRun builds the program and runs the tests while no other process runs them: a
// crowd takes thousands of descriptors and most of a processor.
func buildAndRun(m *testing.M) (int, error) {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "burdockglade-hostile.lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() { _ = lock.Close() }()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "burdockglade")
	build := exec.Command("go", "build", "-o", binary, "burdockglade.dev/router/cmd/burdockglade")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("building: %w\n%s", err, out)
	}
	return m.Run(), nil
}

// host is a process with the addresses on which it listens.
type host struct {
	caller, hop, control, ready, metrics string
	// upstream and admin are listeners of `burdockglade run`, which has no ready.
	upstream, admin string
	size            size
	process         *exec.Cmd
	exited          chan struct{}
	// peakFiles is the largest number of open descriptors that was seen.
	peakFiles atomic.Int64
}

// deployment is a store and two hosts with one service each.
type deployment struct {
	t     *testing.T
	store *standin.Store
	hosts []*host
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func newDeployment(t *testing.T, of size) *deployment {
	d := &deployment{t: t, store: standin.NewStore()}
	storeAddress := serve(t, d.store)
	d.publish()
	ledger := &standin.Ledger{}
	for i, service := range services {
		d.hosts = append(d.hosts, startHost(t, i, of, service, storeAddress, ledger))
	}
	for _, h := range d.hosts {
		d.awaitAnswers(h, startTime)
	}
	return d
}

var services = []string{"first", "second"}

// publish publishes the configuration, with a route to each service.
func (d *deployment) publish() {
	c := vhost.Config{Version: 1, Limits: vhost.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 5 * time.Second}}
	for _, service := range services {
		c.Services = append(c.Services, vhost.Service{Name: service, HealthPath: "/healthz"})
		c.Routes = append(c.Routes, vhost.Route{Name: service, Host: "hostile", Prefix: "/" + service + "/", Repeatable: true, MaxAttempts: 2,
			Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Clusters: []vhost.Cluster{{Service: service, Weight: 1}}})
	}
	must(d.t, standin.Publish(context.Background(), d.store, c))
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(t, err)
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// nextPort is the last port that was tried. It stays below the range of ephemeral ports, so
// that no connection takes the port of a process that is about to start.
var nextPort = 12000 + os.Getpid()%700*10

func freePort(t *testing.T) string {
	t.Helper()
	for nextPort < 20000 {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp4", address)
		if err == nil {
			must(t, l.Close())
			return address
		}
	}
	t.Fatal("no free port below 20000")
	return ""
}

// startHost starts a process and its stand-in upstream.
func startHost(t *testing.T, i int, of size, service, storeAddress string, ledger *standin.Ledger) *host {
	t.Helper()
	h := &host{size: of, caller: freePort(t), hop: freePort(t), control: freePort(t), ready: freePort(t), metrics: freePort(t), exited: make(chan struct{})}
	upstream := standin.NewServer(standin.ServerOptions{
		Instance: fmt.Sprintf("i-%d", i), Service: service, Slots: 8, Control: h.control,
		HeartbeatInterval: 300 * time.Millisecond, WorkTime: 20 * time.Millisecond, Ledger: ledger,
	})
	address := serve(t, upstream)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go upstream.Run(ctx)
	settings := filepath.Join(t.TempDir(), "settings.ini")
	must(t, os.WriteFile(settings, fmt.Appendf(nil,
		"[host]\nname = h%d\nzone = z\nregion = r\nservice = %s\nmemory_mb = %d\nmax_fds = %d\n[listen]\ncaller = %s\nhop = %s\nready = %s\ncontrol = %s\nmetrics = %s\n[upstream]\naddress = %s\nheartbeat_ms = 300\n[store]\naddress = %s\n",
		i, service, of.memoryMB, of.maxFiles, h.caller, h.hop, h.ready, h.control, h.metrics, address, storeAddress), 0o600))
	h.start(t, fmt.Sprintf("h%d", i), "sidecar", "--settings", settings)
	return h
}

// start starts the program with the arguments. If the test fails, it prints the end of what
// the process has written: its events, and the cause if the process has crashed.
func (h *host) start(t *testing.T, name string, args ...string) {
	t.Helper()
	var output, errorOutput lastBytes // written until the process has exited
	h.process = exec.Command(binary, args...)
	h.process.Stdout, h.process.Stderr = &output, &errorOutput
	must(t, h.process.Start())
	go func() {
		_ = h.process.Wait() // a killed process is reported by the test itself
		close(h.exited)
	}()
	t.Cleanup(func() {
		_ = h.process.Process.Kill() // it may have exited
		<-h.exited
		if t.Failed() {
			t.Logf("end of the standard output of %s:\n%s", name, output.kept)
			t.Logf("end of the standard error of %s:\n%s", name, errorOutput.kept)
		}
	})
}

// keptBytes is about 300 events, more than a router writes in the 30 s of a wait without
// hostile load.
const keptBytes = 64 << 10

// lastBytes keeps the end of what is written to it.
type lastBytes struct {
	kept []byte
}

// Write implements io.Writer.
func (l *lastBytes) Write(p []byte) (int, error) {
	l.kept = append(l.kept, p...)
	if excess := len(l.kept) - keptBytes; excess > 0 {
		l.kept = append(l.kept[:0], l.kept[excess:]...)
	}
	return len(p), nil
}

// awaitAnswers waits until ordinary requests to both services are answered.
func (d *deployment) awaitAnswers(h *host, within time.Duration) {
	d.t.Helper()
	deadline := time.Now().Add(within)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for _, service := range services {
		for {
			status, err := ordinaryRequest(h.caller, service)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				d.t.Fatalf("an ordinary request to %s has no answer: status %d, error %v", service, status, err)
			}
			select {
			case <-h.exited:
				d.t.Fatal("the process has ended")
			case <-tick.C:
			}
		}
	}
}

// ordinaryRequest sends a request on a connection of its own.
func ordinaryRequest(address, service string) (status int, err error) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: 3 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+service+"/x", nil)
	if err != nil {
		return 0, err
	}
	names := platform.Headers()
	req.Host = "hostile"
	req.Header.Set(names.RequestID, "ordinary")
	req.Header.Set(names.DeadlineMs, "2000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// peakMemory returns the peak of the resident memory of the process in bytes.
func (h *host) peakMemory() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kilobytes, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return kilobytes << 10, err
}

// observeFiles records the largest number of open descriptors until stop is closed.
func (h *host) observeFiles(stop <-chan struct{}) {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
		if err == nil {
			h.peakFiles.Store(max(h.peakFiles.Load(), int64(len(entries))))
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// check checks that the process lives and has kept its bounds.
func (h *host) check(t *testing.T, name string) {
	t.Helper()
	select {
	case <-h.exited:
		t.Fatalf("%s: the process has ended: %v", name, h.process.ProcessState)
	default:
	}
	peak, err := h.peakMemory()
	must(t, err)
	t.Logf("%s: peak of memory %d MB, of descriptors %d", name, peak>>20, h.peakFiles.Load())
	if peak >= int64(h.size.peakMB)<<20 {
		t.Errorf("%s: the process took %d MB of memory; its host has %d, of which it may take %d", name, peak>>20, h.size.memoryMB, h.size.peakMB)
	}
	if files := h.peakFiles.Load(); files > int64(h.size.maxFiles) {
		t.Errorf("%s: the process had %d descriptors open; it may have %d", name, files, h.size.maxFiles)
	}
}
