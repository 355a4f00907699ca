package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/router/responsehead"
)

const token = "0123456789abcdef0123"

// fakeBackend returns fixed values and records the calls.
type fakeBackend struct {
	calls  []string
	err    error
	panics bool
}

func (b *fakeBackend) record(format string, args ...any) error {
	b.calls = append(b.calls, fmt.Sprintf(format, args...))
	if b.panics {
		panic("fault")
	}
	return b.err
}

var (
	sampleConfig = note.Config{Version: 3, PublishID: "publish-3", Services: map[string]note.Service{"a": note.DefaultService("a")}}
	sampleShard  = keyspace.Shard{First: 16, Last: 31}
	sampleDiff   = NoteDiff{Base: 3, Difference: note.Difference{Withdrawn: []string{"a"}}}
	sampleStatus = NoteStatus{Version: 3, PublishID: "publish-3", Hosts: []HostVersion{{Host: "h1", Version: 2, Lags: true, LastSeenMillis: 40}}}
	sampleOwners = Owners{Groups: []Group{{Service: "a", ID: "g", Holder: "h1", Generation: 7, Shards: []keyspace.Shard{sampleShard}}}}
	sampleHosts  = Members{Members: []Member{{Host: "h1", Zone: "z", Incarnation: 1<<63 + 1}}}
	sampleMoved  = MoveResult{Service: "a", Shard: sampleShard, Source: "h1", Target: "h2", TargetGroup: "g2"}
)

func (b *fakeBackend) Note(context.Context) (note.Config, error) {
	return sampleConfig, b.record("Note")
}

func (b *fakeBackend) NoteVersion(_ context.Context, v int64) (NoteVersion, error) {
	return NoteVersion{Version: v, PublishID: "p", Text: "[note]\n"}, b.record("NoteVersion %d", v)
}

func (b *fakeBackend) DiffNote(_ context.Context, text []byte) (NoteDiff, error) {
	return sampleDiff, b.record("DiffNote %s", text)
}

func (b *fakeBackend) PublishNote(_ context.Context, id string, text []byte) (note.Result, error) {
	return note.Result{Version: 4, PublishID: id}, b.record("PublishNote %s %s", id, text)
}

func (b *fakeBackend) NoteStatus(context.Context) (NoteStatus, error) {
	return sampleStatus, b.record("NoteStatus")
}

func (b *fakeBackend) Owners(_ context.Context, service string) (Owners, error) {
	return sampleOwners, b.record("Owners %s", service)
}

func (b *fakeBackend) Members(context.Context) (Members, error) {
	return sampleHosts, b.record("Members")
}

func (b *fakeBackend) Move(_ context.Context, r MoveRequest) (MoveResult, error) {
	return sampleMoved, b.record("Move %s %v %s %s", r.Service, r.Shard, r.Key, r.Target)
}

func (b *fakeBackend) Drain(_ context.Context, host string) (DrainResult, error) {
	return DrainResult{Host: host, ShardsLeft: 5}, b.record("Drain %s", host)
}

func (b *fakeBackend) TakeOver(_ context.Context, service, group string) (TakeoverResult, error) {
	return TakeoverResult{Service: service, Group: group, Holder: "h2", Generation: 8}, b.record("TakeOver %s %s", service, group)
}

func newAPI(t *testing.T) (*fakeBackend, http.Handler) {
	t.Helper()
	b := &fakeBackend{}
	h, err := NewHandler(Options{Backend: b, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	return b, h
}

// serve sends one request. headers are alternating names and values.
func serve(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a route that does not check the token.
func TestEveryRouteRefusesBadTokens(t *testing.T) {
	b, h := newAPI(t)
	paths := []string{"GET /", "GET /v1/other", "POST /v1/members"}
	for pattern := range h.(*handler).routes() {
		paths = append(paths, strings.NewReplacer("{version}", "1", "{host}", "h", "{service}", "a", "{group}", "g").Replace(pattern))
	}
	for _, path := range paths {
		method, url, _ := strings.Cut(path, " ")
		for _, header := range []string{"", "Bearer", "Bearer ", "Bearer " + token + "x", "Bearer " + token[1:], "Basic " + token, token, "Bearer  " + token} {
			w := serve(h, method, url, `{"declare_lost":true}`, "Authorization", header, HeaderPublishID, "publish-1")
			if w.Code != http.StatusUnauthorized || w.Header().Get(errkind.HeaderError) != string(errkind.Unauthorized) {
				t.Errorf("%s with %q: status %d", path, header, w.Code)
			}
		}
	}
	if len(b.calls) > 0 {
		t.Errorf("calls without a token: %v", b.calls)
	}
}

// Guards against an empty token, which an empty header would match.
func TestEmptyTokenIsRefused(t *testing.T) {
	if _, err := NewServer(Options{Backend: &fakeBackend{}}); err == nil {
		t.Error("accepted")
	}
}

// Guards against malformed requests that reach the backend.
func TestMalformedRequestsAreRefused(t *testing.T) {
	const large = 65 << 10
	cases := []struct {
		request string
		body    string
		kind    errkind.Kind
	}{
		{"GET /v1/note/versions/x", "", errkind.BadRequest},
		{"GET /v1/note/versions/0", "", errkind.BadRequest},
		{"POST /v1/note", "[note]", errkind.BadRequest}, // no publish id
		{"POST /v1/note/diff", strings.Repeat("#", maxNoteBytes+1), errkind.TooLarge},
		{"GET /v1/owners?service=a/b", "", errkind.BadRequest},
		{"POST /v1/moves", "", errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","key":"k"}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h"}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h","key":"k","shard":"0000000000000000-ffffffffffffffff"}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h","shard":"2-1"}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h","key":"k","force":true}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h","key":"k"}{}`, errkind.BadRequest},
		{"POST /v1/moves", `{"service":"a","target":"h","key":"` + strings.Repeat("k", large) + `"}`, errkind.TooLarge},
		{"POST /v1/groups/a/g/takeover", `{}`, errkind.BadRequest},
		{"POST /v1/groups/a/g/takeover", `{"declare_lost":false}`, errkind.BadRequest},
		{"POST /v1/groups/A/g/takeover", `{"declare_lost":true}`, errkind.BadRequest},
		{"DELETE /v1/note", "", errkind.NotFound},
		{"GET /v1/other", "", errkind.NotFound},
	}
	for _, c := range cases {
		b, h := newAPI(t)
		method, path, _ := strings.Cut(c.request, " ")
		w := serve(h, method, path, c.body, "Authorization", "Bearer "+token)
		if got := w.Header().Get(errkind.HeaderError); got != string(c.kind) || w.Code != errkind.ResponseOf(c.kind).Status {
			t.Errorf("%s: status %d, kind %q, want %s", c.request, w.Code, got, c.kind)
		}
		if len(b.calls) > 0 {
			t.Errorf("%s: called %v", c.request, b.calls)
		}
	}
}

// Guards against a route that docs/ADMIN.md does not describe.
func TestAdminPageListsEveryRoute(t *testing.T) {
	page, err := os.ReadFile("../../docs/ADMIN.md")
	if err != nil {
		t.Fatal(err)
	}
	_, h := newAPI(t)
	for pattern := range h.(*handler).routes() {
		if !strings.Contains(string(page), "\n## "+pattern+"\n") {
			t.Errorf("the page lacks %s", pattern)
		}
	}
}

// newClient serves the backend on loopback and returns a client for it.
func newClient(t *testing.T, b Backend) *Client {
	t.Helper()
	server, err := NewServer(Options{Backend: b, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewUnstartedServer(nil)
	s.Config = server
	s.Start()
	t.Cleanup(s.Close)
	return clientOf(t, s.URL)
}

func clientOf(t *testing.T, url string) *Client {
	t.Helper()
	c, err := NewClient(ClientOptions{BaseURL: url, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against differences between client and server in paths, fields and
// headers.
func TestClientAgreesWithEveryRoute(t *testing.T) {
	b := &fakeBackend{}
	c := newClient(t, b)
	ctx := t.Context()
	check := func(got any, err error, want any) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("(-want +got):\n%s", diff)
		}
	}
	config, err := c.Note(ctx)
	check(config, err, sampleConfig)
	version, err := c.NoteVersion(ctx, 2)
	check(version, err, NoteVersion{Version: 2, PublishID: "p", Text: "[note]\n"})
	diff, err := c.DiffNote(ctx, []byte("[note]"))
	check(diff, err, sampleDiff)
	result, err := c.PublishNote(ctx, "publish-4", []byte("[note]"))
	check(result, err, note.Result{Version: 4, PublishID: "publish-4"})
	status, err := c.NoteStatus(ctx)
	check(status, err, sampleStatus)
	owners, err := c.Owners(ctx, "a")
	check(owners, err, sampleOwners)
	members, err := c.Members(ctx)
	check(members, err, sampleHosts)
	moved, err := c.Move(ctx, MoveRequest{Service: "a", Shard: &sampleShard, Target: "h2"})
	check(moved, err, sampleMoved)
	_, err = c.Move(ctx, MoveRequest{Service: "a", Key: "k", Target: "h2"})
	check(nil, err, nil)
	drained, err := c.Drain(ctx, "h/1")
	check(drained, err, DrainResult{Host: "h/1", ShardsLeft: 5})
	taken, err := c.TakeOver(ctx, "a", "g 1")
	check(taken, err, TakeoverResult{Service: "a", Group: "g 1", Holder: "h2", Generation: 8})
	want := []string{
		"Note", "NoteVersion 2", "DiffNote [note]", "PublishNote publish-4 [note]", "NoteStatus", "Owners a", "Members",
		"Move a " + sampleShard.String() + "  h2", "Move a <nil> k h2", "Drain h/1", "TakeOver a g 1",
	}
	check(b.calls, nil, want)
}

// Guards against errors that lose their kind between server and client.
func TestErrorsKeepTheirKind(t *testing.T) {
	for _, kind := range []errkind.Kind{errkind.NoteConflict, errkind.OutcomeUnknown, errkind.StoreUnavailable, errkind.NotReady} {
		c := newClient(t, &fakeBackend{err: errkind.New(kind, "detail of %s", kind)})
		_, err := c.PublishNote(t.Context(), "publish-1", []byte("x"))
		if !errkind.Is(err, kind) || !strings.Contains(err.Error(), "detail of") {
			t.Errorf("%s: got %v", kind, err)
		}
	}
}

// Guards against a panic in a request that stops the router or leaves the operator
// without a response.
func TestPanicReturnsAnInternalError(t *testing.T) {
	c := newClient(t, &fakeBackend{panics: true})
	_, err := c.Members(t.Context())
	if !errkind.Is(err, errkind.Internal) {
		t.Errorf("got %v", err)
	}
}

// Guards against an error that says a change had no effect when its response was
// lost.
func TestLostResponseIsOutcomeUnknown(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := clientOf(t, "http://"+listener.Addr().String())
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadAtLeast(conn, make([]byte, 4096), 1)
			_ = conn.Close()
		}
	}()
	_, err = c.PublishNote(t.Context(), "publish-1", []byte("x"))
	if !errkind.Is(err, errkind.OutcomeUnknown) {
		t.Errorf("publish: got %v", err)
	}
	_, err = c.Members(t.Context())
	if !errkind.Is(err, errkind.PeerUnreachable) {
		t.Errorf("members: got %v", err)
	}
	_ = listener.Close()
	_, err = c.PublishNote(t.Context(), "publish-1", []byte("x"))
	if !errkind.Is(err, errkind.PeerUnreachable) {
		t.Errorf("no listener: got %v", err)
	}
}

// Guards against a broken answer that is taken for one of the API.
func TestBrokenHeadIsNotBelieved(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n", "HTTP/1.1 200 OK\r\nA\x01b: c\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\r\n A: b\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadAtLeast(conn, make([]byte, 4096), 1)
				_, _ = io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
				_ = conn.Close()
			}
		}()
		c := clientOf(t, "http://"+listener.Addr().String())
		if _, err := c.PublishNote(t.Context(), "publish-1", []byte("x")); !errkind.Is(err, errkind.OutcomeUnknown) || !errors.Is(err, responsehead.ErrBroken) {
			t.Errorf("%q: publish: got %v", head, err)
		}
		if _, err := c.Members(t.Context()); !errkind.Is(err, errkind.PeerUnreachable) || !errors.Is(err, responsehead.ErrBroken) {
			t.Errorf("%q: members: got %v", head, err)
		}
	}
}

// Guards against a version reported in force while a host lags or no host is known.
func TestInForce(t *testing.T) {
	cases := []struct {
		status NoteStatus
		want   bool
	}{
		{NoteStatus{Version: 3, Hosts: []HostVersion{{Version: 3}, {Version: 4}}}, true},
		{NoteStatus{Version: 3, Hosts: []HostVersion{{Version: 3}, {Version: 2}}}, false},
		{NoteStatus{Version: 2, Hosts: []HostVersion{{Version: 3}}}, false},
		{NoteStatus{Version: 3}, false},
	}
	for _, c := range cases {
		if got := c.status.InForce(3); got != c.want {
			t.Errorf("%+v: got %v", c.status, got)
		}
	}
}
