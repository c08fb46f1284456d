package weights

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/marjoramrock/marjoramrock/internal/backend"
	"github.com/marjoramrock/marjoramrock/internal/catalog"
	"github.com/marjoramrock/marjoramrock/internal/lease"
	"github.com/stretchr/testify/require"
)

// engines are stand-ins that load at once or as a test says.
type engines struct {
	mu     sync.Mutex
	state  map[string]*Report
	orders []Order
	to     []string
	// lost orders are carried out without an answer; ignored ones are neither.
	lost, ignored int
	// hold keeps engines busy after an order.
	hold     bool
	together int
	// deaf engines answer nothing.
	deaf map[string]bool
}

func (e *engines) Order(_ context.Context, s backend.Server, o Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.state[s.ID]
	if r.Busy || o.Expect != r.Orders {
		return ErrBusy
	}
	e.orders, e.to = append(e.orders, o), append(e.to, s.ID)
	if e.ignored > 0 {
		e.ignored--
		return errors.New("no answer")
	}
	r.Orders++
	r.Busy = e.hold
	busy := 0
	for _, other := range e.state {
		if other.Busy {
			busy++
		}
	}
	e.together = max(e.together, busy)
	if !e.hold {
		r.Models = map[string]int64{o.Model: o.Version}
	}
	if e.lost > 0 {
		e.lost--
		return errors.New("no answer")
	}
	return nil
}

func (e *engines) Report(_ context.Context, s backend.Server) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deaf[s.ID] {
		return Report{}, errors.New("no answer")
	}
	return *e.state[s.ID], nil
}

type duty struct{ held atomic.Bool }

func (d *duty) Keep(context.Context) (bool, error) { return d.held.Load(), nil }
func (d *duty) Held() (int64, bool)                { return 7, d.held.Load() }

type announcements struct {
	mu    sync.Mutex
	table *backend.Table
	told  []string
}

func (a *announcements) Reloading(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = append(a.told, "reloading "+s.ID)
	a.table.BeginReload(s.ID, s.Born, model, version, 0)
}

func (a *announcements) Reloaded(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = append(a.told, "reloaded "+s.ID)
	a.table.RaiseVersion(s.ID, s.Born, model, version)
}

func (a *announcements) Spared(s backend.Server, model string, version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.told = append(a.told, "spared "+s.ID)
	a.table.CancelReload(s.ID, s.Born, model, version)
}

type record struct{ rec lease.Record }

func (r *record) Read(context.Context, string) (lease.Record, error) { return r.rec, nil }

func (r *record) Swap(_ context.Context, _ string, value []byte, version int64) (lease.Record, error) {
	if version != r.rec.Version {
		return r.rec, lease.ErrConflict
	}
	r.rec.Value, r.rec.Version = value, version+1
	return r.rec, nil
}

type setup struct {
	*Orderer
	engines  *engines
	duty     *duty
	told     *announcements
	table    *backend.Table
	versions *catalog.Holder
}

func newSetup(ids ...string) *setup {
	table := backend.NewTable()
	e := &engines{state: make(map[string]*Report)}
	for _, id := range ids {
		table.Put(backend.Server{ID: id, Service: "s", Zone: id[:1], Models: map[string]int64{"m": 1}})
		e.state[id] = &Report{Models: map[string]int64{"m": 1}}
	}
	s := &setup{engines: e, duty: &duty{}, told: &announcements{table: table}, table: table, versions: catalog.NewHolder()}
	s.duty.held.Store(true)
	began := time.Now()
	now := func() time.Duration { return time.Since(began) }
	s.Orderer = New(Options{
		Holder: "vm", Catalog: s.versions, Table: table, Engines: e, Duty: s.duty, Announce: s.told,
		History: NewHistory(&record{}, s.versions, now), Now: now, Log: &log.Logger{Handler: discard.New()},
	})
	return s
}

func (s *setup) settle(t *testing.T, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		s.Step(context.Background())
		return done()
	}, 10*time.Second, 5*time.Millisecond)
	s.Wait()
}

func (s *setup) at(version int64) func() bool {
	return func() bool {
		for _, e := range s.table.Statuses("s", 0) {
			if e.Versions["m"] < version {
				return false
			}
		}
		return true
	}
}

func TestEnginesAreBroughtToTheNamedVersion(t *testing.T) {
	s := newSetup("a1", "a2", "b1")
	s.versions.Name("m", 2, 0)
	s.settle(t, s.at(2))
	require.Len(t, s.engines.orders, 3)
	for _, o := range s.engines.orders {
		require.Equal(t, Order{Model: "m", Version: 2, Holder: "vm", Fence: 7, Through: true}, o)
	}
	require.Contains(t, s.told.told[0], "reloading")
}

func TestNothingIsOrderedWithoutTheDuty(t *testing.T) {
	s := newSetup("a1")
	s.duty.held.Store(false)
	s.versions.Name("m", 2, 0)
	for range 5 {
		s.Step(context.Background())
	}
	s.Wait()
	require.Empty(t, s.engines.orders)
}

func TestSupersededVersionsAreSkipped(t *testing.T) {
	s := newSetup("a1")
	s.versions.Name("m", 2, 0)
	s.versions.Name("m", 5, 0)
	s.settle(t, s.at(5))
	require.Len(t, s.engines.orders, 1)
}

// An order whose answer is lost is not given again while the engine shows it.
func TestALostAnswerIsNoReasonToOrderAgain(t *testing.T) {
	s := newSetup("a1")
	s.engines.lost = 1
	s.versions.Name("m", 2, 0)
	s.settle(t, s.at(2))
	require.Len(t, s.engines.orders, 1)
}

func TestAnOrderThatWasNotTakenIsGivenAgain(t *testing.T) {
	s := newSetup("a1")
	s.engines.ignored = 1
	s.versions.Name("m", 2, 0)
	s.settle(t, s.at(2))
	require.Len(t, s.engines.orders, 2)
	require.Equal(t, s.engines.orders[0].Expect, s.engines.orders[1].Expect)
}

func TestFewEnginesLoadTogether(t *testing.T) {
	s := newSetup("a1", "a2", "b1", "b2", "c1", "c2")
	s.engines.hold = true
	s.versions.Name("m", 2, 0)
	for range 40 {
		s.Step(context.Background())
		time.Sleep(5 * time.Millisecond)
	}
	s.engines.mu.Lock()
	require.Equal(t, least, s.engines.together)
	s.engines.hold = false
	for _, r := range s.engines.state {
		if r.Busy {
			r.Busy, r.Models = false, map[string]int64{"m": 2}
		}
	}
	s.engines.mu.Unlock()
	s.settle(t, s.at(2))
}

// Engines with calls in progress empty first; those without are ordered at once.
func TestBusyEnginesEmptyFirst(t *testing.T) {
	s := newSetup("a1", "a2")
	s.table.Begin("a1", 0)
	s.versions.Name("m", 2, 0)
	s.settle(t, func() bool { return s.table.Version("a2", "m") == 2 })
	require.Equal(t, "a2", s.engines.to[0])
	require.Equal(t, int64(2), s.table.Version("a1", "m"), "the wait is bounded")
	for _, o := range s.engines.orders {
		require.True(t, o.Through, "a long call does not keep its engine from loading")
	}
}

// A VM that loses the duty while engines empty gives them back to callers.
func TestEnginesThatAreNotOrderedTakeCallsAgain(t *testing.T) {
	s := newSetup("a1")
	s.table.Begin("a1", 0)
	s.versions.Name("m", 2, 0)
	s.Step(context.Background())
	require.Eventually(t, func() bool { return s.table.Reloading("a1", 0) }, time.Second, time.Millisecond)
	s.duty.held.Store(false)
	s.Wait()
	require.Empty(t, s.engines.orders)
	require.False(t, s.table.Reloading("a1", 0))
	require.Equal(t, []string{"reloading a1", "spared a1"}, s.told.told)
}

func TestOldestWeightsGoFirst(t *testing.T) {
	s := newSetup("a1", "b1", "c1")
	s.table.RaiseVersion("a1", 0, "m", 2)
	s.table.RaiseVersion("b1", 0, "m", 2)
	s.versions.Name("m", 3, 0)
	tasks, sizes := s.tasks()
	require.Equal(t, "c1", s.pick(tasks, sizes)[0].server.Server.ID)
}

// An engine that does not answer holds no place of those that empty and load.
func TestUnreachableEnginesHoldNobodyUp(t *testing.T) {
	s := newSetup("a1", "a2", "a3", "b1", "b2", "b3")
	s.engines.deaf = map[string]bool{"a1": true, "a2": true, "a3": true}
	s.versions.Name("m", 2, 0)
	began := time.Now()
	s.settle(t, func() bool {
		return s.table.Version("b1", "m") == 2 && s.table.Version("b2", "m") == 2 && s.table.Version("b3", "m") == 2
	})
	require.Less(t, time.Since(began), 2*time.Second)
	require.NotContains(t, s.told.told, "reloading a1")
}

// With engines failing, fewer are taken out of service to load.
func TestEnoughEnginesGoOnTakingCalls(t *testing.T) {
	tests := []struct {
		name    string
		failing []string
		want    int
	}{
		{"all sound", nil, 3},
		{"two fail", []string{"a1", "a2"}, 1},
		{"four fail", []string{"a1", "a2", "b1", "b2"}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSetup("a1", "a2", "b1", "b2", "c1", "c2", "c3")
			for _, id := range tt.failing {
				s.table.RecordFailure(id, time.Hour)
			}
			s.versions.Name("m", 2, 0)
			tasks, sizes := s.tasks()
			require.Len(t, s.pick(tasks, sizes), tt.want)
		})
	}
}

func TestHistorySurvivesTheProcess(t *testing.T) {
	store := &record{}
	store.rec.Now = 100 * time.Second
	now := 10 * time.Second
	first := catalog.NewHolder()
	first.Name("m", 2, 4*time.Second)
	require.NoError(t, NewHistory(store, first, func() time.Duration { return now }).Save(context.Background()))

	// Another VM, with another clock, five seconds later.
	store.rec.Now = 105 * time.Second
	second := catalog.NewHolder()
	later := 500 * time.Second
	require.NoError(t, NewHistory(store, second, func() time.Duration { return later }).Load(context.Background()))
	since, ok := second.Outdated("m", 1)
	require.True(t, ok)
	require.Equal(t, later-11*time.Second, since)
}
