package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the site file.
const (
	heartbeatInterval = 870 * time.Millisecond
	drainTime         = 2 * time.Second
	graceTime         = 6 * time.Second
	holdMax           = 10 * time.Second
)

// deployment is a small deployment on the loopback interface.
type deployment struct {
	trouble bool
	dir     string
	command []string
	form    string // the template of the settings
	store   *store
	nodes   []*node
	started time.Time

	mu     sync.Mutex
	out    *os.File
	closed bool
}

// newDeployment starts the store. The working directory must be the root of the project.
func newDeployment(record string, trouble bool) (*deployment, error) {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	command, form := tomlText(string(deploy), "run"), tomlText(string(deploy), "template")
	if other := os.Getenv("ROUTER"); other != "" { // another build of the same program, for trials
		command = other + " " + strings.Join(strings.Fields(command)[1:], " ")
	}
	template, err := os.ReadFile(form)
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, command: strings.Fields(command), form: string(template), started: time.Now()}
	if d.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if d.out, err = os.Create(record); err != nil {
		return nil, err
	}
	d.store = newStore()
	address, err := serve(d.store)
	if err != nil {
		return nil, err
	}
	d.store.address = address
	d.record("disruption: %v", trouble)
	return d, nil
}

func tomlText(text, key string) string {
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

// record writes a line to the record of the run.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		_, _ = fmt.Fprintf(d.out, "%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes and servers.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.closed = true
		_ = d.out.Close()
		_ = os.RemoveAll(d.dir)
	}
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// nextPort is below the ephemeral ports, so that no connection takes the port of a process
// that is about to start.
var nextPort = 10000 + os.Getpid()%220*100

func freePort() (string, error) {
	for range 2000 {
		nextPort++
		if nextPort >= 32000 {
			nextPort = 10000
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			_ = l.Close()
			return fmt.Sprint(nextPort), nil
		}
	}
	return "", errors.New("no free port")
}

// node is a machine: a router process and the server beside it.
type node struct {
	d                               *deployment
	name, zone, service             string
	outbound, inbound, ready, ctrl  string
	appAddress, settings, advertise string
	server                          *server
	// descriptors is the number of descriptors of the router process, 0 for no limit.
	descriptors int
	// clockAhead is how far the time of day of the machine is ahead.
	clockAhead time.Duration

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// addNode prepares a machine whose server is of the service.
func (d *deployment) addNode(name, zone, service string) (*node, error) {
	n := &node{d: d, name: name, zone: zone, service: service}
	ports := make([]string, 6)
	for i := range ports {
		p, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	at := func(i int) string { return "127.0.0.1:" + ports[i] }
	n.outbound, n.inbound, n.ready, n.ctrl, n.appAddress = at(0), at(1), at(2), at(3), at(4)
	values := map[string]string{
		"Node": name, "Zone": zone, "Region": "pe", "Service": service, "Ip": "127.0.0.1", "Limits.LinkMbps": "1000.0",
		"Listen.Outbound": n.outbound, "Listen.Inbound": n.inbound, "Listen.Readiness": n.ready, "Listen.Control": n.ctrl,
		"PortRange.1": ports[5], "AppAddr": n.appAddress, "HeartbeatMs": fmt.Sprint(heartbeatInterval.Milliseconds()),
		"Platform.Address": d.store.address, "Bounds.DrainMs": fmt.Sprint(drainTime.Milliseconds()),
		"Bounds.GraceS": fmt.Sprint(int(graceTime.Seconds())), "Bounds.HoldMaxMs": fmt.Sprint(holdMax.Milliseconds()),
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "60", "Bounds.BudgetWindowS": "10",
	}
	text := regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(d.form, func(m string) string { return values[m[2:len(m)-2]] })
	n.settings = filepath.Join(d.dir, name+".conf")
	d.nodes = append(d.nodes, n)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// start starts the router.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := exec.Command(n.d.command[0], n.d.command[1:]...)
	if n.descriptors > 0 {
		limited := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, n.descriptors), "sh"}
		c = exec.Command("/bin/sh", append(limited, n.d.command...)...)
	}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BURDOCKGLADE_NODE_FILE=" + n.settings}
	if dir := os.Getenv("LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		c.Stdout, c.Stderr = f, f
	}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = c, exited
	go func() {
		_ = c.Wait()
		n.d.record("router %s ended: %v", n.name, c.ProcessState)
		close(exited)
	}()
	n.d.record("router %s started", n.name)
	return nil
}

// signal sends a signal to the router.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.d.record("signal %v to router %s", s, n.name)
		_ = n.process.Process.Signal(s)
	}
}

// ended is closed when the router process has ended.
func (n *node) ended() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exited
}

// kill ends the router at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	c, exited := n.process, n.exited
	n.process = nil
	n.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-exited
	}
}

// restart stops the router as the platform does, with SIGTERM and SIGKILL after the grace
// time, and starts it again.
func (n *node) restart() error {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended():
	case <-time.After(graceTime):
		n.signal(syscall.SIGKILL)
		<-n.ended()
	}
	time.Sleep(200 * time.Millisecond)
	return n.start()
}

// waitReady waits until the router says that it is ready.
func (n *node) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.ready + "/-/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("router %s did not get ready", n.name)
}
