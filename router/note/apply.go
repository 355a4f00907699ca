package note

import (
	"fmt"
	"maps"
	"slices"

	"burdockglade.dev/router/errkind"
)

// ConflictError tells which note won the version that a note was written for.
type ConflictError struct {
	// Base is the version that the losing note was written against.
	Base int64 `json:"base"`
	// Version and PublishID name the note that was published first.
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the note was written against version %d, but version %d was published first with publish id %s", e.Base, e.Version, e.PublishID)
}

// conflict returns a ConflictError with the kind NoteConflict.
func conflict(base int64, winner Publication) error {
	return errkind.New(errkind.NoteConflict, "%w", &ConflictError{Base: base, Version: winner.Version, PublishID: winner.PublishID})
}

// Check tells whether the note can be applied to the configuration. An error
// has the kind NoteConflict when the configuration is newer than the note's
// base, and otherwise the kind NoteInvalid with Problems wrapped.
func Check(n Note, c Config) error {
	_, err := Apply(n, c)
	return err
}

// Apply returns the configuration that the note makes out of c, with the next
// version and no publish id. It changes neither argument. Errors are those of
// Check.
func Apply(n Note, c Config) (Config, error) {
	if n.Base < c.Version {
		return Config{}, conflict(n.Base, Publication{Version: c.Version, PublishID: c.PublishID})
	}
	a := &applier{note: n, services: maps.Clone(c.Services)}
	if a.services == nil {
		a.services = map[string]Service{}
	}
	if n.Base > c.Version {
		a.add(n.baseLine, "note", "base", fmt.Sprintf("%d", n.Base), fmt.Sprintf("the version in force, which is %d", c.Version))
	}
	for _, change := range n.Changes {
		a.apply(change)
	}
	if len(a.services) > MaxServices {
		a.add(0, "", "", fmt.Sprintf("%d services after the note", len(a.services)), fmt.Sprintf("at most %d", MaxServices))
	}
	if err := invalid(a.problems); err != nil {
		return Config{}, err
	}
	return Config{Version: c.Version + 1, Services: a.services}, nil
}

type applier struct {
	note     Note
	services map[string]Service
	problems Problems
}

func (a *applier) add(line int, section, key, found, want string) {
	a.problems = append(a.problems, Problem{File: a.note.file, Line: line, Section: section, Key: key, Found: found, Want: want})
}

func (a *applier) apply(c Change) {
	have, exists := a.services[c.Service]
	section := string(c.Op) + " service " + c.Service
	switch {
	case c.Op == Add && exists:
		a.add(c.line, section, "", "a service that exists", "[change service "+c.Service+"], or another name")
	case c.Op != Add && !exists:
		a.add(c.line, section, "", "a service that does not exist", a.existing())
	case c.Op == Withdraw:
		delete(a.services, c.Service)
	case c.Op == Add:
		a.set(section, c, DefaultService(c.Service), false)
	default:
		a.set(section, c, have, true)
	}
}

func (a *applier) existing() string {
	if len(a.services) == 0 {
		return "[add service NAME]; there are no services yet"
	}
	return fmt.Sprintf("one of %v", slices.Sorted(maps.Keys(a.services)))
}

func (a *applier) set(section string, c Change, s Service, exists bool) {
	before := s
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	for _, kv := range c.Keys {
		a.setKey(section, kv, before, &s, exists)
	}
	if want := contradiction(s); want != "" {
		a.add(c.line, section, "", "keys that contradict each other", want)
	}
	a.services[c.Service] = s
}

func (a *applier) setKey(section string, kv KeyValue, before Service, s *Service, exists bool) {
	def, ok := findKey(kv.Key)
	if !ok {
		a.add(kv.line, section, kv.Key, "an unknown key", "a key of a service")
		return
	}
	if !def.set(s, kv.Value) {
		a.add(kv.line, section, kv.Key, fmt.Sprintf("%q", kv.Value), def.want)
		return
	}
	if reason := def.fixed(before); exists && reason != "" && def.get(before) != def.get(*s) {
		a.add(kv.line, section, kv.Key, fmt.Sprintf("%s instead of %s", def.get(*s), def.get(before)), reason)
	}
}

// contradiction says what a definition whose keys do not fit together would
// need, or returns "".
func contradiction(s Service) string {
	if s.MaxRequestTimeout < s.RequestTimeout {
		return fmt.Sprintf("max_request_timeout (%s) of at least request_timeout (%s)", formatDuration(s.MaxRequestTimeout), formatDuration(s.RequestTimeout))
	}
	if s.IdempotencyWindow < s.MaxRequestTimeout {
		return fmt.Sprintf("idempotency_window (%s) of at least max_request_timeout (%s), so that a retry within the deadline is recognised", formatDuration(s.IdempotencyWindow), formatDuration(s.MaxRequestTimeout))
	}
	if s.ImbalanceWeight+s.ChurnWeight+s.UnavailableWeight == 0 {
		return "a weight above 0"
	}
	return ""
}

// CheckConfig returns an error when the configuration could not have come from
// release notes. It guards against damaged rows and messages.
func CheckConfig(c Config) error {
	if c.Version < 0 || (c.Version > 0) != (c.PublishID != "") {
		return fmt.Errorf("configuration version %d with publish id %q", c.Version, c.PublishID)
	}
	if len(c.Services) > MaxServices || (c.Version == 0 && len(c.Services) > 0) {
		return fmt.Errorf("configuration version %d has %d services", c.Version, len(c.Services))
	}
	for name, s := range c.Services {
		if err := checkService(name, s); err != nil {
			return fmt.Errorf("configuration version %d: %w", c.Version, err)
		}
	}
	return nil
}

func checkService(name string, s Service) error {
	if s.Name != name || !ValidService(name) {
		return fmt.Errorf("service %q under the name %q", s.Name, name)
	}
	for _, k := range serviceKeys {
		var scratch Service
		if value := k.get(s); !k.set(&scratch, value) {
			return fmt.Errorf("service %s: %s %q: want %s", name, k.name, value, k.want)
		}
	}
	if want := contradiction(s); want != "" {
		return fmt.Errorf("service %s: want %s", name, want)
	}
	return nil
}

// KeyChange is the change of one key, with both values as release notes write
// them.
type KeyChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// ServiceChange lists the changed keys of one service.
type ServiceChange struct {
	Service string      `json:"service"`
	Keys    []KeyChange `json:"keys"`
}

// Difference is what changes between two configurations, each list by service
// name.
type Difference struct {
	Added     []ServiceChange `json:"added,omitempty"` // all keys, with empty old values
	Changed   []ServiceChange `json:"changed,omitempty"`
	Withdrawn []string        `json:"withdrawn,omitempty"`
}

// IsZero reports whether nothing changes.
func (d Difference) IsZero() bool {
	return len(d.Added)+len(d.Changed)+len(d.Withdrawn) == 0
}

// Diff compares two configurations. Versions and publish ids are left out.
func Diff(before, after Config) Difference {
	var d Difference
	for _, name := range slices.Sorted(maps.Keys(after.Services)) {
		old, exists := before.Services[name]
		keys := keyChanges(old, after.Services[name], exists)
		switch {
		case !exists:
			d.Added = append(d.Added, ServiceChange{Service: name, Keys: keys})
		case len(keys) > 0:
			d.Changed = append(d.Changed, ServiceChange{Service: name, Keys: keys})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.Services)) {
		if _, stays := after.Services[name]; !stays {
			d.Withdrawn = append(d.Withdrawn, name)
		}
	}
	return d
}

func keyChanges(before, after Service, exists bool) []KeyChange {
	var changes []KeyChange
	for _, k := range serviceKeys {
		change := KeyChange{Key: k.name, New: k.get(after)}
		if exists {
			change.Old = k.get(before)
		}
		if !exists || change.Old != change.New {
			changes = append(changes, change)
		}
	}
	return changes
}
