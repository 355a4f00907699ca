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

// Problem is one fault of a settings file, with file, line, section, key, what
// was found and what is allowed.
type Problem = inidoc.Problem

// Problems are all the faults of a settings file. It is the error type of
// Parse and, unless the file cannot be read, of Load.
type Problems = inidoc.Problems

// Load reads and checks a settings file and the secrets that it names.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("reading settings: %w", err)
	}
	p := parse(path, data)
	p.secret("peers", "secret_file", p.settings.Peers.SecretFile, &p.settings.Peers.Secret)
	p.secret("admin", "token_file", p.settings.Admin.TokenFile, &p.settings.Admin.Token)
	if err := p.problems.Err(); err != nil {
		return Settings{}, err
	}
	return p.settings, nil
}

// Parse checks the text of a settings file; name stands for the file in
// errors. It reads no other file, so the secrets stay empty.
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
	// lineOf holds the line of each key in the file under "section.key", and
	// of each section.
	lineOf map[string]int
	// bad holds the keys with a problem, so that later checks do not report
	// them again.
	bad map[string]bool
}

func parse(name string, data []byte) *parser {
	p := &parser{
		file:     name,
		settings: Default(),
		lineOf:   map[string]int{},
		bad:      map[string]bool{},
	}
	doc, problems := inidoc.Parse(name, data)
	p.problems = problems
	p.readKeys(doc)
	if len(problems) == 0 {
		p.checkRequired()
	}
	p.fillAdvertised()
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
	i := slices.IndexFunc(keys, func(s key) bool { return s.section == section && s.name == k.Name })
	if i < 0 {
		p.add(section, k.Name, "an unknown key", "one of "+strings.Join(names, ", "))
		return
	}
	if !keys[i].set(&p.settings, k.Value) {
		p.add(section, k.Name, fmt.Sprintf("%q", k.Value), keys[i].want)
	}
}

func (p *parser) add(section, key, found, want string) {
	id := section + "." + key
	line := p.lineOf[id]
	if line == 0 {
		line = p.lineOf[section]
	}
	p.bad[id] = true
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Section: section, Key: key, Found: found, Want: want})
}

func (p *parser) checkRequired() {
	for _, k := range keys {
		if k.required && p.lineOf[k.section+"."+k.name] == 0 {
			p.add(k.section, k.name, "no value", k.want)
		}
	}
}

func (p *parser) fillAdvertised() {
	if p.lineOf["advertise.hop"] == 0 {
		p.settings.Advertise.Hop = p.settings.Listen.Hop
	}
	if p.lineOf["advertise.control"] == 0 {
		p.settings.Advertise.Control = p.settings.Listen.Control
	}
}

// listener is one address of the section [listen].
type listener struct {
	key  string
	addr netip.AddrPort
}

func (p *parser) listeners() []listener {
	l := p.settings.Listen
	named := [][2]string{
		{"caller", l.Caller}, {"upstream", l.Upstream}, {"hop", l.Hop},
		{"control", l.Control}, {"admin", l.Admin}, {"metrics", l.Metrics},
	}
	var valid []listener
	for _, n := range named {
		if addr, ok := parseAddr(n[1]); ok && !p.bad["listen."+n[0]] {
			valid = append(valid, listener{key: n[0], addr: addr})
		}
	}
	return valid
}

func (p *parser) checkListeners() {
	all := p.listeners()
	for i, l := range all {
		for _, o := range all[:i] {
			if clash(l.addr, o.addr) {
				p.add("listen", l.key, fmt.Sprintf("%s, which %s uses as %s", l.addr, o.key, o.addr), "a port of its own for each listener")
			}
		}
		p.checkReach(l)
	}
	p.checkAdvertised("hop", p.settings.Advertise.Hop)
	p.checkAdvertised("control", p.settings.Advertise.Control)
}

// clash reports whether the second listener could not be opened.
func clash(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (p *parser) checkReach(l listener) {
	if l.addr.Addr().IsLoopback() {
		return
	}
	if l.key == "upstream" {
		p.add("listen", l.key, l.addr.String(), "a loopback address, because the listener has no authentication")
		return
	}
	if !p.settings.Listen.AllowPublic && !p.bad["listen.allow_public"] {
		p.add("listen", l.key, l.addr.String(), "a loopback address, or allow_public = true")
	}
}

// checkAdvertised refuses an address that other hosts cannot use.
func (p *parser) checkAdvertised(key, value string) {
	addr, ok := parseAddr(value)
	if !ok || p.bad["advertise."+key] || p.bad["listen."+key] {
		return
	}
	if addr.Addr().IsUnspecified() {
		p.add("advertise", key, fmt.Sprintf("the wildcard address %s", addr), "the address that other hosts use, because the listener has a wildcard address")
	}
}

// minHorizonLeases is the least horizon in lease durations. A shorter horizon
// would compete with the standby's takeover.
const minHorizonLeases = 20

func (p *parser) checkLease() {
	l := p.settings.Lease
	if p.anyBad("lease", "heartbeat", "duration", "replace_after", "drift_margin", "horizon") {
		return
	}
	if l.Heartbeat >= l.ReplaceAfter {
		p.contradiction("heartbeat", "replace_after", FormatDuration(l.Heartbeat), "less than replace_after, which is "+FormatDuration(l.ReplaceAfter))
	}
	if l.ReplaceAfter >= l.Duration {
		p.contradiction("replace_after", "duration", FormatDuration(l.ReplaceAfter), "less than duration, which is "+FormatDuration(l.Duration))
	}
	if l.DriftMargin < l.Duration/100 {
		p.contradiction("drift_margin", "duration", FormatDuration(l.DriftMargin), "at least 1% of duration, which is "+FormatDuration(l.Duration))
	}
	if l.RenewDeadline < minHorizonLeases*l.Duration {
		p.contradiction("horizon", "duration", FormatDuration(l.RenewDeadline), fmt.Sprintf("at least %d times duration, which is %s", minHorizonLeases, FormatDuration(l.Duration)))
	}
}

// anyBad reports whether one of the keys has a problem already.
func (p *parser) anyBad(section string, names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return p.bad[section+"."+name] })
}

// contradiction reports a key of [lease] that does not fit another. When only
// the other one is in the file, the problem has the other one's line.
func (p *parser) contradiction(key, other, found, want string) {
	if p.lineOf["lease."+key] == 0 {
		p.lineOf["lease."+key] = p.lineOf["lease."+other]
	}
	p.add("lease", key, found, want)
}

func keyNames(section string) []string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

// secret reads the secret of a key that passed the checks.
func (p *parser) secret(section, key, path string, into *Secret) {
	if path == "" {
		return
	}
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(p.file), path)
	}
	value, found, want := readSecret(path)
	if found != "" {
		p.add(section, key, fmt.Sprintf("%s: %s", path, found), want)
		return
	}
	*into = value
}
