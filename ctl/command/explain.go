package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/explain"
	"burdockglade.dev/router/responsehead"
)

// explainTimeout is the default time for which the router may take to explain.
const explainTimeout = 10 * time.Second

// ExplainCmd explains where a router would send a request.
type ExplainCmd struct {
	Router   string        `help:"Address of the router's control listener." env:"BURDOCK_CONTROL" required:"" placeholder:"URL"`
	Method   string        `help:"Method of the request." default:"GET" short:"X"`
	Host     string        `help:"Host field of the request." required:"" placeholder:"NAME"`
	Path     string        `arg:"" help:"Path and query of the request."`
	Key      string        `help:"Key of the request, for keyed services." placeholder:"KEY"`
	Service  string        `help:"Only this service of the route." short:"s" placeholder:"NAME"`
	Deadline time.Duration `help:"Time until the caller's deadline; 0: the timeout of the route." default:"0s"`
	JSON     bool          `help:"Same as --output json." name:"json"`
}

// Help implements kong.HelpProvider.
func (ExplainCmd) Help() string {
	return `The router takes the decision as for a request, and sends nothing. --router is
the address "control" of the section [listen] of a burdockglade sidecar; it needs
no token. Exit code 3 means that the request would be refused.

Examples:

    burdockctl explain --router http://127.0.0.1:8083 --host shop /cart
    burdockctl explain --router http://127.0.0.1:8083 --host shop -X POST --key 7 --json /pay`
}

// refusedError is the error of an explained request that would be refused.
type refusedError struct{ outcome explain.Outcome }

func (e *refusedError) Error() string {
	return fmt.Sprintf("the request would be refused: %d %s: %s", e.outcome.Status, e.outcome.Kind, e.outcome.Detail)
}

// Run shows the explanation.
func (c *ExplainCmd) Run(e *Env) error {
	if c.Deadline != 0 && c.Deadline < time.Millisecond {
		return &usageError{fmt.Errorf("--deadline %v: want at least 1ms", c.Deadline)}
	}
	q := explain.Question{Method: c.Method, Host: c.Host, Path: c.Path, Key: c.Key, Service: c.Service, DeadlineMs: c.Deadline.Milliseconds()}
	if err := q.Check(); err != nil {
		return &usageError{err}
	}
	x, err := fetchExplanation(e.Context, c.Router, q)
	if err != nil {
		return err
	}
	if c.JSON {
		e.Grammar.Output = "json"
	}
	if err := e.Print(x, func(w io.Writer) { writeExplanation(w, x) }); err != nil {
		return err
	}
	if !x.Outcome.Served {
		return &refusedError{x.Outcome}
	}
	return nil
}

// fetchExplanation asks the router. Errors are those of the call, or have the kind
// PeerUnreachable.
func fetchExplanation(ctx context.Context, router string, q explain.Question) (x explain.Explanation, err error) {
	u, err := url.Parse(router)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return x, &usageError{fmt.Errorf("--router %q: want http://host:port", router)}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(router, "/")+explain.Path+"?"+q.Encode(), nil)
	if err != nil {
		return x, &usageError{err}
	}
	// No proxies and no redirects: the explanation is that of the router that was named.
	transport := responsehead.NewTransport(&http.Transport{DisableKeepAlives: true}, &net.Dialer{})
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		return x, errkind.New(errkind.PeerUnreachable, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, explain.MaxResponseBytes))
	if err != nil {
		return x, errkind.New(errkind.PeerUnreachable, "reading the response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		var p errkind.Problem
		if json.Unmarshal(data, &p) == nil && p.Kind != "" {
			return x, &errkind.Error{Kind: p.Kind, Detail: p.Detail}
		}
		return x, errors.New("status " + resp.Status + " without a problem document: the address is not the control listener of a sidecar, or its settings switch explanations off")
	}
	if err := json.Unmarshal(data, &x); err != nil {
		return x, errkind.New(errkind.PeerUnreachable, "decoding the response: %w", err)
	}
	return x, nil
}

// writeExplanation writes the tables.
func writeExplanation(w io.Writer, x explain.Explanation) {
	row(w, "request", x.Request.Method, x.Request.Host+x.Request.Path)
	row(w, "router", x.Router.Host, x.Router.Zone, x.Router.Region)
	if x.Config != nil {
		row(w, "configuration", x.Config.Version, "age "+millis(x.Config.AgeMs))
	}
	if r := x.Route; r != nil {
		regions := strings.Join(r.Regions, ",")
		if r.RegionsUnreadable {
			regions = "unreadable: none"
		} else if regions == "" {
			regions = "any"
		}
		row(w, "route", r.Name, "prefix "+r.Prefix, fmt.Sprintf("priority %d", r.Priority), "repeatable "+yesNo(r.Repeatable), "large responses "+yesNo(r.LargeResponses))
		row(w, "", "timeout "+millis(r.TimeoutMs), "objective "+millis(r.TargetLatencyMs), fmt.Sprintf("attempts %d", r.MaxAttempts), "regions "+regions)
	}
	for i := range x.Services {
		writeService(w, &x.Services[i])
	}
	_, _ = io.WriteString(w, "\n")
	writeOutcome(w, "outcome", x.Outcome)
}

func writeService(w io.Writer, s *explain.Service) {
	_, _ = io.WriteString(w, "\n")
	row(w, "service", s.Name, s.Kind, fmt.Sprintf("share %.0f%%", 100*s.Share), "deadline "+millis(s.DeadlineMs))
	if k := s.Key; k != nil {
		row(w, "key", k.Key, "holder "+orNone(k.Holder), fmt.Sprintf("generation %d", k.Generation), "next "+orNone(k.Next), fmt.Sprintf("map %d", k.MapVersion), "age "+millis(k.MapAgeMs))
	}
	if g := s.LocalGate; g != nil {
		row(w, "local gate", decision(*g), fmt.Sprintf("%d of %d slots used", g.InFlight, g.Slots), fmt.Sprintf("%d waiting", g.Waiting), g.Detail)
	}
	if h := s.Hedging; h != nil {
		row(w, "second request", "eligible "+yesNo(h.Eligible), "after "+millis(h.DelayMs), fmt.Sprintf("allowed now %.1f", h.ShareTokens), "host "+orNone(h.Host), "denied "+orNone(h.Denied))
	}
	row(w, "retry budget", fmt.Sprintf("%.1f", s.RetryBudget.Tokens))
	if q := s.Quarantine; q != nil && (q.Verdict != "free" || q.OtherBodies > 0) {
		row(w, "quarantine", q.Verdict, fmt.Sprintf("%d crashes", q.Crashes), "next trial "+millis(q.RetryAfterMs), "trial at "+orNone(q.TrialHost), fmt.Sprintf("%d with other bodies", q.OtherBodies))
	}
	writeHosts(w, s)
	_, _ = io.WriteString(w, "\n")
	if len(s.Attempts) > 0 {
		row(w, "ATTEMPT", "HOST", "MAY WAIT", "DECISION", "BASIS", "DETAIL")
	}
	for i, a := range s.Attempts {
		row(w, i+1, a.Host, a.WaitPolicy, decision(a.Gate), a.Basis, a.Detail)
	}
	writeOutcome(w, "result", s.Outcome)
}

func writeHosts(w io.Writer, s *explain.Service) {
	_, _ = io.WriteString(w, "\n")
	row(w, "HOST", "ZONE", "REGION", "STATE", "COST", "FIRST", "UTIL", "REPORTED", "SLOTS", "HERE", "PACE", "LINK", "ERRORS", "SLOW", "NOTES")
	for _, h := range s.Hosts {
		cost, first := fmt.Sprintf("%.3f", h.Cost), "no"
		switch {
		case h.Excluded != "":
			cost, first = "-", "-"
		case h.MayBeFirst:
			first = "may"
		}
		reported := "-"
		if h.LoadAgeMs >= 0 {
			reported = fmt.Sprintf("%.2f %s", h.Reported, millis(h.LoadAgeMs))
		}
		row(w, h.Host, h.Zone, h.Region, h.State, cost, first, fmt.Sprintf("%.2f", h.Utilization), reported, h.Slots, h.InFlight,
			fmt.Sprintf("%.2f", h.Pace), fmt.Sprintf("%.1f", h.Link), fmt.Sprintf("%.2f", h.ErrorRate), fmt.Sprintf("%.4f", h.Slowness), notes(h))
	}
	if s.OmittedHosts > 0 {
		row(w, "", fmt.Sprintf("%d further hosts", s.OmittedHosts))
	}
}

// notes lists what is special about a host.
func notes(h explain.Host) string {
	var n []string
	if h.Local {
		n = append(n, "local")
	}
	if h.Excluded != "" {
		n = append(n, strings.ReplaceAll(h.Excluded, "_", " "))
	}
	if h.Cold {
		n = append(n, fmt.Sprintf("cold for %s, %.1f/s", millis(h.ColdForMs), h.ColdRate))
	}
	switch {
	case h.Silent:
		n = append(n, "silent")
	case h.Unreachable:
		n = append(n, "unreachable")
	}
	if h.ProbeDue {
		n = append(n, "probe due")
	}
	return orNone(strings.Join(n, ", "))
}

// decision returns the decision with the times that belong to it.
func decision(g explain.Gate) string {
	text := g.Decision
	if g.Kind != "" {
		text += " " + string(g.Kind)
	}
	if g.ExpectedWaitMs > 0 {
		text += ", wait " + millis(g.ExpectedWaitMs)
	}
	if g.RetryAfterMs > 0 {
		text += ", retry after " + millis(g.RetryAfterMs)
	}
	if g.Late {
		text += ", late"
	}
	return text
}

func writeOutcome(w io.Writer, name string, o explain.Outcome) {
	if o.Served {
		row(w, name, "served by "+o.Host)
		return
	}
	refusal := fmt.Sprintf("refused: %d %s", o.Status, o.Kind)
	if o.RetryAfterMs > 0 {
		refusal += ", retry after " + millis(o.RetryAfterMs)
	}
	row(w, name, refusal, o.Detail)
}

// millis formats milliseconds, of which -1 stands for unknown.
func millis(ms int64) string {
	if ms < 0 {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
