package node

import (
	"errors"
	"testing"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/move"
)

// Guards against a move of unknown outcome that is reported as not applied, and
// against errors that hide the store or the target as their cause.
func TestMoveError(t *testing.T) {
	for _, c := range []struct {
		result move.Result
		want   errkind.Kind
	}{
		{move.Result{Outcome: move.Unknown, Reason: move.ReasonStopped, Err: errors.New("x")}, errkind.OutcomeUnknown},
		{move.Result{Outcome: move.NotApplied, Reason: move.ReasonWriteFailed, Err: errkind.New(errkind.StoreUnavailable, "x")}, errkind.StoreUnavailable},
		{move.Result{Outcome: move.NotApplied, Reason: move.ReasonRefused, Err: errkind.New(errkind.PeerUnreachable, "x")}, errkind.PeerUnreachable},
		{move.Result{Outcome: move.NotApplied, Reason: move.ReasonDrainTimeout}, errkind.Conflict},
	} {
		if got := errkind.Of(moveError(c.result)); got != c.want {
			t.Errorf("%+v: kind %s, want %s", c.result, got, c.want)
		}
	}
	if err := moveError(move.Result{Outcome: move.Applied}); err != nil {
		t.Error(err)
	}
}
