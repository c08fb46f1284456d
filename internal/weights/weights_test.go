package weights

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/marjoramrock/marjoramrock/internal/upstream"
	"github.com/stretchr/testify/require"
)

// fakeEngines implements EngineClient. Its engines load at once unless holdLoads
// is set.
type fakeEngines struct {
	mu         sync.Mutex
	reports    map[string]*Report
	orders     []Order
	orderedIDs []string
	// lostAnswers is how many of the next orders are executed without a response;
	// ignoredOrders is how many are neither executed nor answered.
	lostAnswers, ignoredOrders int
	// holdLoads keeps engines busy after an order.
	holdLoads  bool
	maxLoading int
	// unreachable holds the IDs of engines that do not answer.
	unreachable map[string]bool
}

func (e *fakeEngines) Order(_ context.Context, s backend.Server, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.Permit() {
		return upstream.ErrUnsent
	}
	// Functions cannot be compared.
	o.Permit = nil
	r := e.reports[s.ID]
	if r.Busy || o.ExpectedOrders != r.AcceptedOrders {
		return ErrBusy
	}
	e.orders, e.orderedIDs = append(e.orders, o), append(e.orderedIDs, s.ID)
	if e.ignoredOrders > 0 {
		e.ignoredOrders--
		return errors.New("no answer")
	}
	r.AcceptedOrders++
	r.Busy = e.holdLoads
	busy := 0
	for _, other := range e.reports {
		if other.Busy {
			busy++
		}
	}
	e.maxLoading = max(e.maxLoading, busy)
	if !e.holdLoads {
		r.Models = map[string]int64{o.Model: o.Version}
	}
	if e.lostAnswers > 0 {
		e.lostAnswers--
		return errors.New("no answer")
	}
	return nil
}

func (e *fakeEngines) Report(_ context.Context, s backend.Server) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unreachable[s.ID] {
		return Report{}, errors.New("no answer")
	}
	return *e.reports[s.ID], nil
}

type fakeLease struct{ held atomic.Bool }

func (l *fakeLease) AcquireOrRenew(context.Context) (bool, error) { return l.held.Load(), nil }
func (l *fakeLease) Held() (int64, bool)                          { return 7, l.held.Load() }

type fakeAnnouncer struct {
	mu    sync.Mutex
	table *backend.Table
	calls []string
}

func (a *fakeAnnouncer) Reloading(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, "reloading "+s.ID)
	a.table.BeginReload(s.ID, s.Born, model, version, 0)
}

func (a *fakeAnnouncer) Reloaded(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, "reloaded "+s.ID)
	a.table.RaiseVersion(s.ID, s.Born, model, version)
}

func (a *fakeAnnouncer) ReloadCanceled(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, "canceled "+s.ID)
	a.table.CancelReload(s.ID, s.Born, model, version)
}

type fakeStore struct{ rec lease.Record }

func (s *fakeStore) Read(context.Context, string) (lease.Record, error) { return s.rec, nil }

func (s *fakeStore) CompareAndSwap(_ context.Context, _ string, value []byte, version int64) (lease.Record, error) {
	if version != s.rec.Version {
		return s.rec, lease.ErrConflict
	}
	s.rec.Value, s.rec.Version = value, version+1
	return s.rec, nil
}

type setup struct {
	*Updater
	engines   *fakeEngines
	lease     *fakeLease
	announcer *fakeAnnouncer
	table     *backend.Table
	catalog   *catalog.Tracker
}

func newSetup(ids ...string) *setup {
	table := backend.NewTable()
	e := &fakeEngines{reports: make(map[string]*Report)}
	for _, id := range ids {
		table.Put(backend.Server{ID: id, Service: "s", Zone: id[:1], Models: map[string]int64{"m": 1}})
		e.reports[id] = &Report{Models: map[string]int64{"m": 1}}
	}
	s := &setup{engines: e, lease: &fakeLease{}, announcer: &fakeAnnouncer{table: table}, table: table, catalog: catalog.NewTracker()}
	s.lease.held.Store(true)
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	s.Updater = New(Options{
		Holder: "vm", Catalog: s.catalog, Table: table, Engines: e, Lease: s.lease, Announcer: s.announcer,
		History: NewHistory(&fakeStore{}, s.catalog, now), Now: now, Log: &log.Logger{Handler: discard.New()},
	})
	return s
}

func (s *setup) stepUntil(t *testing.T, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.Step(context.Background())
		return done()
	}, 10*time.Second, 5*time.Millisecond)
	s.Wait()
}

func (s *setup) allRun(version int64) func() bool {
	return func() bool {
		for _, e := range s.table.Statuses("s", 0) {
			if e.Versions["m"] < version {
				return false
			}
		}
		return true
	}
}

func TestEnginesAreUpdatedToTargetVersion(t *testing.T) {
	s := newSetup("a1", "a2", "b1")
	s.catalog.SetTargetVersion("m", 2, 0)
	s.stepUntil(t, s.allRun(2))
	require.Len(t, s.engines.orders, 3)
	for _, o := range s.engines.orders {
		require.Equal(t, Order{Model: "m", Version: 2, Holder: "vm", Fence: 7, KeepRunningCalls: true}, o)
	}
	require.Contains(t, s.announcer.calls[0], "reloading")
}

func TestNoOrderIsSentWithoutLease(t *testing.T) {
	s := newSetup("a1")
	s.lease.held.Store(false)
	s.catalog.SetTargetVersion("m", 2, 0)
	for range 5 {
		s.Step(context.Background())
	}
	s.Wait()
	require.Empty(t, s.engines.orders)
}

// The lease may end while the connection to an engine opens.
func TestOrdersAreCheckedAgainBeforeTheyAreWritten(t *testing.T) {
	s := newSetup("a1")
	s.catalog.SetTargetVersion("m", 2, 0)
	s.stepUntil(t, s.allRun(2))
	require.Len(t, s.engines.orders, 1, "the order was permitted")
	u := s.Updater
	permit := u.holdsLease(7)
	require.True(t, permit())
	require.False(t, u.holdsLease(6)(), "another lease than the one of the order")
	s.lease.held.Store(false)
	require.False(t, permit())
}

func TestSupersededVersionsAreSkipped(t *testing.T) {
	s := newSetup("a1")
	s.catalog.SetTargetVersion("m", 2, 0)
	s.catalog.SetTargetVersion("m", 5, 0)
	s.stepUntil(t, s.allRun(5))
	require.Len(t, s.engines.orders, 1)
}

// An order whose response was lost must not be sent again if the engine's report
// shows that it was accepted.
func TestAppliedOrderWithLostAnswerIsNotRetried(t *testing.T) {
	s := newSetup("a1")
	s.engines.lostAnswers = 1
	s.catalog.SetTargetVersion("m", 2, 0)
	s.stepUntil(t, s.allRun(2))
	require.Len(t, s.engines.orders, 1)
}

func TestOrderThatWasNotAppliedIsRetried(t *testing.T) {
	s := newSetup("a1")
	s.engines.ignoredOrders = 1
	s.catalog.SetTargetVersion("m", 2, 0)
	s.stepUntil(t, s.allRun(2))
	require.Len(t, s.engines.orders, 2)
	require.Equal(t, s.engines.orders[0].ExpectedOrders, s.engines.orders[1].ExpectedOrders)
}

func TestConcurrentLoadsAreBounded(t *testing.T) {
	s := newSetup("a1", "a2", "b1", "b2", "c1", "c2")
	s.engines.holdLoads = true
	s.catalog.SetTargetVersion("m", 2, 0)
	for range 40 {
		s.Step(context.Background())
		time.Sleep(5 * time.Millisecond)
	}
	s.engines.mu.Lock()
	require.Equal(t, minConcurrentLoads, s.engines.maxLoading)
	s.engines.holdLoads = false
	for _, r := range s.engines.reports {
		if r.Busy {
			r.Busy, r.Models = false, map[string]int64{"m": 2}
		}
	}
	s.engines.mu.Unlock()
	s.stepUntil(t, s.allRun(2))
}

// Engines with running calls drain first; idle ones are ordered at once.
func TestBusyEnginesDrainFirst(t *testing.T) {
	s := newSetup("a1", "a2")
	s.table.Begin("a1", 0)
	s.catalog.SetTargetVersion("m", 2, 0)
	s.stepUntil(t, func() bool { return s.table.Version("a2", "m") == 2 })
	require.Equal(t, "a2", s.engines.orderedIDs[0])
	require.Equal(t, int64(2), s.table.Version("a1", "m"), "the wait for running calls is bounded")
	for _, o := range s.engines.orders {
		require.True(t, o.KeepRunningCalls, "a long call must not keep its engine from loading")
	}
}

// An engine that waits long for others that load, and then loads slowly, must not come
// back into use at the other VMs before it has loaded: it would refuse their calls.
func TestReloadsAreAnnouncedUntilTheEngineHasLoaded(t *testing.T) {
	tests := []struct {
		name string
		slow func(s *setup) (end func())
	}{
		{"waiting for a load slot", func(s *setup) func() {
			s.activeLoads["s"] = minConcurrentLoads
			return func() { s.releaseLoadSlot("s") }
		}},
		{"loading", func(s *setup) func() {
			s.engines.holdLoads = true
			return func() {
				s.engines.mu.Lock()
				defer s.engines.mu.Unlock()
				s.engines.reports["a1"].Busy, s.engines.reports["a1"].Models = false, map[string]int64{"m": 2}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup("a1")
			end := tt.slow(s)
			s.catalog.SetTargetVersion("m", 2, 0)
			s.Step(context.Background())
			time.Sleep(3 * announcePeriod)
			s.announcer.mu.Lock()
			announced := len(s.announcer.calls)
			s.announcer.mu.Unlock()
			end()
			s.Wait()
			require.GreaterOrEqual(t, announced, 3)
			require.NotContains(t, s.announcer.calls, "canceled a1")
		})
	}
}

// A VM that loses the lease while an engine drains must cancel the announced
// reload, or the engine would stay out of service.
func TestLostLeaseCancelsReload(t *testing.T) {
	s := newSetup("a1")
	s.table.Begin("a1", 0)
	s.catalog.SetTargetVersion("m", 2, 0)
	s.Step(context.Background())
	require.Eventually(t, func() bool { return s.table.Reloading("a1", 0) }, time.Second, time.Millisecond)
	s.lease.held.Store(false)
	s.Wait()
	require.Empty(t, s.engines.orders)
	require.False(t, s.table.Reloading("a1", 0))
	require.Equal(t, []string{"reloading a1", "canceled a1"}, s.announcer.calls)
}

func TestOldestVersionsAreUpdatedFirst(t *testing.T) {
	s := newSetup("a1", "b1", "c1")
	s.table.RaiseVersion("a1", 0, "m", 2)
	s.table.RaiseVersion("b1", 0, "m", 2)
	s.catalog.SetTargetVersion("m", 3, 0)
	tasks, counts := s.pendingTasks()
	require.Equal(t, "c1", s.selectTasks(tasks, counts)[0].server.Server.ID)
}

// Engines that do not answer must not count against the limit on engines that
// drain and load, or the update of the healthy ones would be delayed.
func TestUnreachableEnginesDoNotDelayOthers(t *testing.T) {
	s := newSetup("a1", "a2", "a3", "b1", "b2", "b3")
	s.engines.unreachable = map[string]bool{"a1": true, "a2": true, "a3": true}
	s.catalog.SetTargetVersion("m", 2, 0)
	began := time.Now()
	s.stepUntil(t, func() bool {
		return s.table.Version("b1", "m") == 2 && s.table.Version("b2", "m") == 2 && s.table.Version("b3", "m") == 2
	})
	require.Less(t, time.Since(began), 2*time.Second)
	require.NotContains(t, s.announcer.calls, "reloading a1")
}

// Engines must not stand drained for as long as others load, when loads take long: under
// load the fleet needs them.
func TestEnginesDrainOnlyOnceALoadSlotIsDue(t *testing.T) {
	ids := []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8", "a9", "b1"}
	tests := []struct {
		name     string
		loadTime time.Duration
		since    time.Duration
		want     int
	}{
		{"loads of unknown length", 0, 0, 4},
		{"loads shorter than draining", drainTimeout / 2, 0, 4},
		{"long loads that have just begun", 3 * drainTimeout, 0, 2},
		{"long loads that end soon", 3 * drainTimeout, 2*drainTimeout + 100*time.Millisecond, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup(ids...)
			if tt.loadTime > 0 {
				s.loadTimes["s"] = tt.loadTime
			}
			s.catalog.SetTargetVersion("m", 2, 0)
			tasks, counts := s.pendingTasks()
			out := len(s.selectTasks(tasks, counts))
			for id := range s.inProgress {
				s.beginLoad(backend.Server{ID: id, Service: "s"}, s.options.Now()-tt.since)
			}
			tasks, counts = s.pendingTasks()
			out += len(s.selectTasks(tasks, counts))
			require.Equal(t, tt.want, out)
		})
	}
}

// The more engines fail, the fewer are taken out of service to load.
func TestEnoughEnginesKeepServing(t *testing.T) {
	tests := []struct {
		name    string
		failing []string
		want    int
	}{
		{"all healthy", nil, 3},
		{"two fail", []string{"a1", "a2"}, 1},
		{"four fail", []string{"a1", "a2", "b1", "b2"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup("a1", "a2", "b1", "b2", "c1", "c2", "c3")
			for _, id := range tt.failing {
				s.table.RecordFailure(id, time.Hour)
			}
			s.catalog.SetTargetVersion("m", 2, 0)
			tasks, counts := s.pendingTasks()
			require.Len(t, s.selectTasks(tasks, counts), tt.want)
		})
	}
}

func TestHistorySurvivesRestart(t *testing.T) {
	store := &fakeStore{}
	store.rec.Now = 100 * time.Second
	now := 10 * time.Second
	first := catalog.NewTracker()
	first.SetTargetVersion("m", 2, 4*time.Second)
	require.NoError(t, NewHistory(store, first, func() time.Duration { return now }).Save(context.Background()))

	// Another VM with a different clock reads it five seconds later.
	store.rec.Now = 105 * time.Second
	second := catalog.NewTracker()
	later := 500 * time.Second
	require.NoError(t, NewHistory(store, second, func() time.Duration { return later }).Load(context.Background()))
	since, ok := second.OutdatedSince("m", 1)
	require.True(t, ok)
	require.Equal(t, later-11*time.Second, since)
}

func TestOddHistoryRecordIsReplaced(t *testing.T) {
	const now, storeNow = 500 * time.Second, 100 * time.Second
	tests := []struct{ name, value string }{
		{"no JSON", "\xff"},
		{"another type", `{"model":"m"}`},
		{"nested", strings.Repeat("[", 30000)},
		{"version beyond the type", `[{"model":"m","version":1e400,"at":1}]`},
		{"time beyond the type", `[{"model":"m","version":1,"at":9223372036854775808}]`},
		{"fields of another type", `[{"model":5,"version":"1","at":{}}]`},
		{"negative version", `[{"model":"m","version":-1,"at":1}]`},
		{"no fields", `[{}]`},
		{"null", `null`},
		{"entries that are null", `[null]`},
		{"time that overflows", `[{"model":"m","version":1,"at":-9223372036854775808}]`},
		{"an odd entry beside a good one", `[{"model":"m","version":1e400,"at":1},{"model":"m","version":1,"at":50000}]`},
		{"time in the future", `[{"model":"m","version":1,"at":9000000000000}]`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &fakeStore{rec: lease.Record{Value: []byte(tt.value), Version: 1, Now: storeNow}}
			tracker := catalog.NewTracker()
			history := NewHistory(store, tracker, func() time.Duration { return now })
			if err := history.Load(t.Context()); err != nil {
				require.ErrorIs(t, err, ErrInvalidHistory)
			}
			for _, list := range tracker.TargetVersionHistory() {
				for _, target := range list {
					require.Positive(t, target.Version)
					require.LessOrEqual(t, target.LearnedAt, now)
				}
			}
			tracker.SetTargetVersion("m", 2, now)
			if err := history.Save(t.Context()); err != nil {
				require.ErrorIs(t, err, ErrInvalidHistory)
			}
			require.NoError(t, history.Save(t.Context()))
			next := catalog.NewTracker()
			require.NoError(t, NewHistory(store, next, func() time.Duration { return now }).Load(t.Context()))
			target, ok := next.TargetVersion("m")
			require.True(t, ok)
			require.Equal(t, int64(2), target.Version)
		})
	}
}

func FuzzHistory(f *testing.F) {
	f.Add([]byte(`[{"model":"m","version":2,"at":94000}]`))
	f.Add([]byte(`[{"model":"m","version":9223372036854775807,"at":-9223372036854775808},null,5]`))
	f.Fuzz(func(t *testing.T, value []byte) {
		const now = 500 * time.Second
		tracker := catalog.NewTracker()
		store := &fakeStore{rec: lease.Record{Value: value, Version: 1, Now: 100 * time.Second}}
		if err := NewHistory(store, tracker, func() time.Duration { return now }).Load(t.Context()); err != nil {
			require.ErrorIs(t, err, ErrInvalidHistory)
		}
		for model, list := range tracker.TargetVersionHistory() {
			require.NotEmpty(t, model)
			for _, target := range list {
				require.Positive(t, target.Version)
				require.LessOrEqual(t, target.LearnedAt, now)
			}
		}
	})
}
