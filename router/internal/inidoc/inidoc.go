// Package inidoc reads INI documents with the line of every section and key,
// so that errors can point at them. Values come from gopkg.in/ini.v1, which
// keeps no line numbers.
//
// The accepted form is narrow: one section header, one "key = value" or one
// comment a line, comments start with # or ; at the start of a line, no quotes
// around values, no continuation lines and no keys outside a section. Section
// and key names are case-sensitive.
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

// Problem is one fault of a document.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1; 0 means the document as a whole.
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Found says what the document holds.
	Found string `json:"found"`
	// Want says what is allowed.
	Want string `json:"want"`
}

// Error implements error. The form is "file:line: [section] key: found: want".
func (p Problem) Error() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	name := p.Key
	if p.Section != "" {
		name = strings.TrimSpace("[" + p.Section + "] " + p.Key)
	}
	if name != "" {
		place += ": " + name
	}
	return fmt.Sprintf("%s: %s: want %s", place, p.Found, p.Want)
}

// Problems is a list of faults as one error.
type Problems []Problem

// Error implements error with one problem a line.
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

// Parse reads the document. On problems it returns the part that it
// understood together with the problems, so that a caller can go on checking.
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
		s.line(i+1, strings.TrimSpace(line))
	}
	if len(s.problems) == 0 {
		s.readValues(data)
	}
	return s.doc, s.problems
}

// scanner finds the lines of sections and keys.
type scanner struct {
	doc      Document
	problems Problems
	// lineOf holds the line of each section and, under "section\x00key", of
	// each key.
	lineOf map[string]int
	// skip is set inside a repeated or malformed section, whose keys would
	// only repeat the same problem.
	skip bool
}

func (s *scanner) line(n int, text string) {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
	case len(text) > maxLineBytes:
		s.add(n, "", fmt.Sprintf("a line of %d bytes", len(text)), fmt.Sprintf("at most %d bytes", maxLineBytes))
	case text[0] == '[':
		s.header(n, text)
	default:
		s.key(n, text)
	}
}

func (s *scanner) header(n int, text string) {
	name, ok := strings.CutSuffix(text[1:], "]")
	name = strings.Join(strings.Fields(name), " ")
	s.skip = true
	if !ok || name == "" || strings.ContainsAny(name, "[]\"`'\\") || name == ini.DefaultSection {
		s.problems = append(s.problems, Problem{File: s.doc.File, Line: n, Found: fmt.Sprintf("malformed section header %q", text), Want: "[name]"})
		return
	}
	if first, dup := s.lineOf[name]; dup {
		s.problems = append(s.problems, Problem{File: s.doc.File, Line: n, Section: name, Found: fmt.Sprintf("a repeated section, first on line %d", first), Want: "each section once"})
		return
	}
	s.skip = false
	s.lineOf[name] = n
	s.doc.Sections = append(s.doc.Sections, Section{Name: name, Line: n})
}

func (s *scanner) key(n int, text string) {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !ok || !keyName.MatchString(name) {
		s.add(n, "", fmt.Sprintf("malformed line %q", shorten(text)), "\"key = value\", a section header or a comment")
		return
	}
	if len(s.doc.Sections) == 0 {
		s.add(n, name, "a key before the first section", "keys inside a section")
		return
	}
	if s.skip {
		return
	}
	if value != "" && strings.ContainsAny(value[:1], "\"'`") {
		s.add(n, name, fmt.Sprintf("a quoted value %s", shorten(value)), "the value without quotes")
		return
	}
	section := &s.doc.Sections[len(s.doc.Sections)-1]
	id := section.Name + "\x00" + name
	if first, dup := s.lineOf[id]; dup {
		s.add(n, name, fmt.Sprintf("a repeated key, first on line %d", first), "each key once in a section")
		return
	}
	s.lineOf[id] = n
	section.Keys = append(section.Keys, Key{Name: name, Line: n, Value: value})
}

func (s *scanner) add(n int, key, found, want string) {
	p := Problem{File: s.doc.File, Line: n, Key: key, Found: found, Want: want}
	if len(s.doc.Sections) > 0 && !s.skip {
		p.Section = s.doc.Sections[len(s.doc.Sections)-1].Name
	}
	s.problems = append(s.problems, p)
}

// loadOptions turn off everything that ini.v1 does beyond "key = value".
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:     true,
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
}

// readValues takes the values from ini.v1, which is the reader of record, and
// reports a document that it reads differently.
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
			read, ok := byName[section.Name]
			if !ok || !read.HasKey(key.Name) {
				s.problems = append(s.problems, Problem{File: s.doc.File, Line: key.Line, Section: section.Name, Key: key.Name, Found: "an ambiguous line", Want: "\"key = value\""})
				continue
			}
			key.Value = strings.TrimSpace(read.Key(key.Name).Value())
		}
	}
}

// maxQuoted is the length at which a quoted part of a document is cut in
// messages.
const maxQuoted = 60

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
}
