package soak

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"burdockglade.dev/ctl/command"
	"burdockglade.dev/router/explain"
)

// explain runs burdockctl explain against the host.
func (h *host) explain(t *testing.T, args ...string) (code int, out string) {
	t.Helper()
	var g command.Grammar
	var stdout, stderr bytes.Buffer
	args = append([]string{"explain", "--router", "http://" + h.control, "--host", "soak", "--deadline", "2500ms"}, args...)
	code = command.Run(t.Context(), &g, &g, args, command.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr})
	t.Logf("burdockctl %s: exit code %d\n%s%s", strings.Join(args, " "), code, stdout.String(), stderr.String())
	return code, stdout.String()
}

// Real processes on the platform's listeners. Guards against a command that does not reach
// the control listener beside heartbeats, that says that a request is served which is
// refused, and that does not name a zone that is evacuated.
func TestExplainAgainstProcesses(t *testing.T) {
	d := newDeployment(t, deploymentOptions{
		hosts: 4, services: []string{plainService, keyedService}, workTime: time.Millisecond, publishFirst: (*deployment).publish,
	})
	d.awaitService("start")
	h := d.hosts[0]
	for _, c := range []struct{ path, key string }{{"/look/x", "0"}, {"/keys/x", "900"}} {
		code, out := h.explain(t, "--json", "--key", c.key, c.path)
		var x explain.Explanation
		if err := json.Unmarshal([]byte(out), &x); err != nil {
			t.Fatal(err)
		}
		key, err := strconv.Atoi(c.key)
		must(t, err)
		got := d.callers.send(h.caller, strings.TrimSuffix(c.path, "x"), key)
		if code != command.ExitOK || !x.Outcome.Served || got.status != 200 || x.Config.Version != d.configs.newestVersion() {
			t.Errorf("%s: exit code %d, status %d, explained %+v", c.path, code, got.status, x.Outcome)
		}
		h.explain(t, "--key", c.key, c.path)
	}
	if code, _ := h.explain(t, "/nowhere"); code != command.ExitRefused {
		t.Errorf("unknown route: exit code %d", code)
	}
	for _, zone := range []string{"z0", "z1", "z2"} {
		d.changeEvacuation(zone, true)
	}
	deadline := time.Now().Add(20 * time.Second)
	code, out := h.explain(t, "/look/x")
	for code != command.ExitRefused && time.Now().Before(deadline) {
		time.Sleep(200 * time.Millisecond)
		code, out = h.explain(t, "/look/x")
	}
	if code != command.ExitRefused || !strings.Contains(out, "evacuated") || d.callers.send(h.caller, "/look/", 0).status == 200 {
		t.Errorf("all zones evacuated: exit code %d\n%s", code, out)
	}
}
