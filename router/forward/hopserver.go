package forward

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/gate"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/ownership"
)

var evHopRefused = event.Define(1600, log.WarnLevel, "request on the hop port refused",
	"a process without the cluster's secret sent a request to the hop port",
	"check the secret file of the host at the address in the line; otherwise find out who connects")

// HopServerOptions configure a HopServer.
type HopServerOptions struct {
	Self       ownership.Host
	Gate       Gate
	CheckToken func(token string) bool
	Services   func(name string) (note.Service, bool)
	// NewestRecord returns the newest record that claims a position.
	NewestRecord func(service string, h keyspace.Hash) (*ownership.Group, bool)
	// OnCallerRegion is that of Options.
	OnCallerRegion func(service string, h keyspace.Hash, region string)
	Log            *event.Logger
}

// HopServer answers requests from other routers. It never forwards: a request
// takes one hop at most.
type HopServer struct {
	o HopServerOptions
	// last is when the latest request came, in Unix nanoseconds.
	last atomic.Int64
}

// NewHopServer returns the handler.
func NewHopServer(o HopServerOptions) *HopServer {
	return &HopServer{o: o}
}

// LastRequest returns when the latest request of another router came, or the
// zero time.
func (s *HopServer) LastRequest() time.Time {
	if last := s.last.Load(); last != 0 {
		return time.Unix(0, last)
	}
	return time.Time{}
}

// ServeHTTP answers one router.
func (s *HopServer) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	s.last.Store(time.Now().UnixNano())
	if !s.o.CheckToken(in.Header.Get(headerAuthorization)) {
		s.o.Log.Log(evHopRefused, event.F("address", in.RemoteAddr))
		errkind.Write(w, errkind.New(errkind.Unauthorized, "this port takes requests from routers of the cluster"))
		return
	}
	if !strings.HasPrefix(in.URL.Path, hopPrefix+"/") {
		errkind.Write(w, errkind.New(errkind.NotFound, "path %q: want %s/service/key", in.URL.Path, hopPrefix))
		return
	}
	req, err := s.parse(in)
	w.Header().Set(HeaderRequestID, req.ID)
	if err != nil {
		s.refuse(w, req, err)
		return
	}
	if region := in.Header.Get(headerHopRegion); region != "" && s.o.OnCallerRegion != nil {
		s.o.OnCallerRegion(req.Service, req.Hash, region)
	}
	ctx, cancel := context.WithDeadline(in.Context(), req.Deadline)
	defer cancel()
	out := in.Clone(ctx)
	out.Header = endToEnd(in.Header)
	if req.IdempotencyKey != "" {
		out.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	out.URL.Path = rest(in.URL.Path)
	out.URL.RawPath = rest(in.URL.RawPath)
	out.RequestURI = req.Path
	if err := s.o.Gate.Serve(w, out, req); err != nil {
		s.refuse(w, req, err)
	}
}

func (s *HopServer) parse(in *http.Request) (gate.Request, error) {
	h := in.Header
	req := gate.Request{
		ID:             h.Get(headerAttempt),
		Tenant:         h.Get(headerHopTenant),
		IdempotencyKey: h.Get(headerHopIdempotency),
		Path:           rest(in.URL.RequestURI()),
	}
	service, key, err := splitPath(rest(in.URL.EscapedPath()))
	if err != nil {
		return req, err
	}
	req.Service, req.Key = service, key
	req.Hash = keyspace.HashKey(service, key)
	if _, ok := s.o.Services(service); !ok {
		return req, errkind.New(errkind.UnknownService, "service %q", service)
	}
	if req.ID == "" {
		return req, errkind.New(errkind.BadRequest, "%s is missing", headerAttempt)
	}
	ms, err := strconv.ParseInt(h.Get(headerDeadline), 10, 32)
	if err != nil || ms <= 0 {
		return req, errkind.New(errkind.BadRequest, "%s %q: want milliseconds above 0", headerDeadline, h.Get(headerDeadline))
	}
	req.Deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	req.Generation, err = strconv.ParseUint(h.Get(headerBeliefGen), 10, 64)
	if err != nil {
		return req, errkind.New(errkind.BadRequest, "%s %q: want a number", headerBeliefGen, h.Get(headerBeliefGen))
	}
	return req, nil
}

// refuse answers with a refusal that the entry router understands.
func (s *HopServer) refuse(w http.ResponseWriter, req gate.Request, err error) {
	kind := errkind.Of(err)
	f := refusal{Kind: kind, Detail: err.Error()}
	var e *errkind.Error
	if errors.As(err, &e) {
		f.Detail = e.Detail
		f.RetryAfter = e.RetryAfter
	}
	if record, ok := s.o.NewestRecord(req.Service, req.Hash); ok {
		f.Record = record
	}
	answer := errkind.ResponseOf(kind)
	w.Header().Set(headerRefusal, string(kind))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status)
	_ = json.NewEncoder(w).Encode(f)
}
