// Package responsehead checks the heads of HTTP/1.1 responses before they are parsed. net/http
// reads more than the protocol allows: it takes any three digits for a status, keeps field
// names with blanks, joins continued lines, and resolves contradictions about the length of
// a body by itself. A server that sends such a head is in trouble, so that nothing of its
// response can be believed, not even where the body ends.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// ErrBroken is wrapped by the errors of heads that are not allowed by HTTP/1.1 (RFC 9112).
var ErrBroken = errors.New("broken head of a response")

const (
	// minStatus and MaxStatus bound the status codes that have a meaning (RFC 9110, section 15).
	minStatus = 100
	MaxStatus = 599
)

// maxQuoted is the number of bytes of a line that an error quotes.
const maxQuoted = 60

// Checker checks one head while it arrives. The zero value is ready for use.
type Checker struct {
	// checked is the number of bytes in the lines that have been checked.
	checked int
	started bool
	head    head
}

// head is what the lines of a head say about its body.
type head struct {
	status int
	http10 bool
	// hasLength and hasCoding are true if there are the fields Content-Length and
	// Transfer-Encoding, and announcesBody if one of them announces a body.
	hasLength, hasCoding, announcesBody bool
}

// Check checks what has arrived of the head at the start of data. data holds all bytes that
// were passed to the last call, and more. size is the length of the head in bytes with its
// empty line, or 0 if it is not complete yet. A broken head is an error as soon as the line
// that breaks it is complete.
func (c *Checker) Check(data []byte) (size int, err error) {
	for {
		line, _, complete := bytes.Cut(data[c.checked:], []byte("\n"))
		if !complete {
			return 0, c.checkBeginning(line)
		}
		c.checked += len(line) + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		switch {
		case !c.started:
			c.started = true
			err = c.head.readStatusLine(line)
		case len(line) == 0:
			return c.checked, c.head.checkFraming()
		default:
			err = c.head.readField(line)
		}
		if err != nil {
			return 0, err
		}
	}
}

// Interim reports whether the checked head is that of an interim (1xx) response, which another
// head follows.
func (c *Checker) Interim() bool {
	return c.head.status < http.StatusOK
}

// versionPrefix is the beginning of each head.
const versionPrefix = "HTTP/1."

// checkBeginning returns an error if the incomplete first line cannot become a status line,
// so that bytes without a line end need not be awaited.
func (c *Checker) checkBeginning(line []byte) error {
	n := min(len(line), len(versionPrefix))
	if !c.started && string(line[:n]) != versionPrefix[:n] {
		return broken("status line", line)
	}
	return nil
}

// readStatusLine reads "HTTP/1.1 200 OK". The reason and the blank before it may be missing.
func (h *head) readStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	h.http10 = string(version) == "HTTP/1.0"
	if (!h.http10 && string(version) != "HTTP/1.1") || !isValue(reason) {
		return broken("status line", line)
	}
	if h.status = parseStatus(code); h.status < minStatus || h.status > MaxStatus {
		return broken("status", line)
	}
	if h.status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status 101, and no other protocol was asked for", ErrBroken)
	}
	return nil
}

// parseStatus returns the number that three digits stand for, or 0 for anything else.
func parseStatus(code []byte) int {
	if len(code) != 3 {
		return 0
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = 10*status + int(digit-'0')
	}
	return status
}

// readField reads a field line. A line that begins with a blank once continued the one before
// it. Senders must no longer write such lines, so that it is more likely a broken name.
func (h *head) readField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case !found || !isToken(name):
		return broken("field name", line)
	case !isValue(value):
		return broken("field value", line)
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
		h.announcesBody = h.announcesBody || string(bytes.Trim(value, " \t")) != "0"
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasCoding, h.announcesBody = true, true
	}
	return nil
}

// checkFraming returns an error if the fields contradict each other, or the status, about the
// body. The values of the fields are left to net/http.
func (h *head) checkFraming() error {
	bodiless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case h.hasCoding && h.hasLength:
		return fmt.Errorf("%w: both Content-Length and Transfer-Encoding", ErrBroken)
	case h.hasCoding && h.http10:
		return fmt.Errorf("%w: Transfer-Encoding in HTTP/1.0", ErrBroken)
	case bodiless && h.announcesBody:
		return fmt.Errorf("%w: a body is announced, and status %d has none", ErrBroken, h.status)
	}
	return nil
}

// CheckTrailer returns an error if the name of a field behind a body in chunks is broken.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !ValidName(name) {
			return broken("name of a trailer field", []byte(name))
		}
	}
	return nil
}

// ValidName reports whether name is the name of a field.
func ValidName(name string) bool {
	return isToken([]byte(name))
}

// ValidValue reports whether value may be the value of a field.
func ValidValue(value string) bool {
	return isValue([]byte(value))
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	return len(text) > 0 && !slices.ContainsFunc(text, func(c byte) bool {
		alphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		return !alphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0
	})
}

// isValue reports whether text has no control characters other than tabs.
func isValue(text []byte) bool {
	return !slices.ContainsFunc(text, func(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

func broken(what string, line []byte) error {
	return fmt.Errorf("%w: %s in %q", ErrBroken, what, line[:min(len(line), maxQuoted)])
}
