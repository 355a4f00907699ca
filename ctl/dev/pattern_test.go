package dev

import (
	"io"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alecthomas/kong"

	"burdockglade.dev/stores/standin"
)

// parseLoad parses the options of a load on keys 0 to 999, as the command line does.
func parseLoad(t *testing.T, options string) (*LoadCmd, error) {
	t.Helper()
	var cmd Cmd
	parser, err := kong.New(&cmd)
	if err != nil {
		t.Fatal(err)
	}
	_, err = parser.Parse(append([]string{"load", "--target", "http://127.0.0.1:1", "--service", "orders"}, strings.Fields(options)...))
	return &cmd.Load, err
}

// Guards against pattern options outside their ranges, and against ones without effect.
func TestPatternLimits(t *testing.T) {
	for _, options := range []string{
		"--pattern other", "--pattern bookings", "--call-service bills", "--burst-factor 2", "--rate 30000 --burst-factor 2",
		"--burst-factor 21 --rate 1", "--large-share 1.1", "--large-mean 90000 --large-max 200000", "--large-max 9000000",
		"--slow-share 2", "--slow-rate 100", "--retries 11", "--impatient-share 7", "--impatient-retries 11",
		"--leave-share 3", "--leave-after 2m", "--hot-share -0.1", "--hot-keys 1001", "--hot-from -1s", "--burst-from -1s", "--in-time 2m",
	} {
		c, err := parseLoad(t, options)
		if err == nil {
			_, err = c.plan()
		}
		if err == nil {
			t.Errorf("%s was accepted", options)
		}
	}
}

// Guards against requests whose sizes, keys and callers differ from the patterns, and
// against a hot time and a burst that do not end.
func TestPatternShares(t *testing.T) {
	const n = 20_000
	c, err := parseLoad(t, "--mix GET=1 --large-share 0.5 --slow-share 0.25 --impatient-share 0.125 --leave-share 0.0625 "+
		"--hot-share 0.35 --hot-keys 60 --hot-from 1s --hot-for 2s --rate 10 --burst-factor 3 --burst-from 2s --burst-for 1s")
	if err != nil {
		t.Fatal(err)
	}
	p, err := c.plan()
	if err != nil {
		t.Fatal(err)
	}
	w := p.worker(0)
	isLast60 := func(key string) bool { return len(key) == len("key-940") && key >= "key-940" }
	counts, bytes := map[string]float64{}, 0.0
	count := func(what string, is bool) {
		if is {
			counts[what]++
		}
	}
	for range n {
		r := w.next(2 * time.Second)
		count("hot", isLast60(r.key))
		count("hot later", isLast60(w.next(3*time.Second).key))
		count("large", r.answerBytes > 0)
		count("too large", r.answerBytes > 540_000)
		count("slow", r.caller.slow)
		count("impatient", r.caller.impatient)
		count("leaving", r.caller.leaveAfter > 0)
		bytes += float64(r.answerBytes)
	}
	for what, want := range map[string]float64{"hot": 0.35 + 0.65*0.06, "hot later": 0.06, "large": 0.5, "too large": 0, "slow": 0.25, "impatient": 0.125, "leaving": 0.0625} {
		if got := counts[what] / n; math.Abs(got-want) > 0.02 {
			t.Errorf("share %v of %s, want %v", got, what, want)
		}
	}
	if mean := bytes / counts["large"]; math.Abs(mean-90_000) > 3_000 {
		t.Errorf("mean of %v bytes, want 90,000", mean)
	}
	if p.factorAt(1999*time.Millisecond) != 1 || p.factorAt(2*time.Second) != 3 || p.factorAt(3*time.Second) != 1 {
		t.Error("the burst is not from 2 s to 3 s")
	}
}

// measure runs a load of 300 ms with 8 workers on the upstream. It fails the test unless
// the results of each kind add up to the requests that were sent.
func measure(t *testing.T, u *standin.Upstream, options string) (Report, map[string]KindReport) {
	t.Helper()
	c, err := parseLoad(t, "--duration 300ms --workers 8 "+options)
	if err != nil {
		t.Fatal(err)
	}
	c.Targets = []string{"http://" + u.Address()}
	report, err := c.Measure(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	kinds, sent := map[string]KindReport{}, int64(0)
	for _, k := range report.Kinds {
		kinds[k.Kind] = k
		sent += k.Sent + k.Retries
		if k.Sent != k.InTime+k.Late+k.Refused+k.RefusedAgain+k.Failed+k.Left {
			t.Errorf("the results of %+v do not add up", k)
		}
	}
	if sent != report.Sent-report.Repeats || report.Sent == 0 || report.Wrong > 0 {
		t.Errorf("kinds %+v of report %+v", report.Kinds, report)
	}
	return report, kinds
}

// Guards against results that are counted in the wrong place: callers that leave, refused
// retries, and late responses.
func TestKindsOfResults(t *testing.T) {
	u := startPlain(t, standin.UpstreamOptions{WorkTime: 20 * time.Millisecond, Slots: 10_000, Connections: 10_000})
	if _, kinds := measure(t, u, "--mix GET=1 --in-time 1ms"); kinds["GET"].Late != kinds["GET"].Sent || kinds["GET"].P50 < 20_000 {
		t.Errorf("late responses: %+v", kinds)
	}
	_ = u.SetFaults(standin.UpstreamFaults{HoldWork: true}) // fails only for values that are out of range
	if _, kinds := measure(t, u, "--mix GET=1 --leave-share 1 --leave-after 1ms --timeout 30s"); kinds["GET"].Left != kinds["GET"].Sent {
		t.Errorf("callers that leave: %+v", kinds)
	}
	_ = u.SetFaults(standin.UpstreamFaults{Shed: true})
	// The refusals have Retry-After: 1, which is behind the end of the load.
	if _, kinds := measure(t, u, "--mix POST=1 --retries 1"); kinds["POST"].Retries != 0 || kinds["POST"].Refused != kinds["POST"].Sent {
		t.Errorf("patient callers: %+v", kinds)
	}
	_, kinds := measure(t, u, "--mix POST=1 --impatient-share 1")
	if k := kinds["POST"]; k.Retries == 0 || k.RefusedAgain < k.Sent-8 || k.Retries < 2*(k.Sent-8) {
		t.Errorf("impatient callers: %+v, want two retries of all but the last of each worker", kinds)
	}
}

// Guards against large responses to slow callers that are not read whole, or at once.
func TestSlowCallers(t *testing.T) {
	u := startPlain(t, standin.UpstreamOptions{})
	_, kinds := measure(t, u, "--mix GET=1 --large-share 1 --slow-share 1 --slow-rate 1000000 --timeout 30s")
	if k := kinds[largeKind]; k.InTime+k.Late != k.Sent || k.Sent == 0 {
		t.Errorf("slow callers: %+v, want whole responses", k)
	}
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		n, err := io.Copy(io.Discard, &slowReader{ctx: t.Context(), from: strings.NewReader(strings.Repeat("x", 540_000)), rate: 100_000, begin: begin})
		if took := time.Since(begin); err != nil || n != 540_000 || took != 5400*time.Millisecond {
			t.Errorf("%d bytes, %v, after %v; want 5.4 s", n, err, took)
		}
	})
}

// Guards against presets that do not run, and against runs of a preset that make no calls
// or are reported as served although a call of theirs was refused.
func TestPresets(t *testing.T) {
	bills, err := standin.StartUpstream(standin.UpstreamOptions{Service: "bills", Kind: standin.KindPlain, Slots: 1000})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(bills.Close)
	u := startPlain(t, standin.UpstreamOptions{CallRouter: "http://" + bills.Address()})
	for _, options := range []string{"--pattern exports", "--pattern exports --rate 300", "--pattern bookings --call-service bills --rate 300"} {
		report, kinds := measure(t, u, options)
		if report.RunsLost > 0 || len(kinds) != 3 {
			t.Errorf("%s: %+v", options, report)
		}
	}
	if len(bills.Ledger().Units) == 0 {
		t.Error("no calls were made")
	}
	_ = bills.SetFaults(standin.UpstreamFaults{Shed: true}) // fails only for values that are out of range
	report, kinds := measure(t, u, "--pattern bookings --call-service bills --leave-share 0.000001")
	if lost := kinds["booking"].Failed + kinds["invoice"].Failed; lost == 0 || lost != report.RunsLost || kinds["booking"].InTime+kinds["invoice"].InTime > 0 {
		t.Errorf("refused calls: %+v", report)
	}
}
