package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/event"
	"burdockglade.dev/router/note"
)

// Limits of the API.
const (
	maxNoteBytes = 1 << 20  // body of a release note
	maxJSONBytes = 64 << 10 // JSON body
	// callTimeout is the timeout of a request after it has arrived. It is longer
	// than note.DefaultPublishTimeout, so that a publication can resolve its
	// outcome.
	callTimeout = 30 * time.Second
	// transferTimeout is the timeout for receiving a request, and the time for
	// sending a response after callTimeout.
	transferTimeout = 10 * time.Second
)

// Options configures the API.
type Options struct {
	Backend Backend
	// Token is the bearer token that operators send. Required.
	Token string
	// Log receives events. If nil, events are discarded.
	Log *event.Logger
	// MaxHeaderBytes, ReadHeaderTimeout and IdleTimeout are the limits of the
	// listener. Defaults 32 KiB, 5s and 1m.
	MaxHeaderBytes    int
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
}

const (
	defaultMaxHeaderBytes    = 32 << 10
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = time.Minute
)

// NewServer returns a server for the API without a listener.
func NewServer(o Options) (*http.Server, error) {
	handler, err := NewHandler(o)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    o.MaxHeaderBytes,
		ReadHeaderTimeout: o.ReadHeaderTimeout,
		ReadTimeout:       transferTimeout,
		WriteTimeout:      callTimeout + transferTimeout,
		IdleTimeout:       o.IdleTimeout,
	}
	if server.MaxHeaderBytes <= 0 {
		server.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = defaultReadHeaderTimeout
	}
	if server.IdleTimeout <= 0 {
		server.IdleTimeout = defaultIdleTimeout
	}
	return server, nil
}

// handler serves the requests of the API.
type handler struct {
	backend Backend
	// token is the hash of the token, so that the time of the comparison does
	// not depend on the length of the token received.
	token [sha256.Size]byte
	log   *event.Logger
	mux   *http.ServeMux
}

// NewHandler returns the handler of the API. It returns an error if the token is
// empty or the backend is missing.
func NewHandler(o Options) (http.Handler, error) {
	if o.Token == "" {
		return nil, errors.New("administration API: no token")
	}
	if o.Backend == nil {
		return nil, errors.New("administration API: no backend")
	}
	h := &handler{
		backend: o.Backend,
		token:   sha256.Sum256([]byte(o.Token)),
		log:     o.Log,
		mux:     http.NewServeMux(),
	}
	for pattern, run := range h.routes() {
		h.mux.Handle(pattern, h.endpoint(run))
	}
	h.mux.Handle("/", h.endpoint(func(r *http.Request) (any, error) {
		return nil, errkind.New(errkind.NotFound, "%s %s is not a request of this API", r.Method, r.URL.Path)
	}))
	return h, nil
}

// endpointFunc processes one request. Its result is sent as JSON.
type endpointFunc func(r *http.Request) (any, error)

// routes returns the endpoints of the API by pattern.
func (h *handler) routes() map[string]endpointFunc {
	return map[string]endpointFunc{
		"GET /v1/note":                               h.note,
		"GET /v1/note/versions/{version}":            h.noteVersion,
		"POST /v1/note/diff":                         h.noteDiff,
		"POST /v1/note":                              h.notePublish,
		"GET /v1/note/status":                        h.noteStatus,
		"GET /v1/owners":                             h.owners,
		"GET /v1/members":                            h.members,
		"POST /v1/moves":                             h.move,
		"POST /v1/hosts/{host}/drain":                h.drain,
		"POST /v1/groups/{service}/{group}/takeover": h.takeOver,
	}
}

// ServeHTTP checks the token first, so that responses to unauthenticated requests
// reveal nothing about the routes.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	if !h.authorized(r) {
		h.log.Log(evUnauthorized, event.F("remote", r.RemoteAddr), event.F("path", r.URL.Path))
		w.Header().Set("WWW-Authenticate", "Bearer")
		errkind.Write(w, errkind.New(errkind.Unauthorized, "send the header Authorization: Bearer TOKEN"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

func (h *handler) authorized(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	sum := sha256.Sum256([]byte(token))
	same := subtle.ConstantTimeCompare(sum[:], h.token[:]) == 1
	return ok && same && strings.EqualFold(scheme, "Bearer")
}

// endpoint returns a handler that runs the function with a timeout and writes its
// result or error as the response.
func (h *handler) endpoint(run endpointFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxNoteBytes)
		result, err := h.runRecovered(run, r.WithContext(ctx))
		h.logRequest(r, err)
		if err != nil {
			errkind.Write(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(result)
	})
}

// runRecovered calls run. It converts a panic to an error, so that the operator
// gets a response.
func (h *handler) runRecovered(run endpointFunc, r *http.Request) (result any, err error) {
	defer func() {
		if v := recover(); v != nil {
			h.log.Log(evPanic, event.F("path", r.URL.Path), event.F("panic", fmt.Sprint(v)), event.F("stack", string(debug.Stack())))
			err = errkind.New(errkind.Internal, "the request ended with a panic; see event %d in the log", evPanic.Number)
		}
	}()
	return run(r)
}

// logRequest logs server errors and requests that can change state.
func (h *handler) logRequest(r *http.Request, err error) {
	fields := []event.Field{event.F("method", r.Method), event.F("path", r.URL.Path), event.F("remote", r.RemoteAddr)}
	if err != nil {
		fields = append(fields, event.F("error", err.Error()))
	}
	if err != nil && errkind.ResponseOf(errkind.Of(err)).Status >= http.StatusInternalServerError {
		h.log.Log(evFailed, fields...)
		return
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		h.log.Log(evChange, fields...)
	}
}

func (h *handler) note(r *http.Request) (any, error) {
	return h.backend.Note(r.Context())
}

func (h *handler) noteVersion(r *http.Request) (any, error) {
	text := r.PathValue("version")
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 1 {
		return nil, errkind.New(errkind.BadRequest, "version %q: want a whole number from 1", text)
	}
	return h.backend.NoteVersion(r.Context(), version)
}

func (h *handler) noteDiff(r *http.Request) (any, error) {
	text, err := readBody(r, maxNoteBytes)
	if err != nil {
		return nil, err
	}
	return h.backend.DiffNote(r.Context(), text)
}

// HeaderPublishID is the request header with the publish id of a note.
const HeaderPublishID = "Idempotency-Key"

func (h *handler) notePublish(r *http.Request) (any, error) {
	id := r.Header.Get(HeaderPublishID)
	if !note.ValidPublishID(id) {
		return nil, errkind.New(errkind.BadRequest, "header %s %q: want a publish id of 8 to 64 letters, digits and hyphens", HeaderPublishID, id)
	}
	text, err := readBody(r, maxNoteBytes)
	if err != nil {
		return nil, err
	}
	return h.backend.PublishNote(r.Context(), id, text)
}

func (h *handler) noteStatus(r *http.Request) (any, error) {
	return h.backend.NoteStatus(r.Context())
}

func (h *handler) owners(r *http.Request) (any, error) {
	service := r.URL.Query().Get("service")
	if service != "" && !note.ValidService(service) {
		return nil, errkind.New(errkind.BadRequest, "service %q is not a service name", service)
	}
	return h.backend.Owners(r.Context(), service)
}

func (h *handler) members(r *http.Request) (any, error) {
	return h.backend.Members(r.Context())
}

func (h *handler) move(r *http.Request) (any, error) {
	var m MoveRequest
	if err := readJSON(r, &m); err != nil {
		return nil, err
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return h.backend.Move(r.Context(), m)
}

// check returns an error if the request is incomplete or ambiguous.
func (m MoveRequest) check() error {
	switch {
	case !note.ValidService(m.Service):
		return errkind.New(errkind.BadRequest, "service %q: want the name of a service", m.Service)
	case (m.Shard == nil) == (m.Key == ""):
		return errkind.New(errkind.BadRequest, "want exactly one of shard and key")
	case m.Target == "":
		return errkind.New(errkind.BadRequest, "target: want the name of a host")
	}
	return nil
}

func (h *handler) drain(r *http.Request) (any, error) {
	return h.backend.Drain(r.Context(), r.PathValue("host"))
}

func (h *handler) takeOver(r *http.Request) (any, error) {
	service := r.PathValue("service")
	if !note.ValidService(service) {
		return nil, errkind.New(errkind.BadRequest, "service %q: want the name of a service", service)
	}
	var body takeoverRequest
	if err := readJSON(r, &body); err != nil {
		return nil, err
	}
	if !body.DeclareLost {
		return nil, errkind.New(errkind.BadRequest, "declare_lost: want true, which declares that holder and standby are switched off; a holder that is still running would serve the same keys")
	}
	return h.backend.TakeOver(r.Context(), service, r.PathValue("group"))
}

// readBody reads a body of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || int64(len(body)) > limit {
		return nil, errkind.New(errkind.TooLarge, "the body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, errkind.New(errkind.BadRequest, "reading the body: %w", err)
	}
	return body, nil
}

// readJSON decodes a JSON body. It rejects unknown fields, so that a misspelt field
// is not treated as absent.
func readJSON(r *http.Request, target any) error {
	body, err := readBody(r, maxJSONBytes)
	if err != nil {
		return err
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not the expected JSON: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.BadRequest, "the body has data after the JSON value")
	}
	return nil
}
