package sidecar

import "burdockglade.dev/router/event"

// Reload reads the settings file again. Addresses and names are fixed for the
// life of a process; the platform restarts it when they change. A file that is
// not valid changes nothing.
func (s *Sidecar) Reload(path string) {
	next, err := LoadSettings(path)
	if err != nil {
		s.log.Log(eventReloadFailed, event.F("error", err.Error()))
		return
	}
	restart := next.Host != s.settings.Host || next.Listen != s.settings.Listen
	s.log.Log(eventReloaded, event.F("restart_needed", restart))
}
