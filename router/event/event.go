// Package event writes numbered log events.
//
// Each package defines its events as variables. A number names one event for
// good; docs/EVENTS.md lists the numbers with cause and remedy. Numbers:
// 1000 to 1099 process, 1100 ownership and lease, 1200 gate, admission and
// upstream, 1300 release notes, 1400 moves and placement, 1500 peers and
// members, 1600 forwarding, 1700 administration, 1800
// sidecar.
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
	// Cause tells operators when the event is written.
	Cause string
	// Remedy tells operators what to do; "none" when nothing is needed.
	Remedy string
}

var (
	registryMu sync.Mutex
	registry   = map[int]Event{}
)

// Define registers an event. It panics when the number is taken, so a clash
// shows in every test run.
func Define(number int, level log.Level, name, cause, remedy string) Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	if have, ok := registry[number]; ok {
		panic(fmt.Sprintf("event number %d is defined as %q and as %q", number, have.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Cause: cause, Remedy: remedy}
	registry[number] = e
	return e
}

// All returns the defined events by number.
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

// F returns a field.
func F(key string, value any) Field {
	return Field{Key: key, Value: value}
}

// Limits of a storm: within a window an event writes at most burst lines; the
// next window reports how many were dropped.
const (
	window = 10 * time.Second
	burst  = 50
)

// Logger writes events. The zero value and nil discard them.
type Logger struct {
	out *log.Logger

	mu     sync.Mutex
	counts map[int]*windowCount
	now    func() time.Time
}

type windowCount struct {
	start   time.Time
	written int
	dropped int
}

// NewLogger returns a logger that writes JSON lines of the level and above.
func NewLogger(w io.Writer, level log.Level) *Logger {
	return &Logger{
		out:    &log.Logger{Level: level, Writer: &log.IOWriter{Writer: w}},
		counts: map[int]*windowCount{},
		now:    time.Now,
	}
}

// Log writes the event with its fields.
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

// allow counts a line of the event and returns how many lines the previous
// window dropped.
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
	if c.written >= burst {
		c.dropped++
		return 0, false
	}
	c.written++
	return dropped, true
}

// asyncLines is the number of lines that wait for a slow reader of the log.
// Further lines are dropped.
const asyncLines = 1024

// NewAsyncLogger returns a logger whose writes never block: lines that the
// reader of w does not take in time are dropped. close writes what waits.
func NewAsyncLogger(w io.Writer, level log.Level) (l *Logger, closeLog func()) {
	async := &log.AsyncWriter{ChannelSize: asyncLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}
	l = NewLogger(w, level)
	l.out.Writer = async
	return l, func() { _ = async.Close() }
}
