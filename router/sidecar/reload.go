package sidecar

import "burdockglade.dev/router/event"

// Reload reads the settings file again. Addresses and names cannot change while the
// process runs; the platform restarts it if they do. If the file is not valid, the
// earlier settings stay in force.
func (s *Sidecar) Reload(path string) {
	next, err := LoadSettings(path)
	if err != nil {
		s.log.Log(eventReloadFailed, event.F("error", err.Error()))
		return
	}
	restart := next.Host != s.settings.Host || next.Listen != s.settings.Listen
	s.log.Log(eventReloaded, event.F("restart_needed", restart))
}
