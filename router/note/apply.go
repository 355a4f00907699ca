package note

import (
	"fmt"
	"maps"
	"slices"

	"burdockglade.dev/router/errkind"
)

// ConflictError names the note that was published first against the same base
// version.
type ConflictError struct {
	// Base is the version that the rejected note was written against.
	Base int64 `json:"base"`
	// Version and PublishID identify the note that was published first.
	Version   int64  `json:"version"`
	PublishID string `json:"publish_id"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the note was written against version %d, but version %d was published first with publish id %s", e.Base, e.Version, e.PublishID)
}

// conflict returns a ConflictError of kind NoteConflict.
func conflict(base int64, winner Publication) error {
	return errkind.New(errkind.NoteConflict, "%w", &ConflictError{Base: base, Version: winner.Version, PublishID: winner.PublishID})
}

// Check returns an error if the note cannot be applied to the configuration.
// The error has the kind NoteConflict if the configuration is newer than the
// note's base; otherwise it has the kind NoteInvalid and wraps Problems.
func Check(n Note, c Config) error {
	_, err := Apply(n, c)
	return err
}

// Apply returns the result of applying the note to c, with the next version and
// an empty publish id. It modifies neither argument. Errors are those of Check.
func Apply(n Note, c Config) (Config, error) {
	if n.Base < c.Version {
		return Config{}, conflict(n.Base, Publication{Version: c.Version, PublishID: c.PublishID})
	}
	a := &applier{note: n, services: maps.Clone(c.Services)}
	if a.services == nil {
		a.services = map[string]Service{}
	}
	if n.Base > c.Version {
		a.addProblem(n.baseLine, "note", "base", fmt.Sprintf("%d", n.Base), fmt.Sprintf("the version in force, which is %d", c.Version))
	}
	for _, change := range n.Changes {
		a.apply(change)
	}
	if len(a.services) > MaxServices {
		a.addProblem(0, "", "", fmt.Sprintf("%d services after the note", len(a.services)), fmt.Sprintf("at most %d", MaxServices))
	}
	if err := invalid(a.problems); err != nil {
		return Config{}, err
	}
	return Config{Version: c.Version + 1, Services: a.services}, nil
}

// applier applies the changes of one note to a copy of the services and
// collects the problems found.
type applier struct {
	note     Note
	services map[string]Service
	problems Problems
}

func (a *applier) addProblem(line int, section, key, found, want string) {
	a.problems = append(a.problems, Problem{File: a.note.file, Line: line, Section: section, Key: key, Found: found, Want: want})
}

// apply applies one change, or records the problems that prevent it.
func (a *applier) apply(c Change) {
	current, exists := a.services[c.Service]
	section := string(c.Op) + " service " + c.Service
	switch {
	case c.Op == Add && exists:
		a.addProblem(c.line, section, "", "a service that exists", "[change service "+c.Service+"], or another name")
	case c.Op != Add && !exists:
		a.addProblem(c.line, section, "", "a service that does not exist", a.existingServices())
	case c.Op == Withdraw:
		delete(a.services, c.Service)
	case c.Op == Add:
		a.applyKeys(section, c, DefaultService(c.Service), false)
	default:
		a.applyKeys(section, c, current, true)
	}
}

// existingServices returns the wanted text of a problem that names an absent
// service.
func (a *applier) existingServices() string {
	if len(a.services) == 0 {
		return "[add service NAME]; there are no services yet"
	}
	return fmt.Sprintf("one of %v", slices.Sorted(maps.Keys(a.services)))
}

// applyKeys stores the service s with the keys of the change set. exists is true
// if the service was there before the change.
func (a *applier) applyKeys(section string, c Change, s Service, exists bool) {
	before := s
	s.IdempotentMethods = slices.Clone(s.IdempotentMethods)
	for _, kv := range c.Keys {
		a.applyKey(section, kv, before, &s, exists)
	}
	if want := inconsistency(s); want != "" {
		a.addProblem(c.line, section, "", "keys that contradict each other", want)
	}
	a.services[c.Service] = s
}

// applyKey sets one key in s. It reports a problem if the service exists and the
// change would alter a key that is immutable.
func (a *applier) applyKey(section string, kv KeyValue, before Service, s *Service, exists bool) {
	def, ok := findKey(kv.Key)
	if !ok {
		a.addProblem(kv.line, section, kv.Key, "an unknown key", "a key of a service")
		return
	}
	if !def.set(s, kv.Value) {
		a.addProblem(kv.line, section, kv.Key, fmt.Sprintf("%q", kv.Value), def.want)
		return
	}
	if reason := def.immutableReason(before); exists && reason != "" && def.get(before) != def.get(*s) {
		a.addProblem(kv.line, section, kv.Key, fmt.Sprintf("%s instead of %s", def.get(*s), def.get(before)), reason)
	}
}

// inconsistency returns what the keys of the service have to satisfy together and
// do not, or "" if they are consistent.
func inconsistency(s Service) string {
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

// CheckConfig returns an error if no sequence of release notes can have produced
// the configuration. It guards against damaged rows and messages.
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

// checkService returns an error if the definition stored under name is invalid.
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
	if want := inconsistency(s); want != "" {
		return fmt.Errorf("service %s: want %s", name, want)
	}
	return nil
}

// KeyChange is the change of one key. Both values have the text form of release
// notes.
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

// Difference lists the changes between two configurations. Each list is sorted
// by service name.
type Difference struct {
	Added     []ServiceChange `json:"added,omitempty"` // all keys, with empty old values
	Changed   []ServiceChange `json:"changed,omitempty"`
	Withdrawn []string        `json:"withdrawn,omitempty"`
}

// IsZero reports whether there are no changes.
func (d Difference) IsZero() bool {
	return len(d.Added)+len(d.Changed)+len(d.Withdrawn) == 0
}

// Diff compares the services of two configurations. It ignores versions and
// publish ids.
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

// keyChanges returns the changed keys of a service, or all keys with empty old
// values if exists is false.
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
