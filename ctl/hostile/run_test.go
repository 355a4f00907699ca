package hostile

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/object"
	storestandin "burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/table"
)

// runSize is the settings of a process of `burdockglade run` and its bounds. With them it has
// room for 800 connections and a budget of a fifth of the memory.
var runSize = size{memoryMB: 128, maxFiles: 1000, peakMB: 128}

// runSettings has the limits of the tests; only the services named first and second exist.
const runSettings = `[host]
name = run
zone = z
region = r
memory_mb = %d
max_fds = %d
[listen]
caller = %s
upstream = %s
hop = %s
control = %s
admin = %s
metrics = %s
[peers]
secret_file = secret
[platform]
table_url = http://%s
object_url = http://%s
[admin]
token_file = token
[limits]
max_header_bytes = 16384
max_body_bytes = 1048576
read_header_timeout = 3s
idle_timeout = 5s
`

const runNote = `[note]
title = hostile
base = 0
[add service first]
kind = fenced
[add service second]
kind = fenced
`

// startRun starts a process of `burdockglade run` with an upstream of the service first, and
// waits until it answers.
func startRun(t *testing.T, of size) *host {
	t.Helper()
	tables, objects := table.NewMemory(), object.NewMemory()
	_, err := note.NewPublisher(note.PublisherOptions{Table: tables, Objects: objects}).Publish(context.Background(), "hostile-note", []byte(runNote))
	must(t, err)
	tableServer, objectServer := storestandin.NewTableServer(tables), storestandin.NewObjectServer(objects)
	t.Cleanup(tableServer.Close)
	t.Cleanup(objectServer.Close)
	dir := t.TempDir()
	must(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("a shared secret for the tests only"), 0o600))
	must(t, os.WriteFile(filepath.Join(dir, "token"), []byte("operator-token-for-tests"), 0o600))
	h := &host{size: of, caller: freePort(t), control: freePort(t), hop: freePort(t), upstream: freePort(t), admin: freePort(t), metrics: freePort(t), exited: make(chan struct{})}
	settings := filepath.Join(dir, "settings.ini")
	must(t, os.WriteFile(settings, fmt.Appendf(nil, runSettings, of.memoryMB, of.maxFiles, h.caller, h.upstream, h.hop, h.control, h.admin, h.metrics,
		serve(t, tableServer), serve(t, objectServer)), 0o600))
	h.start(t, "run", "run", "--settings", settings)
	upstream, err := storestandin.StartUpstream(storestandin.UpstreamOptions{Service: services[0], Router: "http://" + h.upstream, WorkTime: 20 * time.Millisecond})
	must(t, err)
	t.Cleanup(upstream.Close)
	h.awaitRun(t, startTime)
	return h
}

// awaitRun waits until an ordinary request is answered.
func (h *host) awaitRun(t *testing.T, within time.Duration) {
	t.Helper()
	deadline := time.Now().Add(within)
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		status, err := h.sendToRun("")
		if status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("an ordinary request has no answer: status %d, error %v", status, err)
		}
		select {
		case <-h.exited:
			t.Fatal("the process has ended")
		case <-tick.C:
		}
	}
}

// sendToRun sends a request with an additional header value on a connection of its own.
func (h *host) sendToRun(value string) (status int, err error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	req, err := http.NewRequest(http.MethodGet, "http://"+h.caller+"/"+services[0]+"/x", nil)
	if err != nil {
		return 0, err
	}
	if value != "" {
		req.Header.Set("Long", value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// runConnections is the number of hostile clients at the caller listener, each with one
// connection at a time.
const runConnections = 1000

// controlPayloads are for the control listener: messages whose announced length is the largest
// one and that never end, and one that is small until it is decompressed.
func controlPayloads(t *testing.T) []payload {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	must(t, err)
	_, err = w.Write(bytes.Repeat([]byte(" "), 16<<20))
	must(t, err)
	must(t, w.Close())
	return []payload{
		{}, {open: "\x01\x00\x00\x00", repeat: " ", repeatBytes: 1 << 20}, {open: "\x00\x00\xff\xff", repeat: " ", repeatBytes: 60 << 10},
		{open: string([]byte{0x80, byte(compressed.Len() >> 16), byte(compressed.Len() >> 8), byte(compressed.Len())}) + compressed.String()},
	}
}

// Guards against hostile clients of `burdockglade run` that make it run out of memory or
// descriptors: by heads of many lines, heads without end, bodies that do not arrive and
// connections that are opened and left. Each crowd meets a process of its own.
func TestHostileClientsOfRun(t *testing.T) {
	all := kinds(t)
	mix := all["mix"].http
	crowds := map[string]func(h *host) []group{
		"mix":             func(h *host) []group { return []group{{h.caller, mix, runConnections}} },
		"slow-head":       func(h *host) []group { return []group{{h.caller, all["slow-head"].http, runConnections}} },
		"opened-and-left": func(h *host) []group { return []group{{h.caller, []payload{{}}, runConnections}} },
		"all-listeners": func(h *host) []group {
			return []group{
				{h.caller, mix, runConnections * 3 / 10}, {h.hop, mix, runConnections * 2 / 10}, {h.control, controlPayloads(t), runConnections * 2 / 10},
				{h.upstream, mix, runConnections / 10}, {h.admin, mix, runConnections / 10}, {h.metrics, mix, runConnections / 10},
			}
		},
	}
	for name, groups := range crowds {
		t.Run(name, func(t *testing.T) {
			h := startRun(t, runSize)
			attackFirst([]*host{h}, groups(h))
			h.check(t, "run")
			h.awaitRun(t, recoveryTime)
		})
	}
}

// Guards against budgets that refuse a request within the limits while there is no load.
func TestLongHeadIsServedByRun(t *testing.T) {
	h := startRun(t, runSize)
	status, err := h.sendToRun(strings.Repeat("x", 15<<10))
	if err != nil || status != http.StatusOK {
		t.Errorf("a head of 15 KiB: status %d, error %v", status, err)
	}
}
