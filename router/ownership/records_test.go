package ownership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"burdockglade.dev/router/errkind"
	"burdockglade.dev/router/keyspace"
)

// createGroups creates two groups of one holder, each with a standby and two
// shards.
func createGroups(t *testing.T, s *faultStore) (r *Records, one, two Group) {
	t.Helper()
	r = testRecords(t, s, "a")
	groups, err := r.Join(t.Context(), JoinRequest{
		Service: testService, Shards: 4, Holder: testHost("a", 1), Groups: 2,
		Standby: func() Host { return testHost("b", 2) },
	})
	if err != nil || len(groups) != 2 || len(groups[0].Shards) != 2 {
		t.Fatalf("join: %v, %v", groups, err)
	}
	return r, groups[0], groups[1]
}

// operations holds all operations that write rows, each applied once.
var operations = map[string]func(ctx context.Context, r *Records, one, two Group) error{
	"join": func(ctx context.Context, r *Records, _, _ Group) error {
		_, err := r.Join(ctx, JoinRequest{Service: testService, Holder: testHost("z", 9), Groups: 1})
		return err
	},
	"takeover": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.TakeOver(ctx, one, Host{}, true)
		return err
	},
	"takeover after the renewal deadline": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.TakeOverExpired(ctx, one, testHost("c", 3), Host{})
		return err
	},
	"declared lost": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.DeclareLost(ctx, one, testHost("c", 3), Host{})
		return err
	},
	"replacement": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.ReplaceStandby(ctx, one, testHost("c", 3))
		return err
	},
	"hand-over": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.Relinquish(ctx, one, testHost("c", 3))
		return err
	},
	"touch": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.RenewRow(ctx, one, JournalUnchanged)
		return err
	},
	"split": func(ctx context.Context, r *Records, one, _ Group) error {
		_, err := r.SplitShard(ctx, one, one.Shards[0].First+5)
		return err
	},
	"move": func(ctx context.Context, r *Records, one, two Group) error {
		_, _, err := r.MoveShards(ctx, one, two, one.Shards[:1])
		return err
	},
}

// Guards against a write that is reported as failed or takes effect twice when
// its request or its response is lost, even if the lost request arrives late.
func TestLostResponsesAreResolved(t *testing.T) {
	faults := map[string]func(s *faultStore){
		"response lost":       func(s *faultStore) { s.loseResponses = 1 },
		"two responses lost":  func(s *faultStore) { s.loseResponses = 2 },
		"request lost":        func(s *faultStore) { s.loseCalls = 2 },
		"request lost, late":  func(s *faultStore) { s.loseCalls, s.lostCallDelay = 1, time.Second },
		"request lost, early": func(s *faultStore) { s.loseCalls, s.lostCallDelay = 1, time.Millisecond },
	}
	for op, run := range operations {
		for fault, set := range faults {
			t.Run(op+"/"+fault, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newFaultStore()
					r, one, two := createGroups(t, s)
					s.set(set)
					if err := run(t.Context(), r, one, two); err != nil {
						t.Fatalf("reported %v", err)
					}
					time.Sleep(2 * time.Second)
					rows, err := r.List(t.Context(), testService)
					if err != nil {
						t.Fatal(err)
					}
					for _, g := range rows {
						if g.Version > one.Version+1 {
							t.Errorf("row has version %d, one write after %d", g.Version, one.Version)
						}
					}
				})
			})
		}
	}
}

// Guards against a write that is reported as not applied without proof, and
// against an endless wait.
func TestErrorKinds(t *testing.T) {
	for op, run := range operations {
		t.Run(op, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFaultStore()
				r, one, two := createGroups(t, s)
				s.set(func(s *faultStore) { s.loseCalls = 1000 })
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				err := run(ctx, r, one, two)
				var unknown *UnknownError
				if !errors.As(err, &unknown) || errkind.Of(err) != errkind.OutcomeUnknown {
					t.Errorf("all requests lost: %v", err)
				}
				s.set(func(s *faultStore) { s.loseCalls, s.unavailable = 0, true })
				if err := run(t.Context(), r, one, two); errkind.Of(err) != errkind.StoreUnavailable {
					t.Errorf("store unavailable: %v", err)
				}
			})
		})
	}
}

// Guards against an outcome of a lost write that is concluded from a newer row
// that proves nothing.
func TestOutcomeOfSupersededWrite(t *testing.T) {
	tests := []struct {
		name   string
		others func(r *Records, g Group) error // writes of other hosts after the loss
		lost   func(s *faultStore)
		want   any
	}{
		{"another write made the generation", func(r *Records, g Group) error {
			_, err := r.TakeOver(backgroundCtx, g, Host{}, true)
			return err
		}, func(s *faultStore) { s.loseCalls = 1 }, new(*ConflictError)},
		{"the generation after it exists", func(r *Records, g Group) error {
			n, err := r.Get(backgroundCtx, g.Service, g.ID)
			if err == nil {
				_, err = r.TakeOver(backgroundCtx, n, Host{}, true)
			}
			return err
		}, func(s *faultStore) { s.loseResponses = 1 }, new(*SupersededError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFaultStore()
				r, one, _ := createGroups(t, s)
				s.set(test.lost)
				time.AfterFunc(time.Millisecond, func() {
					if err := test.others(r, one); err != nil {
						t.Error(err)
					}
				})
				_, err := r.ReplaceStandby(t.Context(), one, testHost("c", 3))
				if !errors.As(err, test.want) {
					t.Fatalf("got %v, want %T", err, test.want)
				}
				if g, ok := NewestFromError(err, one.Service, one.ID); !ok || g.Holder.Name != "b" && g.Holder.Name != "c" {
					t.Errorf("newest row in the error: %v", g)
				}
			})
		})
	}
}

var backgroundCtx = context.Background()

// Guards against a takeover that fails because of a row renewal or a move, and
// against one that ignores a change of holder or standby.
func TestTakeOverRetriesWhileLeaseIsUnchanged(t *testing.T) {
	s := newFaultStore()
	r, one, two := createGroups(t, s)
	if _, _, err := r.MoveShards(backgroundCtx, two, one, two.Shards); err != nil {
		t.Fatal(err)
	}
	if _, err := r.RenewRow(backgroundCtx, one, JournalUnchanged); err != nil {
		t.Fatal(err)
	}
	g, err := r.TakeOver(backgroundCtx, one, testHost("c", 3), true)
	if err != nil {
		t.Fatal(err)
	}
	if len(g.Shards) != 4 || g.Generation != 2 || g.Holder.Name != "b" || g.Standby.Name != "c" || !g.JournalComplete {
		t.Errorf("took over %+v", g)
	}
	_, err = r.TakeOver(backgroundCtx, one, testHost("d", 4), true)
	if !errkind.Is(err, errkind.Conflict) {
		t.Errorf("takeover of an old generation: %v", err)
	}
	if _, err := r.DeclareLost(backgroundCtx, one, testHost("d", 4), Host{}); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("declared lost although the row changed: %v", err)
	}
}

// Guards against a journal that is considered complete after entries were lost.
func TestJournalCompleteness(t *testing.T) {
	s := newFaultStore()
	r, one, two := createGroups(t, s)
	one, err := r.TakeOver(backgroundCtx, one, testHost("a", 1), false)
	if err != nil || one.JournalComplete {
		t.Fatalf("takeover with an incomplete copy: %+v, %v", one, err)
	}
	_, two, err = r.MoveShards(backgroundCtx, one, two, one.Shards[:1])
	if err != nil || two.JournalComplete || !two.HolderSince.Equal(one.HolderSince) {
		t.Errorf("move from an incomplete journal: %+v, %v", two, err)
	}
	two, err = r.RenewRow(backgroundCtx, two, MarkJournalComplete)
	if err != nil || !two.JournalComplete {
		t.Errorf("after the window: %+v, %v", two, err)
	}
	two, err = r.Relinquish(backgroundCtx, two, testHost("c", 3))
	if err != nil || two.JournalComplete || !two.JournalUnverified || two.Holder.Name != "b" {
		t.Errorf("hand-over: %+v, %v", two, err)
	}
	two, err = r.TakeOver(backgroundCtx, two, Host{}, true)
	if err != nil || two.JournalComplete || two.JournalUnverified {
		t.Errorf("takeover from a holder that has not verified its copy: %+v, %v", two, err)
	}
	two, err = r.DeclareLost(backgroundCtx, two, testHost("d", 4), Host{})
	if err != nil || two.JournalComplete {
		t.Errorf("declared lost: %+v, %v", two, err)
	}
}

// Guards against two joins that both get the shards, and against writes of a
// group's row by a host that does not hold the group.
func TestJoinMoveSplitDelete(t *testing.T) {
	s := newFaultStore()
	r, one, two := createGroups(t, s)
	later, err := r.Join(backgroundCtx, JoinRequest{Service: testService, Shards: 4, Holder: testHost("c", 3), Groups: 2})
	if err != nil || len(later) != 2 || len(later[0].Shards) != 0 {
		t.Fatalf("later join: %v, %v", later, err)
	}
	at := two.Shards[0].First + 9
	two, err = r.SplitShard(backgroundCtx, two, at)
	hot, ok := keyspace.Find(two.Shards, at)
	if err != nil || !ok || hot.First != at || hot.Last != at || len(two.Shards) != 4 {
		t.Fatalf("split: %+v, %v", two, err)
	}
	if err := r.DeleteEmpty(backgroundCtx, two); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("deletion of a group with shards: %v", err)
	}
	two, one, err = r.MoveShards(backgroundCtx, two, one, two.Shards)
	if err != nil || len(two.Shards) != 0 || len(one.Shards) != 6 {
		t.Fatalf("move: %+v, %+v, %v", two, one, err)
	}
	if _, _, err := r.MoveShards(backgroundCtx, two, one, one.Shards[:1]); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("move of a shard that the source lacks: %v", err)
	}
	if err := r.DeleteEmpty(backgroundCtx, two); err != nil {
		t.Error(err)
	}
	if err := r.DeleteEmpty(backgroundCtx, two); err != nil {
		t.Errorf("second deletion: %v", err)
	}
	if _, err := r.RenewRow(backgroundCtx, two, JournalUnchanged); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("row renewal of a deleted group: %v", err)
	}
	newOwner, err := r.TakeOver(backgroundCtx, one, Host{}, true)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.MoveShards(backgroundCtx, one, later[0], one.Shards[:1]); !errkind.Is(err, errkind.Conflict) {
		t.Errorf("move by a host that lost the group: %v; row %+v", err, newOwner)
	}
}
