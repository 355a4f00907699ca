package note

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/stores/table"
)

const firstNote = `[note]
title = First services
base = 0
[add service market]
kind = fenced
unavailable_weight = 4
[add service orders]
kind = deadline
shards = 128
run_limit = 200ms
idempotent_methods = REPORT, MERGE
`

func mustParse(t testing.TB, text string) Note {
	t.Helper()
	n, err := Parse("n.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// firstConfig is the configuration after firstNote.
func firstConfig(t testing.TB) Config {
	t.Helper()
	c, err := Apply(mustParse(t, firstNote), Config{})
	if err != nil {
		t.Fatal(err)
	}
	c.PublishID = "publish-1"
	return c
}

// Guards against malformed notes that are accepted and take effect on every host.
func TestMalformedNotesAreRefused(t *testing.T) {
	const head = "[note]\ntitle = T\nbase = 0\n" // 3 lines
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"empty", "", []string{"[note]: no such section", "no changes"}},
		{"no changes", head, []string{"no changes", "at least one section"}},
		{"no base", "[note]\ntitle = T\n[withdraw service a]\n", []string{"n.ini:1: [note] base: no value", "0 or higher"}},
		{"negative base", "[note]\ntitle = T\nbase = -1\n", []string{`n.ini:3: [note] base: "-1"`}},
		{"long title", "[note]\nbase = 0\ntitle = " + strings.Repeat("x", 201), []string{"201 characters", "up to 200"}},
		{"unknown section", head + "[remove service a]\n", []string{"n.ini:4", "unknown section", "[withdraw service NAME]"}},
		{"unknown key of the note", "[note]\nauthor = x\n", []string{"n.ini:2: [note] author", "title, base"}},
		{"unknown key of a service", head + "[add service a]\nkind = fenced\nshard = 3\n", []string{"n.ini:6: [add service a] shard", "kind, shards, run_limit"}},
		{"service name with a slash", head + "[add service a/b]\nkind = fenced\n", []string{"n.ini:4", `service "a/b"`, "a-z, 0-9"}},
		{"service twice", head + "[add service a]\nkind = fenced\n[withdraw service a]\n", []string{"n.ini:6", "second time, first on line 4"}},
		{"section twice", head + "[add service a]\nkind = fenced\n[add  service a]\nkind = plain\n", []string{"n.ini:6", "first on line 4"}},
		{"key twice", head + "[add service a]\nkind = fenced\nkind = plain\n", []string{"n.ini:6", "first on line 5"}},
		{"no kind", head + "[add service a]\nshards = 8\n", []string{"[add service a] kind: no value", "takeover is safe only"}},
		{"bad kind", head + "[add service a]\nkind = strict\n", []string{`"strict"`, "fenced, deadline, plain"}},
		{"no shards", head + "[add service a]\nkind = fenced\nshards = 0\n", []string{`"0"`, "1 to 131072"}},
		{"duration without unit", head + "[change service a]\nsettle = 2\n", []string{`n.ini:5: [change service a] settle: "2"`, "10ms to 10m"}},
		{"share above 1", head + "[change service a]\nretry_share = 1.01\n", []string{"0 to 1"}},
		{"not a number", head + "[change service a]\nchurn_weight = NaN\n", []string{"0 to 1000"}},
		{"lower-case method", head + "[change service a]\nidempotent_methods = post\n", []string{"HTTP methods in capitals"}},
		{"method twice", head + "[change service a]\nidempotent_methods = POST,POST\n", []string{"distinct"}},
		{"change without keys", head + "[change service a]\n", []string{"no keys"}},
		{"withdrawal with keys", head + "[withdraw service a]\nkind = plain\n", []string{"n.ini:5", "no keys in a section that withdraws"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("n.ini", []byte(c.text))
			wantInvalid(t, err, c.want...)
		})
	}
}

func wantInvalid(t *testing.T, err error, parts ...string) {
	t.Helper()
	if !errkind.Is(err, errkind.NoteInvalid) {
		t.Fatalf("got %v, want kind %s", err, errkind.NoteInvalid)
	}
	var problems Problems
	if !errors.As(err, &problems) || len(problems) == 0 {
		t.Fatalf("%v carries no problems", err)
	}
	for _, part := range parts {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("message lacks %q:\n%v", part, err)
		}
	}
}

// Guards against a check that stops at the first mistake.
func TestAllMistakesAreReported(t *testing.T) {
	_, err := Parse("n.ini", []byte("[note]\nbase = x\n[add service A]\n[change service b]\nsettle = 1\nqueue_limit = -1\n"))
	wantInvalid(t, err, "n.ini:1: [note] title", "n.ini:2: [note] base", "n.ini:3", "n.ini:5", "n.ini:6")
}

// Guards against a note that is inconsistent with the configuration or with
// itself.
func TestInconsistentNotesAreRefused(t *testing.T) {
	const head = "[note]\ntitle = T\nbase = 1\n"
	cases := []struct {
		name string
		text string
		want []string
	}{
		{"adding a service that exists", head + "[add service orders]\nkind = fenced\n", []string{"n.ini:4", "a service that exists", "[change service orders]"}},
		{"changing an absent service", head + "[change service order]\nsettle = 1s\n", []string{"n.ini:4", "does not exist", "[market orders]"}},
		{"withdrawing an absent service", head + "[withdraw service order]\n", []string{"does not exist"}},
		{"changing the shards", head + "[change service orders]\nshards = 64\n", []string{"n.ini:5", "64 instead of 128", "under another name"}},
		{"changing the kind", head + "[change service orders]\nkind = plain\n", []string{"plain instead of deadline", "withdraw the service"}},
		{"changing the run limit of a deadline service", head + "[change service orders]\nrun_limit = 1s\n", []string{"1s instead of 200ms"}},
		{"timeouts that contradict each other", head + "[change service orders]\nmax_request_timeout = 5s\n", []string{"max_request_timeout (5s) of at least request_timeout (10s)"}},
		{"window below the longest request", head + "[change service orders]\nidempotency_window = 30s\n", []string{"at least max_request_timeout (1m)"}},
		{"no weight", head + "[change service orders]\nimbalance_weight = 0\nchurn_weight = 0\nunavailable_weight = 0\n", []string{"a weight above 0"}},
		{"base above the current version", strings.Replace(head, "base = 1", "base = 2", 1) + "[withdraw service orders]\n", []string{"n.ini:3: [note] base: 2", "which is 1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := Check(mustParse(t, c.text), firstConfig(t))
			wantInvalid(t, err, c.want...)
		})
	}
}

// Guards against a configuration whose polls exceed their share of the bandwidth.
func TestNumberOfServicesIsLimited(t *testing.T) {
	text := "[note]\ntitle = T\nbase = 0\n"
	for i := range MaxServices + 1 {
		text += fmt.Sprintf("[add service s%d]\nkind = fenced\n", i)
	}
	wantInvalid(t, Check(mustParse(t, text), Config{}), "129 services", "at most 128")
}

// Guards against the rejection of a note that sets an immutable key to its current
// value.
func TestUnchangedImmutableKeysAreAccepted(t *testing.T) {
	text := "[note]\ntitle = T\nbase = 1\n[change service orders]\nkind = deadline\nshards = 128\nsettle = 3s\n"
	if err := Check(mustParse(t, text), firstConfig(t)); err != nil {
		t.Error(err)
	}
}

// Guards against a conflict error that does not name the note published first.
func TestNoteAgainstOlderVersionNamesTheWinner(t *testing.T) {
	err := Check(mustParse(t, firstNote), firstConfig(t))
	wantConflict(t, err, ConflictError{Base: 0, Version: 1, PublishID: "publish-1"})
}

func wantConflict(t *testing.T, err error, want ConflictError) {
	t.Helper()
	var got *ConflictError
	if !errkind.Is(err, errkind.NoteConflict) || !errors.As(err, &got) {
		t.Fatalf("got %v, want a conflict", err)
	}
	if *got != want {
		t.Errorf("got %+v, want %+v", *got, want)
	}
}

// Guards against changes to a configuration that other goroutines read.
func TestApplyDoesNotModifyItsArguments(t *testing.T) {
	before := firstConfig(t)
	n := mustParse(t, "[note]\ntitle = T\nbase = 1\n[withdraw service market]\n[change service orders]\nidempotent_methods = POST\n")
	after, err := Apply(n, before)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(firstConfig(t), before); diff != "" {
		t.Errorf("the argument changed:\n%s", diff)
	}
	want := Difference{
		Changed:   []ServiceChange{{Service: "orders", Keys: []KeyChange{{Key: "idempotent_methods", Old: "MERGE, REPORT", New: "POST"}}}},
		Withdrawn: []string{"market"},
	}
	if diff := cmp.Diff(want, Diff(before, after)); diff != "" {
		t.Errorf("difference (-want +got):\n%s", diff)
	}
	if after.Version != 2 || after.PublishID != "" {
		t.Errorf("got version %d, publish id %q", after.Version, after.PublishID)
	}
}

// Guards against a diff that omits the default values of a new service.
func TestDiffShowsEveryKeyOfANewService(t *testing.T) {
	d := Diff(Config{}, firstConfig(t))
	if len(d.Added) != 2 || len(d.Added[0].Keys) != len(KeyNames()) {
		t.Fatalf("got %+v", d)
	}
	if got := d.Added[1].Keys[2]; got != (KeyChange{Key: "run_limit", New: "200ms"}) {
		t.Errorf("got %+v", got)
	}
}

// Guards against a field of Service without a key: notes could not set it and Diff
// would ignore it.
func TestEveryServiceFieldHasAKey(t *testing.T) {
	s := Service{
		Name: "s", Kind: Plain, Shards: 3, RunLimit: 4 * time.Second, SettleTime: 5 * time.Second,
		RequestTimeout: 6 * time.Second, MaxRequestTimeout: 7 * time.Second, MaxBody: 8,
		IdempotencyWindow: 9 * time.Second, IdempotentMethods: []string{"TEN"}, QueueLimit: 11,
		RetryShare: 0.12, ImbalanceWeight: 13, ChurnWeight: 14.5, UnavailableWeight: 15,
	}
	built := Service{Name: "s"}
	for _, k := range serviceKeys {
		if !k.set(&built, k.get(s)) {
			t.Errorf("%s rejects %q", k.name, k.get(s))
		}
	}
	if diff := cmp.Diff(s, built); diff != "" {
		t.Errorf("fields without a key:\n%s", diff)
	}
}

// Guards against defaults outside the ranges, which would make every added service
// invalid.
func TestDefaultsAreValid(t *testing.T) {
	if err := checkService("s", DefaultService("s")); err != nil {
		t.Error(err)
	}
}

// Guards against a canonical text that is not equivalent to the note.
func TestRenderedNoteIsEquivalent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNote(t)
		text := Render(n)
		again, err := Parse("again", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		if diff := cmp.Diff(string(text), string(Render(again))); diff != "" {
			t.Fatalf("the canonical form is not stable:\n%s", diff)
		}
		first, firstErr := Apply(n, Config{})
		second, secondErr := Apply(again, Config{})
		if (firstErr == nil) != (secondErr == nil) || !cmp.Equal(first, second) {
			t.Fatalf("%v %v\n%s", firstErr, secondErr, cmp.Diff(first, second))
		}
	})
}

// drawNote draws a note that adds services with random keys.
func drawNote(t *rapid.T) Note {
	n := Note{Title: rapid.StringMatching(`[A-Za-z][a-z ]{0,20}[a-z]`).Draw(t, "title")}
	for _, name := range rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,8}`), 1, 4, rapid.ID[string]).Draw(t, "services") {
		c := Change{Op: Add, Service: name}
		for _, k := range rapid.Permutation(serviceKeys).Draw(t, "keys") {
			if k.name == "kind" || rapid.Bool().Draw(t, "set") {
				c.Keys = append(c.Keys, KeyValue{Key: k.name, Value: k.get(drawService(t))})
			}
		}
		n.Changes = append(n.Changes, c)
	}
	return n
}

func drawService(t *rapid.T) Service {
	s := DefaultService("s")
	s.Kind = rapid.SampledFrom([]UpstreamKind{Fenced, Deadline, Plain}).Draw(t, "kind")
	s.Shards = rapid.IntRange(1, maxShards).Draw(t, "shards")
	s.RunLimit = time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "run_limit"))
	s.MaxBody = rapid.Int64Range(1, maxBodyBytes).Draw(t, "max_body")
	s.RetryShare = rapid.Float64Range(0, 1).Draw(t, "retry_share")
	s.IdempotentMethods = rapid.SliceOfNDistinct(rapid.StringMatching(`[A-Z]{1,5}`), 0, 3, rapid.ID[string]).Draw(t, "methods")
	return s
}

// Guards against panics on malformed notes and against changes by rendering.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	f.Add([]byte("[note]\ntitle = T\nbase = 1\n[change service a]\nidempotent_methods =\n[withdraw service b]\n"))
	f.Add([]byte("[note]\r\ntitle = ]\r\nbase = 1\r\n; c\r\n[add service a]\r\nkind = plain\r\nretry_share = 0x1p-3\r\n"))
	f.Add([]byte("[ add\tservice a ]\n[add service a.b]\nkind==\\\n\"\"\""))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := Parse("f", data)
		if err != nil {
			if !errkind.Is(err, errkind.NoteInvalid) {
				t.Errorf("%v has no kind", err)
			}
			return
		}
		again, err := Parse("again", Render(n))
		if err != nil {
			t.Fatalf("%v\n%s", err, Render(n))
		}
		if again.Title != n.Title || again.Base != n.Base || len(again.Changes) != len(n.Changes) {
			t.Errorf("rendering changed\n%s\nto\n%s", data, Render(again))
		}
	})
}

// Guards against documentation with invalid examples or outdated keys, defaults
// and ranges.
func TestNotesPageMatchesTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/NOTES.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```ini\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	c := Config{}
	for i, block := range blocks {
		c, err = Apply(mustParse(t, block[1]), c)
		if err != nil {
			t.Fatal(err)
		}
		c.PublishID = fmt.Sprintf("publish-%d", i)
	}
	if len(blocks) < 3 {
		t.Errorf("%d examples, want one for each operation", len(blocks))
	}
	defaults := DefaultService("s")
	for _, k := range serviceKeys {
		value := k.get(defaults)
		if k.name == "kind" {
			value = "required"
		} else if value == "" {
			value = "none"
		}
		if line := fmt.Sprintf("| `%s` | %s | %s |", k.name, value, k.want); !strings.Contains(string(page), line) {
			t.Errorf("the page lacks %s", line)
		}
	}
}

// Guards against a damaged row or message that comes into force.
func TestDamagedConfigurationsAreRefused(t *testing.T) {
	cases := map[string]func(c *Config){
		"negative version":  func(c *Config) { c.Version = -1 },
		"no publish id":     func(c *Config) { c.PublishID = "" },
		"services at 0":     func(c *Config) { c.Version, c.PublishID = 0, "" },
		"name and key":      func(c *Config) { c.Services["a"] = DefaultService("b") },
		"name":              func(c *Config) { c.Services["A/"] = DefaultService("A/") },
		"value":             func(c *Config) { s := DefaultService("a"); s.Shards = 0; c.Services["a"] = s },
		"negative duration": func(c *Config) { s := DefaultService("a"); s.SettleTime = -1; c.Services["a"] = s },
		"contradiction":     func(c *Config) { s := DefaultService("a"); s.RequestTimeout = time.Hour; c.Services["a"] = s },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			c := firstConfig(t)
			damage(&c)
			if CheckConfig(c) == nil {
				t.Error("accepted")
			}
			value, err := EncodeHead(c)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := DecodeHead(table.Row{Key: HeadKey, Value: value}); err == nil {
				t.Error("decoded")
			}
		})
	}
}

// Guards against a configuration that changes when it is encoded and decoded.
func TestHeadRowKeepsTheConfiguration(t *testing.T) {
	want := firstConfig(t)
	value, err := EncodeHead(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeHead(table.Row{Key: HeadKey, Value: value})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
