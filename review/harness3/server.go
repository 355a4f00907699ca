package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is the arrival of a request at a server.
type arrival struct {
	id, server string
	at         time.Time
	ran, ended bool
}

// ledger records the arrivals at all servers.
type ledger struct {
	mu  sync.Mutex
	all []*arrival
}

func (l *ledger) add(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// server is the stand-in of an application server.
type server struct {
	id   string
	m    *machine
	work time.Duration
	rec  *record
	led  *ledger
	born int64
	web  *http.Server

	mu       sync.Mutex
	sequence int64
	// stopBeats ends the heartbeats.
	stopBeats context.CancelFunc
}

// startServer starts a server on the machine.
func startServer(rec *record, led *ledger, m *machine, id string, work time.Duration) (*server, error) {
	s := &server{id: id, m: m, work: work, rec: rec, led: led, born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp4", m.app)
	if err != nil {
		return nil, err
	}
	s.web = &http.Server{Handler: s}
	go func() { _ = s.web.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeats = cancel
	go s.beat(ctx)
	return s, nil
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.RequestID)
	if id != "" {
		w.Header().Set(headers.RequestID, id)
	}
	if instance := r.Header.Get(headers.ExpectInstance); instance != "" && instance != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a := &arrival{id: id, server: s.id, at: time.Now(), ran: true}
	s.led.add(a)
	s.rec.printf("request %s reaches server %s, which runs it", id, s.id)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.printf("request %s is cut at server %s", id, s.id)
		return
	}
	w.Header().Set(headers.Signature, fmt.Sprintf(names.Signature, id))
	_, _ = io.WriteString(w, "done "+id)
	a.ended = true
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat(state string) (body string, sequence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(names.Heartbeat, s.m.app, s.m.service, s.m.zone, state, s.sequence, s.born), s.sequence
}

// beat sends heartbeats until ctx ends.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		body, n := s.heartbeat("ready")
		if err := s.post(names.HeartbeatPath, body); err != nil {
			s.rec.printf("heartbeat %d of %s: %v", n, s.id, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(870 * time.Millisecond):
		}
	}
}

// post sends a call to the control address of the machine. It returns nil if it was
// confirmed within a second.
func (s *server) post(path, body string) error {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+s.m.control+path+s.id, "application/json", strings.NewReader(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
