package dev

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"burdockglade.dev/stores/standin"
	"burdockglade.dev/stores/verify"
)

// Guards against struct tags that kong rejects and against defaults that differ from
// the documentation.
func TestGrammar(t *testing.T) {
	var cmd Cmd
	parser, err := kong.New(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse([]string{"load", "--target", "http://127.0.0.1:1,http://127.0.0.1:2", "--service", "orders", "--no-idempotency"}); err != nil {
		t.Fatal(err)
	}
	l := cmd.Load
	if len(l.Targets) != 2 || l.Mix["GET"] != 80 || l.Mix["DELETE"] != 1 || l.Idempotency || l.Timeout != 2*time.Second {
		t.Errorf("parsed %+v", l)
	}
	if _, err := parser.Parse([]string{"upstream", "--service", "orders"}); err != nil {
		t.Fatal(err)
	}
	if cmd.Upstream.Kind != "fenced" || cmd.Upstream.RenewEvery != 250*time.Millisecond || cmd.Upstream.Slots != 16 {
		t.Errorf("parsed %+v", cmd.Upstream)
	}
}

// Guards against stand-ins, which have no authentication, that other machines can
// reach, and against load on other machines.
func TestRefuseOtherAddresses(t *testing.T) {
	load := func(target string) *LoadCmd {
		return &LoadCmd{Targets: []string{target}, Service: "s", Workers: 1, Keys: 1, Duration: time.Second, Timeout: time.Second, Mix: map[string]int{"GET": 1}}
	}
	runs := map[string]interface{ Run(context.Context) error }{
		"table":            &TableCmd{Listen: "0.0.0.0:0"},
		"objects":          &ObjectsCmd{Listen: "192.0.2.1:0"},
		"upstream":         &UpstreamCmd{Service: "s", Kind: "plain", Listen: ":0", ControlListen: "127.0.0.1:0"},
		"upstream control": &UpstreamCmd{Service: "s", Kind: "plain", Listen: "127.0.0.1:0", ControlListen: "[::]:0"},
		"load":             load("http://192.0.2.1:80"),
		"load by name":     load("http://localhost:80"),
	}
	for name, c := range runs {
		if err := c.Run(t.Context()); err == nil {
			t.Errorf("%s: the address was accepted", name)
		}
	}
}

// Guards against load settings that exceed the limits.
func TestLoadLimits(t *testing.T) {
	for name, change := range map[string]func(*LoadCmd){
		"rate":     func(c *LoadCmd) { c.Rate = maxLoadRate + 1 },
		"workers":  func(c *LoadCmd) { c.Workers = 0 },
		"duration": func(c *LoadCmd) { c.Duration = maxLoadDuration + 1 },
		"Zipf":     func(c *LoadCmd) { c.Zipf = 1 },
		"mix":      func(c *LoadCmd) { c.Mix = map[string]int{"GET": 0} },
		"method":   func(c *LoadCmd) { c.Mix = map[string]int{"TRACE": 1} },
	} {
		c := LoadCmd{Targets: []string{"http://127.0.0.1:1"}, Service: "s", Workers: 1, Keys: 1, Duration: time.Second, Timeout: time.Second, Mix: map[string]int{"GET": 1}}
		if _, err := c.plan(); err != nil {
			t.Fatal(err)
		}
		change(&c)
		if _, err := c.plan(); err == nil {
			t.Errorf("%s outside the limits was accepted", name)
		}
	}
}

// startCommand runs a command. It returns the URL that the command prints and a
// function that stops it and returns its error.
func startCommand(t *testing.T, run func(ctx context.Context, out io.Writer) error) (url string, stop func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	read, write := io.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- run(ctx, write)
		_ = write.Close()
	}()
	line, err := bufio.NewReader(read).ReadString('\n')
	if err != nil {
		t.Fatalf("%v, %v", err, <-done)
	}
	go func() { _, _ = io.Copy(io.Discard, read) }()
	_, url, _ = strings.Cut(line, "http://")
	url, _, _ = strings.Cut(strings.TrimSpace(url), ",")
	return "http://" + url, func() error {
		cancel()
		return <-done
	}
}

// Guards against commands that do not serve, or that do not exit when their context
// is done.
func TestStandinCommands(t *testing.T) {
	for name, c := range map[string]struct {
		run  func(ctx context.Context, out io.Writer) error
		path string
	}{
		"table": {func(ctx context.Context, out io.Writer) error {
			return (&TableCmd{Listen: "127.0.0.1:0", Out: out}).Run(ctx)
		}, "/v1/counters"},
		"objects": {func(ctx context.Context, out io.Writer) error {
			return (&ObjectsCmd{Listen: "127.0.0.1:0", Out: out}).Run(ctx)
		}, "/v1/faults"},
		"upstream": {func(ctx context.Context, out io.Writer) error {
			return (&UpstreamCmd{Service: "s", Kind: "plain", StopTimeout: time.Minute, Out: out}).Run(ctx)
		}, "/burdock/ledger"},
	} {
		url, stop := startCommand(t, c.run)
		resp, err := http.Get(url + c.path)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		if err := stop(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func startPlain(t *testing.T, o standin.UpstreamOptions) *standin.Upstream {
	t.Helper()
	o.Service, o.Kind = "orders", standin.KindPlain
	u, err := standin.StartUpstream(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// shortLoad returns a load of 200 ms on the address.
func shortLoad(address string) LoadCmd {
	return LoadCmd{
		Targets: []string{"http://" + address}, Service: "orders", Workers: 4, Keys: 50, Zipf: 1.2, Tenants: 3, BodyBytes: 100,
		Duration: 200 * time.Millisecond, Timeout: 30 * time.Second, Idempotency: true, Seed: 1,
		Mix: map[string]int{"GET": 4, "POST": 4, "PUT": 1, "DELETE": 1}, Out: io.Discard,
	}
}

// Guards against a load tool whose counts differ from what the upstream ran, in the
// closed and the open loop.
func TestLoadCountsWhatRan(t *testing.T) {
	for _, rate := range []float64{0, 500} {
		u := startPlain(t, standin.UpstreamOptions{MinResponseBytes: 2000})
		c := shortLoad(u.Address())
		c.Rate = rate
		report, err := c.Measure(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if report.Sent == 0 || report.Responses != report.Sent || report.Wrong+report.Truncated > 0 || report.Latency.Max == 0 {
			t.Errorf("rate %v: report %+v, want responses to all requests", rate, report)
		}
		ledger := u.Ledger()
		if int64(len(ledger.Units)) != report.Sent {
			t.Errorf("rate %v: the upstream ran %d requests of %d", rate, len(ledger.Units), report.Sent)
		}
		if found := verify.All([]standin.Ledger{ledger}); len(found) > 0 {
			t.Errorf("rate %v: %v", rate, found[0])
		}
	}
}

// Guards against refusals, truncated responses and wrong responses that are counted
// as complete responses.
func TestLoadCountsFaults(t *testing.T) {
	u := startPlain(t, standin.UpstreamOptions{})
	faults := func(f standin.UpstreamFaults) Report {
		t.Helper()
		if err := u.SetFaults(f); err != nil {
			t.Fatal(err)
		}
		c := shortLoad(u.Address())
		report, err := c.Measure(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return report
	}
	if r := faults(standin.UpstreamFaults{Shed: true}); r.Refusals["overloaded not-run"] != r.Sent || r.Responses != 0 {
		t.Errorf("shedding upstream: %+v", r)
	}
	if r := faults(standin.UpstreamFaults{TruncateShare: 1}); r.Truncated != r.Sent || r.Responses != 0 {
		t.Errorf("truncated responses: %+v", r)
	}
	if r := faults(standin.UpstreamFaults{Refuse: true}); r.Sent == 0 || r.Responses != 0 || r.Wrong != 0 {
		t.Errorf("refusing upstream: %+v", r)
	}
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer other.Close()
	c := shortLoad(other.Listener.Addr().String())
	if err := c.Run(t.Context()); !errors.Is(err, ErrWrongResponses) {
		t.Errorf("responses of another server: %v, want wrong responses", err)
	}
}

// Guards against a load tool that does not detect a repeated request that ran twice:
// a plain upstream without a router runs it again.
func TestLoadDetectsRepeatedWork(t *testing.T) {
	u := startPlain(t, standin.UpstreamOptions{})
	c := shortLoad(u.Address())
	c.Repeat, c.Mix = 1, map[string]int{"POST": 1}
	report, err := c.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if report.Repeats == 0 || report.Wrong != report.Repeats {
		t.Errorf("report %+v, want all repeats to be wrong", report)
	}
	if found := verify.AtMostOnce([]standin.Ledger{u.Ledger()}); int64(len(found)) != report.Repeats {
		t.Errorf("%d findings for %d repeats", len(found), report.Repeats)
	}
}

// Guards against a check that accepts the response to another request.
func TestCheckResponse(t *testing.T) {
	u := startPlain(t, standin.UpstreamOptions{MinResponseBytes: 1000})
	r := loadRequest{method: "PUT", service: "orders", key: "k", query: "n=1", body: []byte("b")}
	req, err := http.NewRequestWithContext(t.Context(), r.method, "http://"+u.Address()+r.uri(), strings.NewReader(string(r.body)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(standin.HeaderRequestID, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	own := http.Header{standin.HeaderRequestID: {"r1"}}
	if v := checkResponse(r, 200, own, body); v.kind != resultOK {
		t.Fatalf("result %+v, want ok", v)
	}
	for name, v := range map[string]result{
		"other key":     checkResponse(with(r, func(r *loadRequest) { r.key = "l" }), 200, own, body),
		"other query":   checkResponse(with(r, func(r *loadRequest) { r.query = "n=2" }), 200, own, body),
		"other body":    checkResponse(with(r, func(r *loadRequest) { r.body = []byte("c") }), 200, own, body),
		"other method":  checkResponse(with(r, func(r *loadRequest) { r.method = "POST" }), 200, own, body),
		"other id":      checkResponse(with(r, func(r *loadRequest) { r.idempotencyKey = "i" }), 200, own, body),
		"other request": checkResponse(r, 200, http.Header{standin.HeaderRequestID: {"r2"}}, body),
		"cut":           checkResponse(r, 200, own, body[:len(body)-3]),
		"two responses": checkResponse(r, 200, own, append(body[:len(body):len(body)], body...)),
		"mixed padding": checkResponse(r, 200, own, append(body[:len(body)-5:len(body)-5], "zzz\"}"...)),
		"bare 503":      checkResponse(r, 503, http.Header{}, nil),
	} {
		if v.kind != resultWrong {
			t.Errorf("%s: result %+v, want wrong", name, v)
		}
	}
}

func with(r loadRequest, change func(*loadRequest)) loadRequest {
	change(&r)
	return r
}

// Guards against a demo that fails if its directory does not exist, and against a
// directory that other users can read although it contains the token. The demo exits
// early because its first port is in use.
func TestDemoCreatesItsDirectory(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dir := filepath.Join(t.TempDir(), "demo")
	c := &DemoCmd{Hosts: 1, Service: "orders", BasePort: listener.Addr().(*net.TCPAddr).Port, Dir: dir, Out: io.Discard, Err: io.Discard}
	if err := c.Run(t.Context()); err == nil {
		t.Error("the demo started although its first port is in use")
	}
	info, err := os.Stat(dir)
	if err != nil || info.Mode().Perm() != 0o700 {
		t.Errorf("the directory is %v, %v", info, err)
	}
	if _, err := os.Stat(filepath.Join(dir, "token")); err != nil {
		t.Error(err)
	}
}
