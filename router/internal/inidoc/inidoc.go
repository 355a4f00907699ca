// Package inidoc parses INI documents with the line number of every section and key,
// so that errors can refer to them. Values are parsed by gopkg.in/ini.v1, which does
// not report line numbers.
//
// The accepted format is strict: each line holds a section header, "key = value" or a
// comment; comments start with # or ; at the start of the line; there are no quotes
// around values, no continuation lines and no keys outside a section. Section and
// key names are case-sensitive.
package inidoc

import (
	"fmt"
	"regexp"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// Limits of a document.
const (
	MaxBytes     = 1 << 20
	maxLineBytes = 64 << 10
)

// Problem is an error in a document.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 means the document as a whole.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found describes what the document contains.
	Found string `json:"found"`
	// Want describes what is allowed.
	Want string `json:"want"`
}

// Error implements error. The format is "file:line: [section] key: found: want ...".
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	name := p.Key
	if p.Section != "" {
		name = strings.TrimSpace("[" + p.Section + "] " + p.Key)
	}
	if name != "" {
		location += ": " + name
	}
	return fmt.Sprintf("%s: %s: want %s", location, p.Found, p.Want)
}

// Problems is a list of problems that implements error.
type Problems []Problem

// Error implements error, with one problem per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// Key is one key of a section.
type Key struct {
	Name  string
	Line  int
	Value string
}

// Section is one section of a document.
type Section struct {
	Name string
	Line int
	Keys []Key
}

// Document is a parsed document with its sections in order.
type Document struct {
	File     string
	Sections []Section
}

var keyName = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// Parse parses a document. If there are problems, it returns them together with the
// sections and keys that it parsed, so that the caller can continue validation.
func Parse(file string, data []byte) (Document, Problems) {
	doc := Document{File: file}
	if len(data) > MaxBytes {
		return doc, Problems{{File: file, Found: fmt.Sprintf("%d bytes", len(data)), Want: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	if !utf8.Valid(data) || strings.ContainsRune(string(data), 0) {
		return doc, Problems{{File: file, Found: "bytes that are not text", Want: "UTF-8 without NUL"}}
	}
	s := scanner{doc: doc, lineOf: map[string]int{}}
	for i, line := range strings.Split(string(data), "\n") {
		s.scanLine(i+1, strings.TrimSpace(line))
	}
	if len(s.problems) == 0 {
		s.readValues(data)
	}
	return s.doc, s.problems
}

// scanner collects sections and keys with their lines.
type scanner struct {
	doc      Document
	problems Problems
	// lineOf holds the line of each section by its name, and of each key by
	// "section\x00key".
	lineOf map[string]int
	// skip is true in a duplicate or malformed section, whose keys would only report
	// the same problem again.
	skip bool
}

func (s *scanner) scanLine(n int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case len(text) > maxLineBytes:
		s.addProblem(n, "", fmt.Sprintf("a line of %d bytes", len(text)), fmt.Sprintf("at most %d bytes", maxLineBytes))
	case text[0] == '[':
		s.scanHeader(n, text)
	default:
		s.scanKey(n, text)
	}
}

func (s *scanner) scanHeader(n int, text string) {
	name, ok := strings.CutSuffix(text[1:], "]")
	name = strings.Join(strings.Fields(name), " ")
	s.skip = true
	if !ok || name == "" || strings.ContainsAny(name, "[]\"`'\\") || name == ini.DefaultSection {
		s.problems = append(s.problems, Problem{File: s.doc.File, Line: n, Found: fmt.Sprintf("malformed section header %q", text), Want: "[name]"})
		return
	}
	if firstLine, dup := s.lineOf[name]; dup {
		s.problems = append(s.problems, Problem{File: s.doc.File, Line: n, Section: name, Found: fmt.Sprintf("a duplicate section, first on line %d", firstLine), Want: "each section once"})
		return
	}
	s.skip = false
	s.lineOf[name] = n
	s.doc.Sections = append(s.doc.Sections, Section{Name: name, Line: n})
}

func (s *scanner) scanKey(n int, text string) {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !ok || !keyName.MatchString(name) {
		s.addProblem(n, "", fmt.Sprintf("malformed line %q", shorten(text)), "\"key = value\", a section header or a comment")
		return
	}
	if len(s.doc.Sections) == 0 {
		s.addProblem(n, name, "a key before the first section", "keys inside a section")
		return
	}
	if s.skip {
		return
	}
	if value != "" && strings.ContainsAny(value[:1], "\"'`") {
		s.addProblem(n, name, fmt.Sprintf("a quoted value %s", shorten(value)), "the value without quotes")
		return
	}
	section := &s.doc.Sections[len(s.doc.Sections)-1]
	id := section.Name + "\x00" + name
	if firstLine, dup := s.lineOf[id]; dup {
		s.addProblem(n, name, fmt.Sprintf("a duplicate key, first on line %d", firstLine), "each key once in a section")
		return
	}
	s.lineOf[id] = n
	section.Keys = append(section.Keys, Key{Name: name, Line: n, Value: value})
}

// addProblem adds a problem on line n in the current section.
func (s *scanner) addProblem(n int, key, found, want string) {
	p := Problem{File: s.doc.File, Line: n, Key: key, Found: found, Want: want}
	if len(s.doc.Sections) > 0 && !s.skip {
		p.Section = s.doc.Sections[len(s.doc.Sections)-1].Name
	}
	s.problems = append(s.problems, p)
}

// loadOptions disable all features of ini.v1 except "key = value".
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:     true,
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// readValues sets the values of all keys as parsed by ini.v1, whose result is
// authoritative, and reports keys that ini.v1 parses differently from scanner.
func (s *scanner) readValues(data []byte) {
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		s.problems = append(s.problems, Problem{File: s.doc.File, Found: err.Error(), Want: "an INI document"})
		return
	}
	byName := map[string]*ini.Section{}
	for _, section := range file.Sections() {
		byName[strings.Join(strings.Fields(section.Name()), " ")] = section
	}
	for i := range s.doc.Sections {
		section := &s.doc.Sections[i]
		for j := range section.Keys {
			key := &section.Keys[j]
			parsed, ok := byName[section.Name]
			if !ok || !parsed.HasKey(key.Name) {
				s.problems = append(s.problems, Problem{File: s.doc.File, Line: key.Line, Section: section.Name, Key: key.Name, Found: "an ambiguous line", Want: "\"key = value\""})
				continue
			}
			key.Value = strings.TrimSpace(parsed.Key(key.Name).Value())
		}
	}
}

// maxQuoted is the length in bytes to which quoted text of a document is truncated in
// messages.
const maxQuoted = 60

// shorten truncates text to maxQuoted bytes.
func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
}
