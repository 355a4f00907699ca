package gate

import (
	"fmt"
	"runtime"
	"testing"
	"time"
	"unsafe"
)

// Guards against a field that makes every entry of the journal larger by a size
// class of the allocator, and against details that stay after the end.
func TestJournalEntrySize(t *testing.T) {
	if size := unsafe.Sizeof(record{}); size > 80 {
		t.Errorf("an entry has %d bytes, want at most 80", size)
	}
	j := NewJournal(JournalLimits{}, 0)
	lost, done, kept := mustBegin(t, j, epoch, "lost"), mustBegin(t, j, epoch, "done"), mustBegin(t, j, epoch, "kept")
	j.MarkUnknown(epoch, lost)
	j.MarkDone(epoch, done, nil)
	j.MarkDone(epoch, kept, keptOf("a"))
	if lost.detail != nil || done.detail != nil || kept.answer() == nil {
		t.Error("an ended entry without an answer keeps its details, or an answer is lost")
	}
}

// BenchmarkJournalMemory reports the memory of a full journal per entry, from
// distinct keys and after the collection of garbage.
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

// fullJournal is the journal of a holder whose work has ended.
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

// fullCopy is the copy of a standby.
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
