package settings

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"burdockglade.dev/router/internal/inidoc"
)

// Problem is one error in a settings file: file, line, section, key, what was found
// and what is allowed.
type Problem = inidoc.Problem

// Problems are all errors in a settings file. It is the error type of Parse and,
// unless the file cannot be read, of Load.
type Problems = inidoc.Problems

// Load reads and validates a settings file and the secret files that it names.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	p := parse(path, data)
	p.readSecret("peers", "secret_file", p.settings.Peers.SecretFile, &p.settings.Peers.Secret)
	p.readSecret("admin", "token_file", p.settings.Admin.TokenFile, &p.settings.Admin.Token)
	if err := p.problems.Err(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// Parse parses and validates the text of a settings file. Errors show name as the
// file. It reads no files, so the secrets are empty.
func Parse(name string, data []byte) (Settings, error) {
	p := parse(name, data)
	if err := p.problems.Err(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// parser collects the settings and problems of one file.
type parser struct {
	file     string
	settings Settings
	problems Problems
	// lineOf maps each section, and each key as "section.key", to its line in
	// the file.
	lineOf map[string]int
	// invalid is the set of keys with a problem, as "section.key". Later checks
	// skip them.
	invalid map[string]bool
}

func parse(name string, data []byte) *parser {
	p := &parser{
		file:     name,
		settings: Default(),
		lineOf:   map[string]int{},
		invalid:  map[string]bool{},
	}
	doc, problems := inidoc.Parse(name, data)
	p.problems = problems
	p.readKeys(doc)
	if len(problems) == 0 {
		p.checkRequired()
	}
	p.defaultAdvertised()
	p.checkListeners()
	p.checkLease()
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	return p
}

func (p *parser) readKeys(doc inidoc.Document) {
	for _, section := range doc.Sections {
		names := keyNames(section.Name)
		if len(names) == 0 {
			p.problems = append(p.problems, Problem{
				File: p.file, Line: section.Line, Section: section.Name,
				Found: "an unknown section", Want: "one of " + strings.Join(sectionNames(), ", "),
			})
			continue
		}
		p.lineOf[section.Name] = section.Line
		for _, k := range section.Keys {
			p.readKey(section.Name, k, names)
		}
	}
}

func (p *parser) readKey(section string, k inidoc.Key, names []string) {
	p.lineOf[section+"."+k.Name] = k.Line
	i := slices.IndexFunc(keys, func(s keyDef) bool { return s.section == section && s.name == k.Name })
	if i < 0 {
		p.addProblem(section, k.Name, "an unknown key", "one of "+strings.Join(names, ", "))
		return
	}
	if !keys[i].set(&p.settings, k.Value) {
		p.addProblem(section, k.Name, fmt.Sprintf("%q", k.Value), keys[i].want)
	}
}

// addProblem records a problem of a key. It has the line of the key, or that of the
// section if the key is absent.
func (p *parser) addProblem(section, key, found, want string) {
	id := section + "." + key
	line := p.lineOf[id]
	if line == 0 {
		line = p.lineOf[section]
	}
	p.invalid[id] = true
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Section: section, Key: key, Found: found, Want: want})
}

// checkRequired records a problem for each required key that is absent.
func (p *parser) checkRequired() {
	for _, k := range keys {
		if k.required && p.lineOf[k.section+"."+k.name] == 0 {
			p.addProblem(k.section, k.name, "no value", k.want)
		}
	}
}

// defaultAdvertised derives advertised addresses that are not set from the listeners.
func (p *parser) defaultAdvertised() {
	if p.lineOf["advertise.hop"] == 0 {
		p.settings.Advertise.Hop = p.settings.Listen.Hop
	}
	if p.lineOf["advertise.control"] == 0 {
		p.settings.Advertise.Control = p.settings.Listen.Control
	}
}

// listener is one address in the section [listen].
type listener struct {
	key  string
	addr netip.AddrPort
}

// listeners returns the listeners with a valid address.
func (p *parser) listeners() []listener {
	l := p.settings.Listen
	named := [][2]string{
		{"caller", l.Caller}, {"upstream", l.Upstream}, {"hop", l.Hop},
		{"control", l.Control}, {"admin", l.Admin}, {"metrics", l.Metrics},
	}
	var valid []listener
	for _, n := range named {
		if addr, ok := parseAddr(n[1]); ok && !p.invalid["listen."+n[0]] {
			valid = append(valid, listener{key: n[0], addr: addr})
		}
	}
	return valid
}

// checkListeners checks the listeners for conflicts and exposure, and the
// advertised addresses.
func (p *parser) checkListeners() {
	all := p.listeners()
	for i, l := range all {
		for _, o := range all[:i] {
			if conflicts(l.addr, o.addr) {
				p.addProblem("listen", l.key, fmt.Sprintf("%s, which %s uses as %s", l.addr, o.key, o.addr), "a port of its own for each listener")
			}
		}
		p.checkExposure(l)
	}
	p.checkAdvertised("hop", p.settings.Advertise.Hop)
	p.checkAdvertised("control", p.settings.Advertise.Control)
}

// conflicts reports whether the two addresses cannot be listened on together.
func conflicts(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkExposure rejects addresses other than loopback unless they are allowed.
func (p *parser) checkExposure(l listener) {
	if l.addr.Addr().IsLoopback() {
		return
	}
	if l.key == "upstream" {
		p.addProblem("listen", l.key, l.addr.String(), "a loopback address, because the listener has no authentication")
		return
	}
	if !p.settings.Listen.AllowPublic && !p.invalid["listen.allow_public"] {
		p.addProblem("listen", l.key, l.addr.String(), "a loopback address, or allow_public = true")
	}
}

// checkAdvertised rejects an address that other hosts cannot connect to.
func (p *parser) checkAdvertised(key, value string) {
	addr, ok := parseAddr(value)
	if !ok || p.invalid["advertise."+key] || p.invalid["listen."+key] {
		return
	}
	if addr.Addr().IsUnspecified() {
		p.addProblem("advertise", key, fmt.Sprintf("the wildcard address %s", addr), "the address that other hosts use, because the listener has a wildcard address")
	}
}

// minRenewDeadlineLeases is the minimum renewal deadline in lease durations. With a
// shorter one, takeovers after the renewal deadline would race with takeovers by
// the standby.
const minRenewDeadlineLeases = 20

// checkLease checks the durations in [lease] against each other.
func (p *parser) checkLease() {
	l := p.settings.Lease
	if p.anyInvalid("lease", "heartbeat", "duration", "replace_after", "drift_margin", "horizon") {
		return
	}
	if l.Heartbeat >= l.ReplaceAfter {
		p.addInconsistency("heartbeat", "replace_after", FormatDuration(l.Heartbeat), "less than replace_after, which is "+FormatDuration(l.ReplaceAfter))
	}
	if l.ReplaceAfter >= l.Duration {
		p.addInconsistency("replace_after", "duration", FormatDuration(l.ReplaceAfter), "less than duration, which is "+FormatDuration(l.Duration))
	}
	if l.DriftMargin < l.Duration/100 {
		p.addInconsistency("drift_margin", "duration", FormatDuration(l.DriftMargin), "at least 1% of duration, which is "+FormatDuration(l.Duration))
	}
	if l.RenewDeadline < minRenewDeadlineLeases*l.Duration {
		p.addInconsistency("horizon", "duration", FormatDuration(l.RenewDeadline), fmt.Sprintf("at least %d times duration, which is %s", minRenewDeadlineLeases, FormatDuration(l.Duration)))
	}
}

// anyInvalid reports whether at least one of the keys already has a problem.
func (p *parser) anyInvalid(section string, names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return p.invalid[section+"."+name] })
}

// addInconsistency records that a key of [lease] is inconsistent with the key other.
// If only other is in the file, the problem has the line of other.
func (p *parser) addInconsistency(key, other, found, want string) {
	if p.lineOf["lease."+key] == 0 {
		p.lineOf["lease."+key] = p.lineOf["lease."+other]
	}
	p.addProblem("lease", key, found, want)
}

// keyNames returns the names of the keys of a section.
func keyNames(section string) []string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

// sectionNames returns the names of all sections.
func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

// readSecret reads the secret file at path into target. A relative path starts at
// the directory of the settings file.
func (p *parser) readSecret(section, key, path string, target *Secret) {
	if path == "" {
		return
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(p.file), path)
	}
	value, found, want := readSecret(path)
	if found != "" {
		p.addProblem(section, key, fmt.Sprintf("%s: %s", path, found), want)
		return
	}
	*target = value
}
