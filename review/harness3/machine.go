package main

import (
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
)

// machine is one machine with its router process.
type machine struct {
	name, zone, service string
	// The addresses of the machine.
	outbound, inbound, readiness, control, metrics, app string

	dir      string
	template string
	values   map[string]string
	rec      *record

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// disrupted is the time of the last signal, and startedAt that of the last start.
	disrupted, startedAt time.Time
	// starts counts the starts, ends the processes that ended without a signal.
	starts, ends int
	signalled    bool
}

// newMachine returns a machine on free loopback ports. values fill the template of the deploy
// file.
func newMachine(rec *record, dir, name, zone, service, store string, values map[string]string) (*machine, error) {
	template, err := os.ReadFile("platform/settings.ini.tmpl")
	if err != nil {
		return nil, err
	}
	ports, err := freeAddresses(6)
	if err != nil {
		return nil, err
	}
	m := &machine{
		name: name, zone: zone, service: service, rec: rec, dir: dir, template: string(template),
		outbound: ports[0], inbound: ports[1], readiness: ports[2], control: ports[3], metrics: ports[4], app: ports[5],
	}
	m.values = map[string]string{
		"Node": name, "Zone": zone, "Region": "pe", "Service": service,
		"Limits.LinkMbps": "1000.0", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
		"Listen.Outbound": m.outbound, "Listen.Inbound": m.inbound, "Listen.Readiness": m.readiness, "Listen.Control": m.control,
		"Ip": strings.Split(m.metrics, ":")[0], "PortRange.1": strings.Split(m.metrics, ":")[1],
		"AppAddr": m.app, "HeartbeatMs": "870", "Platform.Address": store,
		"Bounds.DrainMs": "2000", "Bounds.ConfigMs": "2000", "Bounds.GraceS": "6", "Bounds.HoldMaxMs": "10000",
		"Bounds.RetryBudgetRatio": "0.2", "Bounds.BudgetSlack": "60", "Bounds.BudgetWindowS": "10",
	}
	for k, v := range values {
		m.values[k] = v
	}
	return m, m.writeSettings()
}

// settingsPath is the path of the settings file.
func (m *machine) settingsPath() string { return filepath.Join(m.dir, m.name+".conf") }

// writeSettings fills in the template, as the platform does.
func (m *machine) writeSettings() error {
	text := m.template
	for k, v := range m.values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	for {
		before, rest, found := strings.Cut(text, "{{")
		if !found {
			break
		}
		_, after, _ := strings.Cut(rest, "}}")
		text = before + after // no value
	}
	return os.WriteFile(m.settingsPath(), []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/burdockglade", "sidecar")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", names.SettingsVariable + "=" + m.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited, m.signalled, m.startedAt = cmd, exited, false, time.Now()
	m.starts++
	m.rec.printf("router of %s starts", m.name)
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		if !m.signalled {
			m.ends++
		}
		m.mu.Unlock()
		m.rec.printf("router of %s has ended: %v", m.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rec.printf("%v to the router of %s", s, m.name)
	m.signalled, m.disrupted = true, time.Now()
	_ = m.process.Process.Signal(s)
}

// stop sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
func (m *machine) stop(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(grace):
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// kill ends the process if it runs.
func (m *machine) kill() {
	m.mu.Lock()
	running := m.process != nil
	m.mu.Unlock()
	if running {
		select {
		case <-m.exited:
		default:
			m.signal(syscall.SIGKILL)
			<-m.exited
		}
	}
}

// ready reports whether the readiness check gets a 200.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.readiness + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func awaitReady(limit time.Duration, machines ...*machine) error {
	deadline := time.Now().Add(limit)
	for _, m := range machines {
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready in time", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// nextPort is the last port that freeAddresses tried. It stays below the ephemeral ports.
var nextPort = 20000 + os.Getpid()%50*200

// freeAddresses returns n loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		nextPort++
		if nextPort > 32000 {
			return nil, errors.New("no free port below 32000")
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
