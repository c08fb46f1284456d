package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
)

// generationTest is a follower of a scripted store, and what it has passed on.
type generationTest struct {
	*testing.T
	now         time.Duration
	store       *scriptedSource
	follower    *Follower
	rows        []string
	restored    []string
	lapsed      []string
	lost        []string
	generations []int64
	confirmed   []time.Duration
}

func newGenerationTest(t *testing.T, keepsLost bool) *generationTest {
	g := &generationTest{T: t, now: 10 * time.Second, store: &scriptedSource{t: t}}
	o := Options{
		Source: g.store, LongPollWait: time.Second, Now: func() time.Duration { return g.now }, Log: &log.Logger{Handler: discard.New()},
		OnRow: func(r Row) {
			text := r.Key + "=" + string(r.Value)
			if r.Removed {
				text = r.Key + " removed"
			}
			if g.rows = append(g.rows, text); r.Restored {
				g.restored = append(g.restored, r.Key)
			}
		},
		OnLapsed:     func(key string, _ time.Duration) { g.lapsed = append(g.lapsed, key) },
		OnGeneration: func(generation int64) { g.generations = append(g.generations, generation) },
		OnConfirmed:  func(asked time.Duration) { g.confirmed = append(g.confirmed, asked) },
	}
	if keepsLost {
		o.OnLost = func(key string) { g.lost = append(g.lost, key) }
	}
	g.follower = New(o)
	return g
}

// play makes the follower take responses, as Run does.
func (g *generationTest) play(steps ...response) {
	g.Helper()
	g.rows, g.restored, g.confirmed = nil, nil, nil
	for g.store.steps = steps; len(g.store.steps) > 0; {
		switch err := g.follower.step(context.Background()); {
		case errors.Is(err, ErrHistoryDropped):
			g.follower.complete = false
		case err != nil:
			g.follower.storeFailed(err)
		}
	}
}

func snapshot(generation, version int64, rows ...Row) response {
	return response{all: true, page: Page{Rows: rows, Version: version, Generation: generation, Whole: true}}
}

func changes(generation, version int64, rows ...Row) response {
	return response{page: Page{Rows: rows, Version: version, Generation: generation}}
}

// When the store comes back from an older copy, its versions fall and are given out again.
// Changes must not be taken for known ones because of that, whether the store answers that
// it does not have the version, or its versions have overtaken it.
func TestRowsAreFollowedAfterARestore(t *testing.T) {
	tests := []struct {
		name   string
		notice []response
	}{
		{"the store does not have the version", []response{{err: ErrHistoryDropped}}},
		{"only the generation tells", []response{changes(2, 30, row("b", 29, "b3"))}},
		{"the same version", []response{changes(2, 20)}},
		{"the store was down", []response{{err: errors.New("down")}, changes(2, 12)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGenerationTest(t, false)
			g.play(snapshot(1, 10, row("a", 3, "a1"), row("b", 4, "b1"), row("c", 5, "c1")),
				changes(1, 20, row("a", 18, "a2"), Row{Key: "c", Version: 19, Removed: true}, row("d", 20, "d1")))
			require.Equal(t, []string{"a=a1", "b=b1", "c=c1", "a=a2", "c removed", "d=d1"}, g.rows)
			g.play(tt.notice...)
			require.Empty(t, g.rows)
			g.play(snapshot(2, 12, row("a", 3, "a1"), row("b", 4, "b1"), row("c", 5, "c1")))
			require.Equal(t, []string{"a=a1", "c=c1"}, g.rows, "rows that differ from what is known")
			require.Equal(t, []string{"a", "c"}, g.restored)
			require.Equal(t, []string{"d"}, g.lapsed)
			require.Equal(t, []int64{1, 2}, g.generations)
			g.play(changes(2, 14, row("a", 13, "a3"), Row{Key: "b", Version: 14, Removed: true}))
			require.Equal(t, []string{"a=a3"}, g.rows)
			require.Equal(t, []string{"d", "b"}, g.lapsed, "removed within the time to come back")
			require.Empty(t, g.restored)
		})
	}
}

// A late response of an earlier generation must not undo a restore, nor confirm anything.
func TestResponsesOfAnEarlierGenerationAreErrors(t *testing.T) {
	g := newGenerationTest(t, false)
	g.play(snapshot(3, 10, row("a", 3, "a1")))
	g.play(changes(2, 40, row("a", 40, "old")))
	require.Empty(t, g.rows)
	require.Empty(t, g.confirmed)
	require.True(t, g.follower.storeDown)
	g.play(response{err: ErrHistoryDropped}, snapshot(2, 50, row("a", 40, "old")), snapshot(3, 11, row("a", 11, "a2")))
	require.Equal(t, []string{"a=a2"}, g.rows)
	require.Equal(t, []int64{3}, g.generations)
}

// What an operator declared stays in force although a restored store lacks it: it is written
// again, or removed, by the operator.
func TestRowsLostInARestoreAreNotRemoved(t *testing.T) {
	g := newGenerationTest(t, true)
	g.play(snapshot(1, 10, row("a", 3, "a1"), row("b", 9, "b1")))
	g.play(changes(2, 8), snapshot(2, 8, row("a", 3, "a1")))
	require.Empty(t, g.rows)
	require.Empty(t, g.lapsed)
	require.Equal(t, []string{"b"}, g.lost)
	g.play(changes(2, 9, row("b", 9, "b1")))
	require.Equal(t, []string{"b=b1"}, g.rows, "the version was given out before")
}

// One restore may follow during the recovery from another.
func TestRestoresInARow(t *testing.T) {
	g := newGenerationTest(t, false)
	g.play(snapshot(1, 10, row("a", 3, "a1"), row("b", 9, "b1")))
	g.play(changes(2, 8), snapshot(3, 5, row("a", 3, "a1")), changes(4, 5), snapshot(4, 6, row("a", 6, "a2"), row("b", 5, "b1")))
	require.Equal(t, []string{"a=a2", "b=b1"}, g.rows)
	require.Equal(t, []int64{1, 3, 4}, g.generations)
	require.Equal(t, Cursor{Generation: 4, Version: 6}, g.follower.replica.position())
}

// A VM of an earlier generation must not overwrite rows of a later one, and one of a later
// generation passes all rows on, so that not all VMs read the table from the store at once.
func TestRowsOfAnotherVMAfterARestore(t *testing.T) {
	served := func(generation, version int64, rows ...Row) *replicaSource {
		s := &replicaSource{replica: newReplica(func() time.Duration { return 10 * time.Second }, testMaxAge)}
		s.replica.begin(Cursor{Generation: generation})
		for _, r := range rows {
			s.replica.put(r)
		}
		s.replica.advance(version, 10*time.Second, true)
		return s
	}
	tests := []struct {
		name  string
		relay *replicaSource
		rows  []string
		asks  bool
	}{
		{"of the same generation", served(2, 21, row("a", 21, "new")), []string{"a=new"}, false},
		{"of an earlier one", served(1, 90, row("a", 90, "old")), nil, true},
		{"of a later one", served(3, 7, row("a", 5, "restored")), []string{"a=restored"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGenerationTest(t, false)
			g.play(snapshot(2, 20, row("a", 20, "known"), row("b", 3, "b1")))
			g.follower.options.Relay = func() Source { return tt.relay }
			g.rows = nil
			if tt.asks {
				g.store.steps = []response{changes(2, 20)}
			}
			require.NoError(t, g.follower.step(context.Background()))
			require.Empty(t, g.store.steps)
			require.Equal(t, tt.rows, g.rows)
			require.Equal(t, tt.asks, g.follower.ReadsFromStore())
		})
	}
}

// A VM that has read the table does not know which rows were removed before. Another one
// that missed a removal must read the table again, or would keep the row for good.
func TestRemovalsBeforeTheFirstTableAreNotHidden(t *testing.T) {
	g := newGenerationTest(t, false)
	g.play(snapshot(0, 10, row("a", 3, "a1")))
	page, err := g.follower.Serve(context.Background(), false, Cursor{Version: 8}, 0)
	require.NoError(t, err)
	require.True(t, page.Whole)
	_, err = g.follower.Serve(context.Background(), false, Cursor{Generation: GenerationUnknown, Version: 8}, 0)
	require.ErrorIs(t, err, ErrHistoryDropped)
	page, err = g.follower.Serve(context.Background(), false, Cursor{Version: 10}, 0)
	require.NoError(t, err)
	require.Empty(t, page.Rows)
}

// countedStore is the table of a store in a fleet test.
type countedStore struct {
	replica            *replica
	snapshots, changes int
}

func (s *countedStore) Snapshot(ctx context.Context) (Page, error) {
	s.snapshots++
	return s.replica.serve(ctx, true, Cursor{Generation: GenerationUnknown}, 0)
}

func (s *countedStore) Changes(ctx context.Context, after Cursor, wait time.Duration) (Page, error) {
	s.changes++
	if now := s.replica.position(); now.Generation != after.Generation && now.Version < after.Version {
		return Page{}, ErrHistoryDropped
	}
	return s.replica.serve(ctx, false, Cursor{Generation: GenerationUnknown, Version: after.Version}, wait)
}

// A restore must cost the store a read of the table for each zone, not for each VM, or a large
// fleet exceeds its rate at once.
func TestRestoreCostsTheStoreOneReadOfTheTablePerZone(t *testing.T) {
	tests := []struct{ vms, zones int }{{6, 2}, {95, 6}, {390, 14}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.vms, " VMs"), func(t *testing.T) {
			now := 10 * time.Second
			clock := func() time.Duration { return now }
			store := &countedStore{replica: newReplica(clock, time.Hour)}
			fill := func(generation, version int64, value string) {
				store.replica.begin(Cursor{Generation: generation, Version: version})
				store.replica.put(row("a", version, value))
				store.replica.advance(version, now, true)
			}
			values := make([]string, tt.vms)
			followers := make([]*Follower, tt.vms)
			for i := range followers {
				o := Options{
					Source: store, Now: clock, Log: &log.Logger{Handler: discard.New()},
					OnRow: func(r Row) { values[i] = string(r.Value) }, OnLapsed: func(string, time.Duration) {}, OnConfirmed: func(time.Duration) {},
				}
				if leader := i % tt.zones; leader != i {
					o.Relay = func() Source { return &replicaSource{replica: followers[leader].replica} }
				}
				followers[i] = New(o)
			}
			play := func() (snapshots, changes int) {
				store.snapshots, store.changes = 0, 0
				for range 5 {
					now += time.Millisecond
					for _, f := range followers {
						if err := f.step(context.Background()); errors.Is(err, ErrHistoryDropped) {
							f.complete = false
						} else {
							require.NoError(t, err)
						}
					}
				}
				return store.snapshots, store.changes
			}
			fill(1, 100, "first")
			play()
			snapshots, before := play()
			require.Zero(t, snapshots)
			fill(2, 40, "restored")
			snapshots, after := play()
			require.Equal(t, tt.zones, snapshots)
			require.LessOrEqual(t, after, before)
			for _, v := range values {
				require.Equal(t, "restored", v)
			}
			t.Logf("%d VMs in %d zones: %d reads of changes in five rounds before; %d and %d of the whole table after", tt.vms, tt.zones, before, after, snapshots)
		})
	}
}
