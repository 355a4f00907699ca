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

var (
	evHopRefused = event.Define(1600, log.WarnLevel, "request on the hop port refused",
		"a process without the cluster's secret sent a request to the hop port",
		"check the secret file of the host at the address in the line; otherwise find out who connects")
	evHopBroken = event.Define(1601, log.WarnLevel, "broken response of another router",
		"another router answered a request with a head that HTTP/1.1 does not allow; nothing of the response was used, its connection was closed, and the outcome of the request is unknown",
		"find out which process listens at the address; the error quotes the line")
)

// HopServerOptions configure a HopServer.
type HopServerOptions struct {
	Self ownership.Host
	Gate Gate
	// CheckToken reports whether token is the cluster's hop token.
	CheckToken func(token string) bool
	// Services returns the definition of a service.
	Services func(name string) (note.Service, bool)
	// NewestRecord returns the newest record that covers a key hash.
	NewestRecord func(service string, h keyspace.Hash) (*ownership.Group, bool)
	// OnCallerRegion is the same as in Options.
	OnCallerRegion func(service string, h keyspace.Hash, region string)
	Log            *event.Logger
}

// HopServer is the HTTP handler for requests from other routers. It never forwards
// a request, so that a request takes at most one hop.
type HopServer struct {
	opts HopServerOptions
	// lastRequest is the arrival time of the latest request, in Unix nanoseconds;
	// 0 if there was none.
	lastRequest atomic.Int64
}

// NewHopServer returns a HopServer.
func NewHopServer(opts HopServerOptions) *HopServer {
	return &HopServer{opts: opts}
}

// LastRequest returns the arrival time of the latest request from another router,
// or the zero time if there was none.
func (s *HopServer) LastRequest() time.Time {
	if last := s.lastRequest.Load(); last != 0 {
		return time.Unix(0, last)
	}
	return time.Time{}
}

// ServeHTTP implements http.Handler.
func (s *HopServer) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	s.lastRequest.Store(time.Now().UnixNano())
	if !s.opts.CheckToken(in.Header.Get(headerHopToken)) {
		s.opts.Log.Log(evHopRefused, event.F("address", in.RemoteAddr))
		errkind.Write(w, errkind.New(errkind.Unauthorized, "this port accepts only requests from routers of the cluster"))
		return
	}
	if !strings.HasPrefix(in.URL.Path, hopPrefix+"/") {
		errkind.Write(w, errkind.New(errkind.NotFound, "path %q: want %s/service/key", in.URL.Path, hopPrefix))
		return
	}
	req, err := s.parseRequest(in)
	w.Header().Set(HeaderRequestID, req.ID)
	if err != nil {
		s.refuse(w, req, err)
		return
	}
	if region := in.Header.Get(headerHopRegion); region != "" && s.opts.OnCallerRegion != nil {
		s.opts.OnCallerRegion(req.Service, req.Hash, region)
	}
	ctx, cancel := context.WithDeadline(in.Context(), req.Deadline)
	defer cancel()
	out := in.Clone(ctx)
	out.Header = endToEndHeaders(in.Header)
	if req.IdempotencyKey != "" {
		out.Header.Set(HeaderIdempotencyKey, req.IdempotencyKey)
	}
	out.URL.Path = trimHopPrefix(in.URL.Path)
	out.URL.RawPath = trimHopPrefix(in.URL.RawPath)
	out.RequestURI = req.Path
	if err := s.opts.Gate.Serve(w, out, req); err != nil {
		s.refuse(w, req, err)
	}
}

// parseRequest returns the request for the gate. If it fails, the returned request
// has the fields that were parsed before the error.
func (s *HopServer) parseRequest(in *http.Request) (gate.Request, error) {
	h := in.Header
	req := gate.Request{
		ID:             h.Get(headerAttempt),
		Tenant:         h.Get(headerHopTenant),
		IdempotencyKey: h.Get(headerHopIdempotency),
		Path:           trimHopPrefix(in.URL.RequestURI()),
	}
	service, key, err := splitPath(trimHopPrefix(in.URL.EscapedPath()))
	if err != nil {
		return req, err
	}
	req.Service, req.Key = service, key
	req.Hash = keyspace.HashKey(service, key)
	if _, ok := s.opts.Services(service); !ok {
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
	req.Generation, err = strconv.ParseUint(h.Get(headerKnownGeneration), 10, 64)
	if err != nil {
		return req, errkind.New(errkind.BadRequest, "%s %q: want a number", headerKnownGeneration, h.Get(headerKnownGeneration))
	}
	return req, nil
}

// refuse responds with a refusal, which the entry decodes with readRefusal.
func (s *HopServer) refuse(w http.ResponseWriter, req gate.Request, err error) {
	kind := errkind.Of(err)
	f := refusal{Kind: kind, Detail: err.Error()}
	var e *errkind.Error
	if errors.As(err, &e) {
		f.Detail = e.Detail
		f.RetryAfter = e.RetryAfter
	}
	if record, ok := s.opts.NewestRecord(req.Service, req.Hash); ok {
		f.Record = record
	}
	response := errkind.ResponseOf(kind)
	w.Header().Set(HeaderRefusal, string(kind))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.Status)
	_ = json.NewEncoder(w).Encode(f)
}
