package sidecar

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// Guards against a field of a route that is left out without a trace, and against a
// version in force, or a refused one, that nobody can read off a host.
func TestVersionAndUnreadableFieldsAreReported(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	c := &currentConfig{log: event.NewLogger(&lines, log.InfoLevel)}
	c.changed = func() { c.reportVersion(scope) }
	c.source = logUnreadable(ConfigSource{Key: configKey, Decode: func(data []byte) (vhost.Config, error) {
		config, err := decodeTestConfig(data)
		if err != nil {
			return config, err
		}
		config.Routes[0].Unreadable = []string{"the objective", "the priority"}
		return config, err
	}}, c.log)
	c.applyRow(rowstore.Row{Key: configKey, Value: []byte("17"), Version: 3})
	if got := scope.Snapshot().Gauges()["config_version+"]; got == nil || got.Value() != 17 {
		t.Errorf("gauge %v, want 17", got)
	}
	began := time.Now()
	c.refused = func() { scope.Counter("config_refusals").Inc(1) }
	c.applyRow(rowstore.Row{Key: configKey, Value: []byte("18 cut"), Version: 4})
	if got := scope.Snapshot().Counters()["config_refusals+"]; got == nil || got.Value() != 1 {
		t.Errorf("counter %v, want 1", got)
	}
	if c.confirm(c.version(), began); !c.lastConfirmed().IsZero() {
		t.Error("the configuration counts as the newest although a newer one was refused")
	}
	c.applyRow(rowstore.Row{Key: configKey, Value: []byte("19"), Version: 5})
	if c.confirm(c.version(), began); c.lastConfirmed().IsZero() {
		t.Error("the newest configuration does not count as such")
	}
	for _, want := range []string{`"in_force":17`, `"event":1823`, `"route":"look"`, "the objective, the priority", `"event":1812`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no %s in\n%s", want, &lines)
		}
	}
}
