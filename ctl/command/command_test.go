package command

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kong"

	"burdockglade.dev/router/admin"
	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
	"burdockglade.dev/router/note"
	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

const token = "0123456789abcdef0123"

// backend publishes notes into an in-memory table; its other responses are fixed.
type backend struct {
	rows      *table.Memory
	publisher *note.Publisher
	status    admin.NoteStatus

	mu    sync.Mutex
	calls []string
	// err is returned by every call except those for notes.
	err error
}

func newBackend() *backend {
	rows := table.NewMemory()
	return &backend{
		rows:      rows,
		publisher: note.NewPublisher(note.PublisherOptions{Table: rows, Objects: &objects{}}),
	}
}

// objects is an in-memory object store.
type objects struct{ content sync.Map }

func (o *objects) Put(_ context.Context, name string, content []byte) error {
	if have, loaded := o.content.LoadOrStore(name, string(content)); loaded && have != string(content) {
		return object.ErrExists
	}
	return nil
}

func (o *objects) Get(_ context.Context, name string) ([]byte, error) {
	content, ok := o.content.Load(name)
	if !ok {
		return nil, object.ErrNotFound
	}
	return []byte(content.(string)), nil
}

func (b *backend) recordCall(format string, args ...any) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, fmt.Sprintf(format, args...))
	return b.err
}

func (b *backend) Note(ctx context.Context) (note.Config, error) {
	c, _, err := note.ReadHead(ctx, b.rows)
	return c, err
}

func (b *backend) NoteVersion(ctx context.Context, v int64) (admin.NoteVersion, error) {
	entry, text, err := b.publisher.Version(ctx, v)
	return admin.NoteVersion{Version: entry.Version, PublishID: entry.PublishID, Text: string(text)}, err
}

func (b *backend) DiffNote(ctx context.Context, text []byte) (admin.NoteDiff, error) {
	c, err := b.Note(ctx)
	if err != nil {
		return admin.NoteDiff{}, err
	}
	d, err := note.Preview("note", text, c)
	return admin.NoteDiff{Base: c.Version, Difference: d}, err
}

func (b *backend) PublishNote(ctx context.Context, id string, text []byte) (note.Result, error) {
	return b.publisher.Publish(ctx, id, text)
}

func (b *backend) NoteStatus(context.Context) (admin.NoteStatus, error) {
	return b.status, b.recordCall("status")
}

func (b *backend) Owners(_ context.Context, service string) (admin.Owners, error) {
	g := admin.Group{Service: "market", ID: "g1", Holder: "host-1", Standby: "host-2", StandbyGone: true, Generation: 7, Shards: keyspace.Divide(4)[:1]}
	return admin.Owners{Groups: []admin.Group{g}}, b.recordCall("owners %s", service)
}

func (b *backend) Members(context.Context) (admin.Members, error) {
	return admin.Members{Members: []admin.Member{{Host: "host-1", Zone: "z1", LastSeenMillis: 40}, {Host: "host-2", LastSeenMillis: -1}}}, b.recordCall("members")
}

func (b *backend) Move(_ context.Context, r admin.MoveRequest) (admin.MoveResult, error) {
	return admin.MoveResult{Source: "host-1", Target: r.Target}, b.recordCall("move %s %v %s %s", r.Service, r.Shard, r.Key, r.Target)
}

func (b *backend) Drain(_ context.Context, host string) (admin.DrainResult, error) {
	return admin.DrainResult{Host: host}, b.recordCall("drain %s", host)
}

func (b *backend) TakeOver(_ context.Context, service, group string) (admin.TakeoverResult, error) {
	return admin.TakeoverResult{Service: service, Group: group, Holder: "host-2"}, b.recordCall("takeover %s %s", service, group)
}

// ctl runs commands against a server of the administration API.
type ctl struct {
	t     *testing.T
	url   string
	token string
	dir   string
	// loseResponse drops the response to the next publication after it took effect.
	loseResponse bool
}

func newCtl(t *testing.T, b admin.Backend) *ctl {
	t.Helper()
	api, err := admin.NewHandler(admin.Options{Backend: b, Token: token})
	if err != nil {
		t.Fatal(err)
	}
	c := &ctl{t: t, dir: t.TempDir()}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.loseResponse && r.Method == http.MethodPost && r.URL.Path == "/v1/note" {
			c.loseResponse = false
			api.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		api.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	c.url = server.URL
	c.token = c.file("token", token, 0o600)
	return c
}

func (c *ctl) file(name, content string, mode os.FileMode) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	if err := os.WriteFile(path, []byte(content), mode); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// run runs one command with the text as standard input.
func (c *ctl) run(input string, args ...string) (code int, out, errs string) {
	c.t.Helper()
	args = append([]string{"--admin", c.url, "--token-file", c.token}, args...)
	return runBare(c.t, input, args...)
}

func runBare(t *testing.T, input string, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	var grammar Grammar
	code = Run(t.Context(), &grammar, &grammar, args, Streams{In: strings.NewReader(input), Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func (c *ctl) want(code int, part, input string, args ...string) (out, errs string) {
	c.t.Helper()
	got, out, errs := c.run(input, args...)
	if got != code || !strings.Contains(out+errs, part) {
		c.t.Errorf("%v: exit code %d, want %d with %q\n%s%s", args, got, code, part, out, errs)
	}
	return out, errs
}

func market(base int) string {
	return fmt.Sprintf("[note]\ntitle = Market\nbase = %d\n[add service market%d]\nkind = fenced\n", base, base)
}

// Guards against a note that is published before the operator has seen its changes.
func TestPublishShowsTheDiffAndAsksForConfirmation(t *testing.T) {
	c := newCtl(t, newBackend())
	file := c.file("n.ini", market(0), 0o644)
	c.want(ExitFailed, "not confirmed", "", "note", "publish", file)
	c.want(ExitFailed, "not confirmed", "n\n", "note", "publish", file)
	c.want(ExitOK, "version     0", "", "note", "show")
	_, errs := c.want(ExitOK, "published version", "yes\n", "note", "publish", file)
	if !strings.Contains(errs, "+ service market0") || !strings.Contains(errs, "publish id: ") {
		t.Errorf("no diff or publish id:\n%s", errs)
	}
	c.want(ExitOK, "version 1, publish id", "", "note", "show", "1")
}

// Guards against exit codes that do not distinguish a conflict from an invalid note;
// scripts depend on them.
func TestExitCodesOfPublish(t *testing.T) {
	c := newCtl(t, newBackend())
	file := c.file("n.ini", market(0), 0o644)
	c.want(ExitOK, "published", "", "-y", "note", "publish", file)
	c.want(ExitConflict, "version 1 was published first", "", "-y", "note", "publish", file)
	bad := c.file("bad.ini", "[note]\nbase = x\n", 0o644)
	c.want(ExitUsage, "bad.ini:2: [note] base", "", "-y", "note", "publish", bad)
	c.want(ExitUsage, "a service that exists", "", "note", "diff", c.file("again.ini", strings.Replace(market(0), "base = 0", "base = 1", 1), 0o644))
	c.want(ExitUsage, "needs --yes", market(1), "note", "publish", "-")
	c.want(ExitOK, "published", market(1), "-y", "note", "publish", "-")
	c.want(ExitUsage, "--publish-id", "", "-y", "note", "publish", file, "--publish-id", "x/y")
	c.want(ExitUsage, "reading the note", "", "note", "check", file+".missing")
	c.url = "http://127.0.0.1:1"
	c.want(ExitUnknown, "peer_unreachable", "", "members")
}

// Guards against a second publication when the operator repeats a call whose
// response was lost.
func TestLostResponseCanBeRepeated(t *testing.T) {
	b := newBackend()
	c := newCtl(t, b)
	file := c.file("n.ini", market(0), 0o644)
	c.loseResponse = true
	_, errs := c.want(ExitUnknown, "--publish-id", "", "-y", "note", "publish", file)
	id := regexp.MustCompile(`--publish-id (\S+)`).FindStringSubmatch(errs)
	if id == nil {
		t.Fatalf("no publish id in\n%s", errs)
	}
	out, _ := c.want(ExitOK, "", "", "-y", "-o", "json", "note", "publish", file, "--publish-id", id[1])
	if !strings.Contains(out, `"version": 1`) {
		t.Errorf("got %s", out)
	}
	if config, err := b.Note(t.Context()); err != nil || config.Version != 1 {
		t.Errorf("got %+v, %v", config, err)
	}
}

// Guards against a wait that succeeds before the version is in force on every
// host.
func TestStatusWait(t *testing.T) {
	b := newBackend()
	c := newCtl(t, b)
	b.status = admin.NoteStatus{Version: 2, Hosts: []admin.HostVersion{{Host: "host-1", Version: 2}, {Host: "host-2", Version: 1, Lags: true}}}
	c.want(ExitOK, "host-2  1        yes", "", "note", "status")
	c.want(ExitTimeout, "wait timed out", "", "note", "status", "--wait", "--timeout", "10ms")
	c.want(ExitOK, "host-2", "", "note", "status", "--wait", "--for", "1", "--timeout", "10ms")
}

// Guards against commands that act without confirmation or that pass wrong arguments
// to the router.
func TestCommandsReachTheRouter(t *testing.T) {
	b := newBackend()
	c := newCtl(t, b)
	c.want(ExitOK, "host-1  host-2(gone)  7           1       25.00%", "", "owners", "-s", "market")
	c.want(ExitOK, "3fffffffffffffff", "", "owners", "--shards")
	out, _ := c.want(ExitOK, "40ms ago", "", "members")
	if !strings.Contains(out, "never") || strings.Contains(out, "-1ms") {
		t.Errorf("a host that was never heard from is shown as\n%s", out)
	}
	c.want(ExitOK, `"host": "host-1"`, "", "-o", "json", "members")
	c.want(ExitFailed, "not confirmed", "", "move", "-s", "market", "--key", "k", "-t", "host-2")
	c.want(ExitOK, "moved", "y\n", "move", "-s", "market", "--key", "k", "-t", "host-2")
	c.want(ExitOK, "is already at", "y\n", "move", "-s", "market", "--key", "k", "-t", "host-1")
	c.want(ExitUsage, "first is after last", "", "-y", "move", "-s", "market", "--shard", "0000000000000002-0000000000000001", "-t", "h")
	c.want(ExitFailed, "not confirmed", "", "drain", "host-1")
	c.want(ExitOK, "draining", "", "-y", "drain", "host-1")
	c.want(ExitUsage, "--declare-lost", "", "-y", "takeover", "market", "g1")
	c.want(ExitUsage, "--declare-lost", "", "-y", "takeover", "market", "g1", "--declare-lost=false")
	c.want(ExitOK, "taken over", "", "-y", "takeover", "market", "g1", "--declare-lost")
	want := "owners market|owners |members|members|move market <nil> k host-2|move market <nil> k host-1|drain host-1|takeover market g1"
	if got := strings.Join(b.calls, "|"); got != want {
		t.Errorf("calls %s\nwant  %s", got, want)
	}
}

// Guards against unintended changes of the documented exit codes of error kinds.
func TestExitCodesOfKinds(t *testing.T) {
	want := map[errkind.Kind]int{
		errkind.BadRequest: ExitUsage, errkind.TooLarge: ExitUsage, errkind.NoteInvalid: ExitUsage,
		errkind.NoteConflict: ExitConflict, errkind.Conflict: ExitConflict,
		errkind.PeerUnreachable: ExitUnknown, errkind.StoreUnavailable: ExitUnknown, errkind.OutcomeUnknown: ExitUnknown,
		errkind.AnswerIncomplete: ExitUnknown, errkind.Internal: ExitUnknown,
	}
	for _, kind := range errkind.Kinds() {
		code, ok := want[kind]
		if !ok {
			code = ExitFailed
		}
		if got := ExitCode(fmt.Errorf("wrapped: %w", errkind.New(kind, "x"))); got != code {
			t.Errorf("%s: exit code %d, want %d", kind, got, code)
		}
	}
	if got := ExitCode(io.ErrUnexpectedEOF); got != ExitFailed {
		t.Errorf("an error without a kind: exit code %d", got)
	}
}

// Guards against requests that are sent without a token, with a wrong one, or with
// one from a file that others can read.
func TestTokenFileIsChecked(t *testing.T) {
	b := newBackend()
	c := newCtl(t, b)
	c.token = c.file("open", token, 0o644)
	c.want(ExitUsage, "permissions 0644", "", "members")
	c.token = c.file("wrong", token+"x", 0o600)
	c.want(ExitFailed, "unauthorized", "", "members")
	if code, _, errs := runBare(t, "", "members"); code != ExitUsage || !strings.Contains(errs, "no token") {
		t.Errorf("exit code %d\n%s", code, errs)
	}
	if len(b.calls) > 0 {
		t.Errorf("calls %v", b.calls)
	}
}

// Guards against mistakes in settings that are found only when a router starts.
func TestSettingsCheck(t *testing.T) {
	c := newCtl(t, newBackend())
	sample, err := os.ReadFile("../../docs/burdockglade.sample.ini")
	if err != nil {
		t.Fatal(err)
	}
	file := c.file("f.ini", string(sample), 0o644)
	c.want(ExitUsage, "cluster.secret", "", "settings", "check", file)
	c.file("cluster.secret", token, 0o600)
	c.file("admin.token", token, 0o600)
	c.want(ExitOK, "valid, host host-1", "", "settings", "check", file)
	c.want(ExitUsage, "no such file", "", "settings", "check", file+".missing")
}

// Guards against a canonical form that is not a valid note itself.
func TestNoteCheck(t *testing.T) {
	c := newCtl(t, newBackend())
	out, _ := c.want(ExitOK, "[add service market0]", market(0), "note", "check", "-", "--print")
	c.want(ExitOK, "valid, 1 changes", out, "note", "check", "-")
	c.want(ExitUsage, "no changes", "", "note", "check", "-")
}

// Guards against wrong arguments and help flags that exit the process or run a
// command instead of returning their exit code.
func TestUsage(t *testing.T) {
	for _, c := range []struct {
		args string
		code int
		part string
	}{
		{"--help", ExitOK, "Exit codes"},
		{"note publish --help", ExitOK, "Examples"},
		{"", ExitUsage, "expected"},
		{"note", ExitUsage, "expected"},
		{"-o xml members", ExitUsage, "--output"},
		{"move -s a -t b", ExitUsage, "--shard=RANGE or --key=KEY"},
		{"move -s a -t b --key k --shard s", ExitUsage, "can't be used together"},
		{"--admin x --token-file /dev/null members", ExitUsage, "token file"},
		{"version", ExitOK, "go1"},
	} {
		code, out, errs := runBare(t, "", strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errs, c.part) {
			t.Errorf("%q: exit code %d, want %d with %q\n%s%s", c.args, code, c.code, c.part, out, errs)
		}
	}
}

// helloCmd stands for a command of another package.
type helloCmd struct{}

func (helloCmd) Run(e *Env) error {
	return e.Print("hello", func(w io.Writer) { row(w, "hello", e.Grammar.Output) })
}

// Guards against commands of Grammar that are missing when it is embedded.
func TestGrammarCanBeEmbedded(t *testing.T) {
	var grammar struct {
		Grammar
		Dev struct {
			Hello helloCmd `cmd:""`
		} `cmd:""`
	}
	var out bytes.Buffer
	streams := Streams{In: strings.NewReader(""), Out: &out, Err: &out}
	if code := Run(t.Context(), &grammar, &grammar.Grammar, []string{"dev", "hello"}, streams); code != ExitOK || !strings.Contains(out.String(), "hello  table") {
		t.Errorf("exit code %d\n%s", code, out.String())
	}
	if code := Run(t.Context(), &grammar, &grammar.Grammar, []string{"version"}, streams); code != ExitOK {
		t.Errorf("exit code %d\n%s", code, out.String())
	}
}

// Guards against a command whose help has no example.
func TestEveryCommandHasExamples(t *testing.T) {
	parser, err := kong.New(&Grammar{})
	if err != nil {
		t.Fatal(err)
	}
	for _, leaf := range parser.Model.Leaves(false) {
		if !strings.Contains(leaf.Detail, "Example") && leaf.Name != "version" {
			t.Errorf("%s has no example", leaf.FullPath())
		}
	}
}
