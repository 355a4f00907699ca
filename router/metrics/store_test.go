package metrics

import (
	"errors"
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"burdockglade.dev/stores/object"
	"burdockglade.dev/stores/table"
)

// Guards against an outage that is counted as ordinary responses, and against lost
// responses that are counted as an outage.
func TestStoreOutcomes(t *testing.T) {
	for err, want := range map[error]string{
		nil:                       "ok",
		table.ErrNotFound:         "not_found",
		object.ErrNotFound:        "not_found",
		table.ErrConflict:         "conflict",
		object.ErrExists:          "conflict",
		table.ErrUnavailable:      "unavailable",
		object.ErrUnavailable:     "unavailable",
		table.ErrOutcomeUnknown:   "unknown",
		errors.New("a new error"): "error",
	} {
		if err != nil {
			err = fmt.Errorf("wrapped: %w", err)
		}
		if got := storeOutcome(err); got != want {
			t.Errorf("%v: got %s, want %s", err, got, want)
		}
	}
}

// Guards against a wrapper that changes the behaviour of the store.
func TestTimedTablePreservesResults(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	store := TimedTable(table.NewMemory(), scope)
	if _, err := store.Get(t.Context(), "a"); !errors.Is(err, table.ErrNotFound) {
		t.Errorf("absent row: %v", err)
	}
	revision, err := store.Commit(t.Context(), table.Txn{ID: "t", Writes: []table.Write{{Key: "a", Value: []byte("v")}}})
	if err != nil {
		t.Fatal(err)
	}
	if row, err := store.Get(t.Context(), "a"); err != nil || row.Version != revision {
		t.Errorf("row %+v, %v", row, err)
	}
	if rows, err := store.Scan(t.Context(), "", "", 10); err != nil || len(rows) != 1 {
		t.Errorf("rows %v, %v", rows, err)
	}
	if n := len(scope.Snapshot().Histograms()); n != 4 {
		t.Errorf("%d histograms, want 4", n)
	}
}
