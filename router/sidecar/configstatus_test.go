package sidecar

import (
	"bytes"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/rowstore"
	"burdockglade.dev/router/vhost"
)

// Guards against a field of a route that is left out without a trace, and against a
// version that nobody can read off a host.
func TestVersionAndUnreadableFieldsAreReported(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	c := &currentConfig{log: event.NewLogger(&lines, log.InfoLevel)}
	c.changed = func() { c.reportVersion(scope) }
	c.source = logUnreadable(ConfigSource{Key: configKey, Decode: func(data []byte) (vhost.Config, error) {
		config, err := decodeTestConfig(data)
		config.Routes[0].Unreadable = []string{"the objective", "the priority"}
		return config, err
	}}, c.log)
	c.applyRow(rowstore.Row{Key: configKey, Value: []byte("17"), Version: 3})
	if got := scope.Snapshot().Gauges()["config_version+"]; got == nil || got.Value() != 17 {
		t.Errorf("gauge %v, want 17", got)
	}
	for _, want := range []string{`"event":1823`, `"route":"look"`, "the objective, the priority", `"event":1812`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no %s in\n%s", want, &lines)
		}
	}
}
