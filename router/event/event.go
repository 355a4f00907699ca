// Package event writes numbered log events.
//
// Each package defines its events as variables with Define. The number of an event
// never changes and is never reused; docs/EVENTS.md lists the numbers with cause and
// remedy. The ranges are 1000 process, 1100 ownership and lease, 1200 gate, admission
// and upstream, 1300 release notes, 1400 moves and placement, 1500 peers and members,
// 1600 forwarding, 1700 administration, 1800 and 1900 sidecar.
package event

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Event is the definition of a numbered log event.
type Event struct {
	Number int
	// Name is the short text of the event in log lines.
	Name  string
	Level log.Level
	// Cause describes to operators when the event is written.
	Cause string
	// Remedy describes what operators should do, "none" if nothing.
	Remedy string
}

var (
	registryMu sync.Mutex
	registry   = map[int]Event{}
)

// Define registers and returns an event. It panics if the number is already defined,
// so a duplicate fails every test run.
func Define(number int, level log.Level, name, cause, remedy string) Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if existing, ok := registry[number]; ok {
		panic(fmt.Sprintf("event number %d is defined as %q and as %q", number, existing.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Cause: cause, Remedy: remedy}
	registry[number] = e
	return e
}

// All returns the defined events, sorted by number.
func All() []Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := make([]Event, 0, len(registry))
	for _, e := range registry {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Event) int { return a.Number - b.Number })
	return all
}

// Field is one structured field of a log line.
type Field struct {
	Key   string
	Value any
}

// F returns the field with the key and the value.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Rate limit per event: at most maxLines lines are written per window. The first line
// of the next window reports how many were dropped.
const (
	window   = 10 * time.Second
	maxLines = 50
)

// Logger writes events as JSON lines, with a rate limit per event. The zero value and
// nil discard them. It is safe for concurrent use if its writer is.
type Logger struct {
	out *log.Logger

	mu     sync.Mutex
	counts map[int]*windowCount
	now    func() time.Time
}

// windowCount counts the lines of one event in the current window.
type windowCount struct {
	start   time.Time
	written int
	dropped int
}

// NewLogger returns a logger that writes events of the level and above to w.
func NewLogger(w io.Writer, level log.Level) *Logger {
	return &Logger{
		out:    &log.Logger{Level: level, Writer: &log.IOWriter{Writer: w}},
		counts: map[int]*windowCount{},
		now:    time.Now,
	}
}

// Log writes the event with the fields, unless the rate limit drops it.
func (l *Logger) Log(e Event, fields ...Field) {
	if l == nil || l.out == nil {
		return
	}
	dropped, ok := l.allow(e.Number)
	if !ok {
		return
	}
	entry := l.out.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number)
	if dropped > 0 {
		entry.Int("dropped_before", dropped)
	}
	for _, f := range fields {
		entry.Any(f.Key, f.Value)
	}
	entry.Msg(e.Name)
}

// allow counts a line of the event and reports whether it may be written. At the start
// of a window, dropped is the number of lines dropped in the previous one.
func (l *Logger) allow(number int) (dropped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := l.counts[number]
	if c == nil {
		c = &windowCount{start: now}
		l.counts[number] = c
	}
	if now.Sub(c.start) >= window {
		dropped = c.dropped
		*c = windowCount{start: now}
	}
	if c.written >= maxLines {
		c.dropped++
		return 0, false
	}
	c.written++
	return dropped, true
}

// asyncLines is the number of lines that NewAsyncLogger buffers while w blocks.
// Further lines are dropped.
const asyncLines = 1024

// NewAsyncLogger returns a logger whose writes never block: lines are buffered and
// written to w in the background, and dropped if the buffer is full. closeLog writes
// the buffered lines.
func NewAsyncLogger(w io.Writer, level log.Level) (l *Logger, closeLog func()) {
	async := &log.AsyncWriter{ChannelSize: asyncLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}
	l = NewLogger(w, level)
	l.out.Writer = async
	return l, func() { _ = async.Close() }
}
