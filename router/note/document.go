package note

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/internal/inidoc"
)

// Problem is one error in a release note: file, line, section, key, what was
// found and what is allowed.
type Problem = inidoc.Problem

// Problems are all errors in a release note. An error of kind
// errkind.NoteInvalid wraps them.
type Problems = inidoc.Problems

// Op is an operation of a release note on a service.
type Op string

// The operations.
const (
	Add      Op = "add"
	Alter    Op = "change"
	Withdraw Op = "withdraw"
)

// Note is a release note: changes to services, relative to one version.
type Note struct {
	Title string
	// Base is the version that the changes are relative to; 0 before the first
	// note.
	Base    int64
	Changes []Change
	// file and baseLine locate problems that only Check and Apply find.
	file     string
	baseLine int
}

// Change is one section of a release note.
type Change struct {
	Op      Op
	Service string
	// Keys are the keys of the section, in the order of the document.
	Keys []KeyValue
	line int
}

// KeyValue is one key of a section and its value as text.
type KeyValue struct {
	Key   string
	Value string
	line  int
}

// Limits of a release note.
const (
	// MaxServices limits the size of a configuration, because every router
	// reads all of it at each poll: 128 services make a row of 3.9 KB, which is
	// 1.1 KB/s per host at a poll interval of 5s.
	MaxServices   = 128
	maxTitleRunes = 200
)

var servicePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const (
	serviceWant = "a name of 1 to 63 characters out of a-z, 0-9, dot, hyphen and underscore, the first a letter or digit"
	sectionWant = "[note], [add service NAME], [change service NAME] or [withdraw service NAME]"
)

// ValidService reports whether name is a valid service name.
func ValidService(name string) bool {
	return servicePattern.MatchString(name)
}

// Parse parses a release note and performs all checks that need no
// configuration. The error has the kind NoteInvalid and wraps Problems.
func Parse(file string, data []byte) (Note, error) {
	doc, problems := inidoc.Parse(file, data)
	p := &noteParser{note: Note{file: file}, problems: problems, seen: map[string]int{}}
	for _, section := range doc.Sections {
		p.section(section)
	}
	p.finish()
	slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	if err := invalid(p.problems); err != nil {
		return Note{}, err
	}
	return p.note, nil
}

// invalid returns the problems as an error of kind NoteInvalid, or nil.
func invalid(problems Problems) error {
	if len(problems) == 0 {
		return nil
	}
	return errkind.New(errkind.NoteInvalid, "%w", problems)
}

// noteParser builds a note from its sections and collects the problems found.
type noteParser struct {
	note     Note
	problems Problems
	hasNote  bool
	// seen maps a service to the line of its section.
	seen map[string]int
}

func (p *noteParser) addProblem(line int, section, key, found, want string) {
	p.problems = append(p.problems, Problem{File: p.note.file, Line: line, Section: section, Key: key, Found: found, Want: want})
}

// section parses a section [note] or a section with a change of a service.
func (p *noteParser) section(s inidoc.Section) {
	if s.Name == "note" {
		p.header(s)
		return
	}
	words := strings.Fields(s.Name)
	if len(words) != 3 || words[1] != "service" {
		p.addProblem(s.Line, s.Name, "", "an unknown section", sectionWant)
		return
	}
	op, name := Op(words[0]), words[2]
	if op != Add && op != Alter && op != Withdraw {
		p.addProblem(s.Line, s.Name, "", "an unknown section", sectionWant)
		return
	}
	if !ValidService(name) {
		p.addProblem(s.Line, s.Name, "", fmt.Sprintf("service %q", name), serviceWant)
		return
	}
	if first, ok := p.seen[name]; ok {
		p.addProblem(s.Line, s.Name, "", fmt.Sprintf("service %s for the second time, first on line %d", name, first), "one section for each service")
		return
	}
	p.seen[name] = s.Line
	change := Change{Op: op, Service: name, line: s.Line}
	p.keys(s, &change)
	p.note.Changes = append(p.note.Changes, change)
}

// header parses the section [note].
func (p *noteParser) header(s inidoc.Section) {
	p.hasNote = true
	found := map[string]bool{}
	for _, k := range s.Keys {
		found[k.Name] = true
		switch k.Name {
		case "title":
			p.title(s, k)
		case "base":
			p.base(s, k)
		default:
			p.addProblem(k.Line, s.Name, k.Name, "an unknown key", "one of title, base")
		}
	}
	if !found["title"] {
		p.addProblem(s.Line, s.Name, "title", "no value", titleWant)
	}
	if !found["base"] {
		p.addProblem(s.Line, s.Name, "base", "no value", baseWant)
	}
}

const (
	titleWant = "one line of text, up to 200 characters"
	baseWant  = "the version that the note is written against, 0 or higher"
)

func (p *noteParser) title(s inidoc.Section, k inidoc.Key) {
	if k.Value == "" || utf8.RuneCountInString(k.Value) > maxTitleRunes {
		p.addProblem(k.Line, s.Name, k.Name, fmt.Sprintf("%d characters", utf8.RuneCountInString(k.Value)), titleWant)
		return
	}
	p.note.Title = k.Value
}

func (p *noteParser) base(s inidoc.Section, k inidoc.Key) {
	v, err := strconv.ParseInt(k.Value, 10, 64)
	if err != nil || v < 0 {
		p.addProblem(k.Line, s.Name, k.Name, fmt.Sprintf("%q", k.Value), baseWant)
		return
	}
	p.note.Base = v
	p.note.baseLine = k.Line
}

// keys parses the keys of a service's section and checks each of them alone.
func (p *noteParser) keys(s inidoc.Section, change *Change) {
	for _, k := range s.Keys {
		if change.Op == Withdraw {
			p.addProblem(k.Line, s.Name, k.Name, "a key", "no keys in a section that withdraws a service")
			continue
		}
		def, ok := findKey(k.Name)
		if !ok {
			p.addProblem(k.Line, s.Name, k.Name, "an unknown key", "one of "+strings.Join(KeyNames(), ", "))
			continue
		}
		var scratch Service
		if !def.set(&scratch, k.Value) {
			p.addProblem(k.Line, s.Name, k.Name, fmt.Sprintf("%q", k.Value), def.want)
			continue
		}
		change.Keys = append(change.Keys, KeyValue{Key: k.Name, Value: k.Value, line: k.Line})
	}
	if change.Op == Alter && len(s.Keys) == 0 {
		p.addProblem(s.Line, s.Name, "", "no keys", "the keys that change")
	}
	if change.Op == Add && !slices.ContainsFunc(s.Keys, func(k inidoc.Key) bool { return k.Name == "kind" }) {
		p.addProblem(s.Line, s.Name, "kind", "no value", serviceKeys[0].want+": a takeover is safe only when the kind fits the upstreams")
	}
}

// finish checks that nothing is missing. It does nothing if there are problems
// already, because they may be the reason.
func (p *noteParser) finish() {
	if len(p.problems) > 0 {
		return
	}
	if !p.hasNote {
		p.addProblem(0, "note", "", "no such section", "[note] with title and base")
	}
	if len(p.note.Changes) == 0 {
		p.addProblem(0, "", "", "no changes", "at least one section that adds, changes or withdraws a service")
	}
}

// Render returns the note as text in canonical form: sections sorted by operation
// and service, keys in the order of KeyNames, values in their shortest form.
func Render(n Note) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[note]\ntitle = %s\nbase = %d\n", n.Title, n.Base)
	changes := slices.Clone(n.Changes)
	slices.SortFunc(changes, func(a, c Change) int {
		if a.Op != c.Op {
			return strings.Compare(string(a.Op), string(c.Op))
		}
		return strings.Compare(a.Service, c.Service)
	})
	for _, c := range changes {
		renderChange(&b, c)
	}
	return []byte(b.String())
}

func renderChange(b *strings.Builder, c Change) {
	fmt.Fprintf(b, "\n[%s service %s]\n", c.Op, c.Service)
	for _, def := range serviceKeys {
		i := slices.IndexFunc(c.Keys, func(k KeyValue) bool { return k.Key == def.name })
		if i < 0 {
			continue
		}
		var s Service
		def.set(&s, c.Keys[i].Value)
		fmt.Fprintf(b, "%s\n", strings.TrimSpace(def.name+" = "+def.get(s)))
	}
}
