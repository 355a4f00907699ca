package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// waitTimeout limits every wait for an event. It is far above what a passing run
// needs, so that load on the machine does not change the result.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

var binaries struct {
	router, ctl string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "burdock-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries.router = filepath.Join(dir, "burdockglade")
	binaries.ctl = filepath.Join(dir, "burdockctl")
	code := 1
	if build(binaries.router, "burdockglade.dev/router/cmd/burdockglade") && build(binaries.ctl, "burdockglade.dev/ctl/cmd/burdockctl") {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(output, pkg string) bool {
	out, err := exec.Command("go", "build", "-o", output, pkg).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "building %s: %v\n%s", pkg, err, out)
	}
	return err == nil
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// process is a child process whose output is collected.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

func start(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), log: &logBuffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("starting %s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

// tail returns at most the last 6000 bytes of an output.
func tail(s string) string {
	const limit = 6000
	if len(s) <= limit {
		return s
	}
	return "... " + s[len(s)-limit:]
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop sends SIGTERM and waits for the process to exit.
func (p *process) stop(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not stop", p.name)
	}
}

// eventually polls until the condition is true. It fails the test after
// waitTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(waitTimeout)
	defer deadline.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline.C:
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// Range of the ports that freeAddress returns. It is below the kernel's range of
// ephemeral ports: a port of that range could be taken by an outgoing connection
// before the process that it is reserved for listens.
const (
	firstPort = 10000
	ports     = 22000
)

var nextPort atomic.Uint32

func init() { nextPort.Store(rand.Uint32N(ports)) }

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	for range ports {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%ports)
		if isFree(a) {
			return a
		}
	}
	t.Fatal("no free port")
	return ""
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return u.Close() == nil
}

// host is a router and its local upstream.
type host struct {
	name             string
	service          string
	zone             string
	caller           string
	upstreamListener string
	hop              string
	control          string
	admin            string
	metrics          string
	upstreamControl  string
	router           *process
	upstream         *process
	settings         string
	// relays carry the traffic between this host and the others; nil without relays.
	relays *relays
}

func (h *host) kill() {
	h.upstream.kill()
	h.router.kill()
}

// cluster is a deployment whose routers, upstreams and platform stand-ins are
// separate processes.
type cluster struct {
	t             testing.TB
	dir           string
	tableURL      string
	objectURL     string
	table         *process
	objects       *process
	hosts         []*host
	http          *http.Client
	extraSettings string // additional settings
	relayed       bool   // hosts that are added later are reached through relays
	notePoll      string // poll interval for the head row; 1s if empty
}

const adminToken = "operator-token-for-tests"

func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for name, content := range map[string]string{"secret": "a shared secret for the tests only", "token": adminToken} {
		if err := os.WriteFile(filepath.Join(c.dir, name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	tableAddress, objectAddress := freeAddress(t), freeAddress(t)
	c.tableURL, c.objectURL = "http://"+tableAddress, "http://"+objectAddress
	c.table = start(t, "table", binaries.ctl, "dev", "table", "--listen", tableAddress)
	c.objects = start(t, "objects", binaries.ctl, "dev", "objects", "--listen", objectAddress)
	c.awaitOK(c.tableURL + "/v1/counters")
	c.awaitOK(c.objectURL + "/v1/counters")
	return c
}

func (c *cluster) awaitOK(url string) {
	c.t.Helper()
	eventually(c.t, url+" responds", func() bool {
		resp, err := c.http.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (c *cluster) store() *table.Client {
	c.t.Helper()
	s, err := table.NewClient(table.ClientOptions{BaseURL: c.tableURL, Timeout: 5 * time.Second})
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

// publish publishes a release note.
func (c *cluster) publish(id, text string) {
	c.t.Helper()
	objects, err := object.NewClient(object.ClientOptions{BaseURL: c.objectURL, Timeout: 5 * time.Second})
	if err != nil {
		c.t.Fatal(err)
	}
	publisher := note.NewPublisher(note.PublisherOptions{Table: c.store(), Objects: objects})
	if _, err := publisher.Publish(context.Background(), id, []byte(text)); err != nil {
		c.t.Fatalf("publishing: %v", err)
	}
}

const settingsText = `[host]
name = %s
zone = %s
region = r1
[listen]
caller = %s
upstream = %s
hop = %s
control = %s
admin = %s
metrics = %s
[peers]
secret_file = secret
seeds = %s
[platform]
table_url = %s
object_url = %s
timeout = 1s
[admin]
token_file = token
[notes]
poll_interval = 1s
[log]
level = info
%s`

// addHost starts a router and its upstream.
func (c *cluster) addHost(name, zone, service string, upstreamFlags ...string) *host {
	c.t.Helper()
	h := &host{
		name: name, zone: zone, service: service,
		caller: freeAddress(c.t), upstreamListener: freeAddress(c.t), hop: freeAddress(c.t),
		control: freeAddress(c.t), admin: freeAddress(c.t), metrics: freeAddress(c.t), upstreamControl: freeAddress(c.t),
	}
	h.settings = filepath.Join(c.dir, name+".ini")
	tableURL, extraSettings := c.tableURL, c.extraSettings
	if c.relayed {
		h.relays = c.startRelays(h)
		tableURL = "http://" + h.relays.store.Address()
		extraSettings += fmt.Sprintf("\n[advertise]\nhop = %s\ncontrol = %s\n", h.relays.hop.Address(), h.relays.control.Address())
	}
	var seeds []string
	for _, other := range c.hosts {
		if other.relays != nil {
			seeds = append(seeds, other.relays.control.Address())
		} else {
			seeds = append(seeds, other.control)
		}
	}
	text := fmt.Sprintf(settingsText, name, zone, h.caller, h.upstreamListener, h.hop, h.control, h.admin, h.metrics,
		strings.Join(seeds, ", "), tableURL, c.objectURL, extraSettings)
	if c.notePoll != "" {
		text = strings.Replace(text, "poll_interval = 1s", "poll_interval = "+c.notePoll, 1)
	}
	if len(seeds) == 0 {
		text = strings.Replace(text, "seeds = \n", "", 1)
	}
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.startRouter(h)
	c.startUpstream(h, upstreamFlags...)
	c.hosts = append(c.hosts, h)
	return h
}

func (c *cluster) startRouter(h *host) {
	h.router = start(c.t, h.name+" router", binaries.router, "run", "--settings", h.settings)
}

func (c *cluster) startUpstream(h *host, flags ...string) {
	args := append([]string{"dev", "upstream", "--name", h.name, "--service", h.service,
		"--control-listen", h.upstreamControl, "--router", "http://" + h.upstreamListener}, flags...)
	h.upstream = start(c.t, h.name+" upstream", binaries.ctl, args...)
}

// response is the response that a caller received.
type response struct {
	status int
	header http.Header
	echo   standin.EchoResponse
	raw    string
}

func (c *cluster) request(method string, h *host, path, body string, headers ...string) (response, error) {
	req, err := http.NewRequest(method, "http://"+h.caller+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, err
	}
	a := response{status: resp.StatusCode, header: resp.Header, raw: string(raw)}
	if resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(raw, &a.echo)
	}
	return a, err
}

// awaitServed waits until the host's router responds with 200 for the path, and
// returns the owner of its key.
func (c *cluster) awaitServed(h *host, path string) string {
	c.t.Helper()
	owner := ""
	eventually(c.t, path+" served through "+h.name, func() bool {
		a, err := c.request(http.MethodGet, h, path, "")
		owner = a.header.Get("Burdock-Owner")
		return err == nil && a.status == http.StatusOK
	})
	return owner
}

// ledgers returns the ledgers of all reachable upstreams.
func (c *cluster) ledgers() []standin.Ledger {
	c.t.Helper()
	var all []standin.Ledger
	for _, h := range c.hosts {
		l, err := c.ledger(h)
		if err == nil {
			all = append(all, l)
		}
	}
	return all
}

func (c *cluster) ledger(h *host) (standin.Ledger, error) {
	resp, err := c.http.Get("http://" + h.upstreamControl + "/burdock/ledger")
	if err != nil {
		return standin.Ledger{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var l standin.Ledger
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// storeFaults sets the injected faults of the table service.
func (c *cluster) storeFaults(f standin.Faults) {
	c.t.Helper()
	c.put(c.tableURL+"/v1/faults", f)
}

// upstreamFaults sets the injected faults of a host's upstream.
func (c *cluster) upstreamFaults(h *host, f standin.UpstreamFaults) {
	c.t.Helper()
	c.put("http://"+h.upstreamControl+"/burdock/faults", f)
}

// getJSON decodes the response of a GET request into a value and reports whether
// that succeeded.
func (c *cluster) getJSON(url string, into any) bool {
	resp, err := c.http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into) == nil
}

func (c *cluster) put(url string, value any) {
	c.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusNoContent {
		c.t.Fatal(errors.New(url + ": " + resp.Status))
	}
}
