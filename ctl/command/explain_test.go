package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/explain"
)

// explanation is a complete explanation of a request that is refused.
func explanation(q explain.Question) explain.Explanation {
	refusal := explain.Outcome{Status: 503, Kind: errkind.Overloaded, Detail: "the expected wait is too long", RetryAfterMs: 90}
	s := explain.Service{
		Name: "cart", Share: 1, Kind: "keyed", DeadlineMs: 1500, CostJitter: 0.08, OmittedHosts: 3,
		Key: &explain.Key{Key: 7, Holder: "host-2", Generation: 12, MapVersion: 5, MapAgeMs: 4200},
		Hosts: []explain.Host{
			{Host: "host-2", Zone: "z1", State: "ready", Cost: 0.25, MayBeFirst: true, LoadAgeMs: 40, Reported: 1.5, Slots: 6, Cold: true, ColdForMs: 800, ColdRate: 2},
			{Host: "host-3", Zone: "z9", State: "ready", Excluded: "evacuated", LoadAgeMs: -1, Unreachable: true, ProbeDue: true},
		},
		Attempts:   []explain.Attempt{{Host: "host-2", WaitPolicy: "until_goal", Basis: explain.BasisLocalGate, Gate: explain.Gate{Decision: explain.DecisionRefused, Kind: errkind.Overloaded, ExpectedWaitMs: 90}}},
		LocalGate:  &explain.Gate{Decision: explain.DecisionQueued, ExpectedWaitMs: 35, Slots: 6, InFlight: 6, Waiting: 2},
		Hedging:    &explain.Hedging{Eligible: true, DelayMs: 44, ShareTokens: 1.5, Denied: "capacity"},
		Quarantine: &explain.Quarantine{Verdict: "refused", Crashes: 3, RetryAfterMs: 9000},
		Outcome:    refusal,
	}
	return explain.Explanation{
		Router: explain.Router{Host: "host-1", Zone: "z1", Region: "r1"}, Request: q, Config: &explain.Config{Version: 17, AgeMs: 300},
		Route: &explain.Route{Name: "r-cart", Prefix: "/cart", MaxAttempts: 2, TimeoutMs: 2000}, Services: []explain.Service{s}, Outcome: refusal,
	}
}

// Guards against an exit code that calls a refused request served, against figures that are
// missing from the table, and against a question that does not reach the router unchanged.
func TestExplain(t *testing.T) {
	served := false
	router := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		q, err := explain.Decode(r.URL.RawQuery)
		switch {
		case err != nil || r.URL.Path != explain.Path || r.Method != http.MethodGet:
			errkind.Write(w, errkind.New(errkind.BadRequest, "%s %s: %v", r.Method, r.URL, err))
			return
		case q.Service == "unknown":
			errkind.Write(w, errkind.New(errkind.BadRequest, "no service"))
			return
		case q.Service == "busy":
			errkind.Write(w, errkind.New(errkind.Overloaded, "busy"))
			return
		case q.Service == "off":
			http.NotFound(w, r)
			return
		}
		x := explanation(q)
		if served {
			x.Outcome = explain.Outcome{Served: true, Host: "host-2"}
		}
		if err := json.NewEncoder(w).Encode(x); err != nil {
			t.Error(err)
		}
	}))
	defer router.Close()
	run := func(want int, extra ...string) (out, errs string) {
		t.Helper()
		args := append([]string{"explain", "--router", router.URL, "--host", "shop"}, extra...)
		code, out, errs := runBare(t, "", args...)
		if code != want {
			t.Errorf("%q: exit code %d, want %d\n%s%s", args, code, want, out, errs)
		}
		return out, errs
	}
	out, errs := run(ExitRefused, "-X", "POST", "--key", "7", "--deadline", "1500ms", "/cart/1?a=b")
	for _, part := range []string{
		"POST", "shop/cart/1?a=b", "host-1", "17", "300ms", "r-cart", "timeout 2s", "keyed", "holder host-2", "generation 12", "age 4.2s",
		"0.250", "may", "1.50 40ms", "cold for 800ms, 2.0/s", "evacuated, unreachable, probe due", "3 further hosts", "queued, wait 35ms", "6 of 6 slots used",
		"after 44ms", "denied capacity", "3 crashes", "next trial 9s", "refused overloaded, wait 90ms", "refused: 503 overloaded", "retry after 90ms",
	} {
		if !strings.Contains(out, part) {
			t.Errorf("the table lacks %q:\n%s", part, out)
		}
	}
	if !strings.Contains(errs, "would be refused: 503 overloaded") {
		t.Errorf("error stream: %s", errs)
	}
	served = true
	out, _ = run(ExitOK, "--json", "-X", "POST", "--key", "7", "--deadline", "1500ms", "/cart/1?a=b")
	var x explain.Explanation
	want := explain.Question{Method: "POST", Host: "shop", Path: "/cart/1?a=b", Key: "7", DeadlineMs: 1500}
	if err := json.Unmarshal([]byte(out), &x); err != nil || x.Request != want || x.Services[0].Hosts[0].Host != "host-2" {
		t.Errorf("%v: %+v\n%s", err, x.Request, out)
	}
	run(ExitUsage, "no-slash")
	run(ExitUsage, "--deadline", "1us", "/cart")
	run(ExitUsage, "--router", "host-1:80", "/cart")
	run(ExitUsage, "-s", "unknown", "/cart")
	run(ExitFailed, "-s", "busy", "/cart")
	if _, errs = run(ExitFailed, "-s", "off", "/cart"); !strings.Contains(errs, "not the control listener") {
		t.Errorf("error stream: %s", errs)
	}
	router.Close()
	run(ExitUnknown, "/cart")
}
