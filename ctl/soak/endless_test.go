package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockglade.dev/platform"
	"burdockglade.dev/platform/standin"
)

const (
	// hostMemory is the memory of the smallest host of the deployments, in bytes.
	hostMemory = 184 << 20
	// endlessCallers is the number of callers of each kind of endless answer on each host.
	endlessCallers = 6
	// endlessBytes bounds what a server writes into one connection.
	endlessBytes = 256 << 20
	// endlessRounds is the number of requests of each of these callers, one after another.
	endlessRounds = 2
	// routeTimeout is the timeout of the routes of the deployment.
	routeTimeout = 3 * time.Second
)

// endlessAnswer is an answer that has no end: head, in which %s stands for the fields that
// make it the answer to the request, and then piece again and again.
type endlessAnswer struct {
	head, piece string
}

// endlessAnswers are the kinds of endless answers by name.
var endlessAnswers = map[string]endlessAnswer{
	"no-answer":       {"", "x"},
	"header-field":    {"HTTP/1.1 200 OK\r\n%sA: ", "x"},
	"header-fields":   {"HTTP/1.1 200 OK\r\n%s", "A: x\r\n"},
	"interim-answers": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"with-length":     {"HTTP/1.1 200 OK\r\n%sContent-Length: 1000000000000\r\n\r\n", "x"},
	"without-length":  {"HTTP/1.1 200 OK\r\n%s\r\n", "x"},
	"chunks":          {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"large-chunk":     {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n7fffffffffff\r\n", "x"},
	"chunk-extension": {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"trailer-field":   {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
	"trailer-fields":  {"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
	"failure":         {"HTTP/1.1 500 Failed\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"refusal":         {"HTTP/1.1 421 Misdirected\r\n%sTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"many-answers":    {"", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	"large-head":      {"HTTP/1.1 200 OK\r\n%sContent-Length: 1000000000000\r\n" + strings.Repeat("A: "+strings.Repeat("x", 60)+"\r\n", 1500) + "\r\n", "x"},
}

// endlessPrefix begins the last part of the path of requests with endless answers.
const endlessPrefix = "endless-"

// withEndlessAnswers returns a handler that gives endless answers to the requests that ask for
// them, and lets the server answer the others.
func withEndlessAnswers(s *standin.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, kind, _ := strings.Cut(r.URL.Path, endlessPrefix)
		answer, ok := endlessAnswers[kind]
		if !ok {
			s.ServeHTTP(w, r)
			return
		}
		sound := httptest.NewRecorder()
		s.ServeHTTP(sound, r)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		writeEndless(conn, answer, sound.Header())
	})
}

// writeEndless writes the answer until the other side closes or endlessBytes are written.
func writeEndless(conn net.Conn, answer endlessAnswer, header http.Header) {
	var fields strings.Builder
	for name, values := range header {
		for _, v := range values {
			fmt.Fprintf(&fields, "%s: %s\r\n", name, v)
		}
	}
	_, err := io.WriteString(conn, strings.Replace(answer.head, "%s", fields.String(), 1))
	pieces := strings.Repeat(answer.piece, (16<<10)/len(answer.piece)+1)
	for n := 0; err == nil && n < endlessBytes; n += len(pieces) {
		_, err = io.WriteString(conn, pieces)
	}
}

// callEndless sends a request with an endless answer and reads what comes, slowly if slow is
// true, until the connection ends or the caller gives up some time behind the timeout of the
// route.
func callEndless(address, kind, id string, slow bool) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(routeTimeout + 2*time.Second)) // fails only if the connection is closed
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://soak/look/"+endlessPrefix+kind, nil)
	if err != nil {
		return
	}
	req.Host = "soak"
	req.Header.Set(platform.Headers().RequestID, id)
	if err := req.Write(conn); err != nil {
		return
	}
	if !slow {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for one := make([]byte, 1); err == nil; <-tick.C {
		_, err = conn.Read(one)
	}
}

// peakMemory returns the most memory that the process of the host has used, in bytes.
func (h *host) peakMemory() (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0, fmt.Errorf("the process of %s has ended", h.name)
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0, fmt.Errorf("the peak memory of %s is not told", h.name)
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	return kib << 10, err
}

// Guards against a process that runs out of memory, with the requests of all other callers,
// because a faulty upstream sends answers without an end, in heads and in bodies, to many
// callers at once; some of these read slowly, and half of them are on another host.
func TestEndlessAnswersDoNotUseUpTheMemory(t *testing.T) {
	d := newDeployment(t, deploymentOptions{
		hosts: 2, services: []string{plainService, keyedService}, slots: 64, wrapServer: withEndlessAnswers,
		workTime: time.Millisecond, publishFirst: (*deployment).publish,
	})
	d.awaitService("before the endless answers")
	var flood sync.WaitGroup
	for kind := range endlessAnswers {
		for _, h := range d.hosts {
			for i := range endlessCallers {
				flood.Go(func() {
					for round := range endlessRounds {
						callEndless(h.caller, kind, fmt.Sprintf("%s-%s-%d-%d", kind, h.name, i, round), i%2 == 0)
					}
				})
			}
		}
	}
	flood.Wait()
	d.awaitService("after the endless answers")
	for _, h := range d.hosts {
		peak, err := h.peakMemory()
		if err != nil {
			t.Error(err)
			continue
		}
		t.Logf("%s used %d MiB at most", h.name, peak>>20)
		if peak > hostMemory {
			t.Errorf("%s used %d MiB at most, a host has %d", h.name, peak>>20, hostMemory>>20)
		}
		if starts := h.processStarts(); starts != 1 {
			t.Errorf("the process of %s was started %d times", h.name, starts)
		}
	}
}
