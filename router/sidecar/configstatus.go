package sidecar

import (
	"strings"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/router/event"
	"burdockglade.dev/router/vhost"
)

// reportVersion sets the gauge of the version in force. Versions are small enough for a
// float64.
func (c *currentConfig) reportVersion(scope tally.Scope) {
	scope.Gauge("config_version").Update(float64(c.version()))
}

// logUnreadable returns a source that also logs the routes with fields that were left out.
func logUnreadable(source ConfigSource, log *event.Logger) ConfigSource {
	decode := source.Decode
	source.Decode = func(data []byte) (vhost.Config, error) {
		config, err := decode(data)
		if err != nil {
			return config, err
		}
		for _, r := range config.Routes {
			if len(r.Unreadable) > 0 {
				log.Log(eventRouteUnreadable, event.F("version", config.Version), event.F("route", r.Name), event.F("fields", strings.Join(r.Unreadable, ", ")))
			}
		}
		return config, nil
	}
	return source
}
