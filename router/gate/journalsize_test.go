package gate

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"
)

// Guards against a field that moves the journal's entries to the next size class
// of the allocator, and against a detail that is retained after the end of the
// attempt without need.
func TestJournalEntrySize(t *testing.T) {
	if size := unsafe.Sizeof(record{}); size > 80 {
		t.Errorf("an entry has %d bytes, want at most 80", size)
	}
	j := NewJournal(JournalLimits{}, 0)
	lost, done, kept := mustBegin(t, j, epoch, "lost"), mustBegin(t, j, epoch, "done"), mustBegin(t, j, epoch, "kept")
	j.MarkUnknown(epoch, lost)
	j.MarkDone(epoch, done, nil)
	j.MarkDone(epoch, kept, storedResponse("a"))
	if lost.detail != nil || done.detail != nil || kept.response() == nil {
		t.Error("an ended entry without a response still has its detail, or a response is lost")
	}
}

// BenchmarkJournalMemory reports the memory per entry of a full journal of distinct
// keys, after a garbage collection.
func BenchmarkJournalMemory(b *testing.B) {
	for name, fill := range map[string]func(entries int) *Journal{"holder": fullJournal, "standby": fullCopy} {
		b.Run(name, func(b *testing.B) {
			const entries = DefaultJournalEntries
			var total uint64
			for b.Loop() {
				before := heapInUse()
				j := fill(entries)
				total += heapInUse() - before
				runtime.KeepAlive(j)
			}
			b.ReportMetric(float64(total)/float64(b.N)/entries, "B/entry")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// fullJournal returns the journal of a holder whose work has ended.
func fullJournal(entries int) *Journal {
	j := NewJournal(JournalLimits{Entries: entries}, 0)
	for i := range entries {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		rec, _, err := j.Begin(now, attemptOf(fmt.Sprint(i)))
		if err != nil {
			panic(err)
		}
		j.MarkDone(now, rec, nil)
	}
	return j
}

// fullCopy returns the copy of such a journal at a standby.
func fullCopy(entries int) *Journal {
	j := NewJournal(JournalLimits{Entries: entries}, 0)
	for i := range entries {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		j.Merge(now, "s", "g", []JournalEntry{{
			ID: HashIdempotencyKey(fmt.Sprint(i)), Fingerprint: HashIdempotencyKey("f"), Hash: 100, State: Done, Attempt: uint64(i),
		}}, time.Hour)
	}
	return j
}
