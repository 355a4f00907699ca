package sidecar

import (
	"bytes"
	"context"
	"os"
	"time"

	"burdockglade.dev/router/event"
)

// settingsPollInterval is the time between two reads of the settings file, which may
// change without a notice.
const settingsPollInterval = time.Second

// FollowSettings reloads the settings file after each notice, and after each change once
// the file has been the same for settingsPollInterval, until ctx ends. A file that is just
// being written may be valid and incomplete.
func (s *Sidecar) FollowSettings(ctx context.Context, path string, notices <-chan os.Signal) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := s.settings
	var applied, seen []byte
	for {
		noticed := false
		select {
		case <-ctx.Done():
			return
		case <-notices:
			noticed = true
		case <-tick.C:
		}
		text, err := os.ReadFile(path)
		settled := err == nil && bytes.Equal(text, seen)
		seen = text
		if !noticed && (!settled || bytes.Equal(text, applied)) {
			continue
		}
		applied = text
		next, err := LoadSettings(path)
		if err != nil {
			s.log.Log(eventReloadFailed, event.F("error", err.Error()))
			continue
		}
		if noticed || next != last {
			s.reload(last, next)
		}
		last = next
	}
}

// reload makes the sidecar use the address of the store that the settings name. Other
// changes need a restart, which the platform makes.
func (s *Sidecar) reload(last, next Settings) {
	if next.Store != last.Store && s.opts.SetStoreAddress != nil {
		s.opts.SetStoreAddress(next.Store.Address)
	}
	others := next
	others.Store = s.settings.Store
	s.log.Log(eventReloaded, event.F("store", next.Store.Address), event.F("restart_needed", others != s.settings))
}
