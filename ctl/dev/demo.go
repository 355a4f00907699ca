package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/metrics"
	"burdockglade.dev/router/node"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/settings"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// DemoCmd runs a whole system in one process on loopback addresses: stand-ins
// of the platform, upstreams of one service and their routers.
type DemoCmd struct {
	Hosts    int           `help:"Number of hosts, 1 to 9." default:"3"`
	BasePort int           `help:"First port; each host uses ten." default:"17000"`
	Service  string        `help:"Name of the service." default:"orders"`
	WorkTime time.Duration `help:"Time that a request takes at an upstream." default:"1ms"`
	Dir      string        `help:"Directory for settings, secret and token; a temporary one by default." default:""`
	Log      string        `help:"Minimum log level of the routers." enum:"debug,info,warn,error" default:"warn"`
	Out      io.Writer     `kong:"-"`
	Err      io.Writer     `kong:"-"`
}

// Limits of the demo.
const (
	maxDemoHosts     = 9
	portsPerHost     = 10
	demoStopTimeout  = time.Minute
	demoPollInterval = 50 * time.Millisecond
)

// Offsets of the ports of one host.
const (
	portCaller = iota
	portUpstreamListener
	portHop
	portControl
	portAdmin
	portMetrics
	portUpstream
	portUpstreamControl
)

const demoNote = `[note]
title = demo
base = 0
[add service %s]
kind = fenced
`

// demo is a running demo.
type demo struct {
	c         *DemoCmd
	out       io.Writer
	dir       string
	tableURL  string
	objectURL string
	running   sync.WaitGroup
	hosts     []demoHost
}

// demoHost is one router with its upstream.
type demoHost struct {
	upstream *standin.Upstream
	// stop stops the router; done is closed when it has stopped.
	stop context.CancelFunc
	done chan struct{}
}

// hasStopped reports whether the router has stopped, for example after a drain.
func (h demoHost) hasStopped() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// Run starts the system, prints how to use it and serves until ctx is done.
func (c *DemoCmd) Run(ctx context.Context) error {
	if c.Hosts < 1 || c.Hosts > maxDemoHosts {
		return fmt.Errorf("--hosts %d: want 1 to %d", c.Hosts, maxDemoHosts)
	}
	if !note.ValidService(c.Service) {
		return fmt.Errorf("--service %q: not a valid service name", c.Service)
	}
	d := &demo{c: c, out: outputOrStdout(c.Out), dir: c.Dir}
	if d.dir == "" {
		dir, err := os.MkdirTemp("", "burdock-demo")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
		d.dir = dir
	} else if err := os.MkdirAll(d.dir, 0o700); err != nil {
		return err
	}
	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer func() {
		end()
		d.running.Wait()
	}()
	err := d.start(ctx, background)
	if err == nil {
		<-ctx.Done()
	}
	return errors.Join(err, d.stop())
}

func (d *demo) address(host, offset int) string {
	return fmt.Sprintf("127.0.0.1:%d", d.c.BasePort+portsPerHost*host+offset)
}

// start starts the whole system and waits until it serves requests. The stand-ins of
// the platform run until background is done; stop stops the hosts one by one, so that
// each can move its keys to the others.
func (d *demo) start(ctx, background context.Context) error {
	if err := d.writeSecrets(); err != nil {
		return err
	}
	if err := d.startPlatform(background); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	for i := 1; i <= d.c.Hosts; i++ {
		if err := d.startHost(background, i); err != nil {
			return err
		}
	}
	if err := d.awaitServing(ctx); err != nil {
		return err
	}
	d.printUsage()
	return nil
}

func (d *demo) writeSecrets() error {
	for name, content := range map[string]string{"secret": "demo secret, not for production", "token": "demo-operator-token"} {
		if err := os.WriteFile(filepath.Join(d.dir, name), []byte(content), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startPlatform(background context.Context) error {
	tables := standin.NewTableServer(table.NewMemory())
	objects := standin.NewObjectServer(object.NewMemory())
	for offset, handler := range map[int]http.Handler{0: tables, 1: objects} {
		listener, err := net.Listen("tcp", d.address(0, offset))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		d.running.Go(func() { _ = server.Serve(listener) })
		context.AfterFunc(background, func() { _ = server.Close() })
	}
	context.AfterFunc(background, func() {
		tables.Close()
		objects.Close()
	})
	d.tableURL, d.objectURL = "http://"+d.address(0, 0), "http://"+d.address(0, 1)
	return nil
}

func (d *demo) publish(ctx context.Context) error {
	store, err := table.NewClient(table.ClientOptions{BaseURL: d.tableURL, Timeout: time.Second})
	if err != nil {
		return err
	}
	objects, err := object.NewClient(object.ClientOptions{BaseURL: d.objectURL, Timeout: time.Second})
	if err != nil {
		return err
	}
	publisher := note.NewPublisher(note.PublisherOptions{Table: store, Objects: objects})
	_, err = publisher.Publish(ctx, "demo-first-note", fmt.Appendf(nil, demoNote, d.c.Service))
	return err
}

// startHost starts the router and upstream of host i, counted from 1.
func (d *demo) startHost(background context.Context, i int) error {
	path, err := d.writeSettings(i)
	if err != nil {
		return err
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	logs := d.c.Err
	if logs == nil {
		logs = os.Stderr
	}
	scope := metrics.New()
	n, err := node.New(node.Options{Settings: s, Log: event.NewLogger(logs, log.ParseLevel(d.c.Log)), Metrics: scope})
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(background)
	h := demoHost{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(h.done)
		defer func() { _ = scope.Close() }()
		if err := n.Run(ctx); err != nil {
			_, _ = fmt.Fprintf(logs, "router of %s: %v\n", s.Host.Name, err)
		}
	}()
	h.upstream, err = standin.StartUpstream(standin.UpstreamOptions{
		Name: s.Host.Name, Service: d.c.Service, Kind: standin.KindFenced,
		Address: d.address(i, portUpstream), ControlAddress: d.address(i, portUpstreamControl),
		Router: "http://" + d.address(i, portUpstreamListener), CallRouter: "http://" + d.address(i, portCaller),
		Slots: 16, Connections: 120, WorkTime: d.c.WorkTime,
	})
	if err != nil {
		stop()
		return err
	}
	d.hosts = append(d.hosts, h)
	return nil
}

func (d *demo) writeSettings(i int) (string, error) {
	var seeds []string
	for other := 1; other <= d.c.Hosts; other++ {
		if other != i {
			seeds = append(seeds, d.address(other, portControl))
		}
	}
	seedLine := ""
	if len(seeds) > 0 {
		seedLine = "seeds = " + strings.Join(seeds, ", ") + "\n"
	}
	text := fmt.Sprintf("[host]\nname = host-%d\nzone = zone-%d\nregion = region-1\n", i, (i-1)%2+1) +
		fmt.Sprintf("[listen]\ncaller = %s\nupstream = %s\nhop = %s\ncontrol = %s\nadmin = %s\nmetrics = %s\n",
			d.address(i, portCaller), d.address(i, portUpstreamListener), d.address(i, portHop),
			d.address(i, portControl), d.address(i, portAdmin), d.address(i, portMetrics)) +
		"[peers]\nsecret_file = secret\n" + seedLine +
		fmt.Sprintf("[platform]\ntable_url = %s\nobject_url = %s\n", d.tableURL, d.objectURL) +
		"[admin]\ntoken_file = token\n[drain]\nstop_timeout = 2s\n"
	path := filepath.Join(d.dir, fmt.Sprintf("host-%d.ini", i))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// awaitServing waits until the first router responds with 200 to a request.
func (d *demo) awaitServing(ctx context.Context) error {
	ticker := time.NewTicker(demoPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return errors.New("stopped before the service was up")
		case <-ticker.C:
		}
		resp, err := http.Get("http://" + d.address(1, portCaller) + "/" + d.c.Service + "/hello")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
}

// printUsage prints example commands for the running demo.
func (d *demo) printUsage() {
	caller := d.address(1, portCaller)
	_, _ = fmt.Fprintf(d.out, "%d hosts serve the service %q; settings and token are in %s\n\n", d.c.Hosts, d.c.Service, d.dir)
	_, _ = fmt.Fprintf(d.out, "  curl -i http://%s/%s/some-key\n", caller, d.c.Service)
	_, _ = fmt.Fprintf(d.out, "  curl -i -X POST -H 'Idempotency-Key: order-1' -d 'two bands' http://%s/%s/some-key\n", caller, d.c.Service)
	_, _ = fmt.Fprintf(d.out, "  burdockctl --admin http://%s --token-file %s owners\n\n", d.address(1, portAdmin), filepath.Join(d.dir, "token"))
	_, _ = fmt.Fprintf(d.out, "The header Burdock-Owner of each response names the owner of the key. Ctrl-C ends the demo.\n")
}

// stop stops the hosts one after the other.
func (d *demo) stop() error {
	_, _ = fmt.Fprintln(d.out, "stopping")
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	var errs []error
	for _, h := range d.hosts {
		err := h.upstream.Stop(ctx, 0)
		// The upstream of a router that was drained earlier cannot withdraw from it.
		if !h.hasStopped() {
			errs = append(errs, err)
		}
		h.stop()
		<-h.done
	}
	return errors.Join(errs...)
}
