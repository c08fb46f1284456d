package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// noJitter is a random source that adds nothing to any cost.
func noJitter() float64 { return 0 }

func modelCall() *Call {
	return &Call{Model: "m", InputTokens: 9000, SharedTokens: 6000, LatencyGoal: time.Second, BytesPerToken: 131072, LinkMbps: 550000}
}

// engines returns idle engines in the zone of the VM.
func engines(n int) *View {
	v := &View{Zone: "a", VMs: 9, KnownTokens: map[string]int{}, MaxOutdated: 8 * time.Second}
	for range n {
		v.Servers = append(v.Servers, Server{Zone: "a", Slots: 128, TokensPerMilli: 40, Version: 1, OutdatedFor: -1, CacheSalt: "m@1"})
	}
	return v
}

func (v *View) hold(server, tokens int) {
	v.Servers[server].HeldTokens = tokens
	v.Sources = append(v.Sources, Source{Server: server, CacheSalt: "m@1", ReadyTokens: tokens, Address: "e", Zone: v.Servers[server].Zone})
	v.KnownTokens["m@1"] = max(v.KnownTokens["m@1"], tokens)
}

func TestChoose(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(v *View)
		want  int
	}{
		{"the least loaded engine", func(v *View) { v.Servers[0].Load, v.Servers[2].Load = 5, 5 }, 1},
		{"the holder of the shared parts", func(v *View) { v.hold(2, 6000); v.Servers[2].Load = 10 }, 2},
		{"the holder in another zone", func(v *View) { v.Servers[2].Zone = "b"; v.hold(2, 6000) }, 2},
		{"not a holder that others have filled", func(v *View) { v.hold(2, 6000); v.Servers[2].PendingTokens = 40000 }, 0},
		{"not a holder in a silent zone", func(v *View) {
			v.Servers[2].Zone = "b"
			v.hold(2, 6000)
			v.SilentZones = map[string]bool{"b": true}
		}, 0},
		{"not an engine in backoff", func(v *View) { v.hold(0, 6000); v.Servers[0].InBackoff = true }, 1},
		{"an engine in backoff if there is no other", func(v *View) {
			v.Servers[0].InBackoff, v.Servers[1].Excluded, v.Servers[2].Version = true, true, 0
		}, 0},
		{"not an engine that loads weights", func(v *View) { v.hold(0, 6000); v.Servers[0].Reloading = true }, 1},
		{"newer weights", func(v *View) { v.Servers[0].OutdatedFor, v.Servers[1].OutdatedFor = 2*time.Second, 2*time.Second }, 2},
		{"no weights that are too old", func(v *View) { v.hold(0, 6000); v.Servers[0].OutdatedFor = 7 * time.Second }, 1},
		{"an engine with a free slot", func(v *View) {
			v.Servers[0].Slots, v.Servers[0].Load = 4, 4
			v.Servers[1].Load, v.Servers[2].Load = 30, 20
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := engines(3)
			tt.setUp(v)
			choice, ok := Choose(modelCall(), v, noJitter)
			require.True(t, ok)
			require.Equal(t, tt.want, choice.Index)
		})
	}
}

func TestChooseWithoutServers(t *testing.T) {
	v := engines(2)
	v.Servers[0].Excluded, v.Servers[1].Version = true, 0
	_, ok := Choose(modelCall(), v, noJitter)
	require.False(t, ok)
	_, ok = Choose(&Call{}, &View{}, noJitter)
	require.False(t, ok)
}

func TestSourceOfParts(t *testing.T) {
	tests := []struct {
		name                          string
		setUp                         func(v *View)
		from                          string
		uncached, fetched, recomputed int
	}{
		{"nothing is known", func(*View) {}, "", 9000, 0, 0},
		{"the store, in case it has more", func(v *View) { v.StoreAddress, v.StoreZone = "s", "a" }, "s", 9000, 0, 0},
		{"another engine", func(v *View) { v.hold(1, 6000) }, "e", 3000, 6000, 0},
		{"the engine in the same zone", func(v *View) {
			v.Servers[1].Zone = "b"
			v.hold(1, 6000)
			v.Sources = append(v.Sources, Source{Server: 2, CacheSalt: "m@1", ReadyTokens: 6000, Address: "near", Zone: "a"})
		}, "near", 3000, 6000, 0},
		{"not an engine with other weights", func(v *View) { v.hold(1, 6000); v.Sources[0].CacheSalt = "m@0" }, "", 9000, 0, 6000},
		{"not an engine in a silent zone", func(v *View) {
			v.Servers[1].Zone = "b"
			v.hold(1, 6000)
			v.SilentZones = map[string]bool{"b": true}
		}, "", 9000, 0, 6000},
		{"not for a few tokens", func(v *View) { v.Servers[0].HeldTokens = 6000 - minFetchTokens; v.hold(1, 6000) }, "", 3000 + minFetchTokens, 0, minFetchTokens},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := engines(3)
			tt.setUp(v)
			choice, _, ok := attemptCost(modelCall(), v, 0, noJitter)
			require.True(t, ok)
			require.Equal(t, tt.from, choice.FetchFrom)
			require.Equal(t, tt.uncached, choice.UncachedTokens)
			require.Equal(t, tt.fetched, choice.FetchedTokens)
			require.Equal(t, tt.recomputed, choice.RecomputedTokens)
		})
	}
}

// Engines that refuse calls look idle: calls must keep away from them once some engine
// has refused one, but not from an idle engine that accepted a call a moment ago.
func TestIdleServersAreAvoidedWhileServersRefuse(t *testing.T) {
	server := func(load int, accepting bool) Server {
		return Server{Load: load, Slots: 32, TokensPerMilli: 30, Version: 1, OutdatedFor: -1, Accepting: accepting}
	}
	for _, tt := range []struct {
		name             string
		avoid, accepting bool
		want             int
	}{{"no engine refused", false, false, 0}, {"an engine refused", true, false, 1}, {"the idle engine accepts", true, true, 0}} {
		v := &View{Servers: []Server{server(2, tt.accepting), server(20, false), server(21, false)}, MaxOutdated: time.Minute}
		c, ok := Choose(&Call{Model: "m", InputTokens: 100, AvoidIdle: tt.avoid, LatencyGoal: time.Second}, v, func() float64 { return 0 })
		require.True(t, ok)
		require.Equal(t, tt.want, c.Index, tt.name)
	}
}

// A server without room must not count as free, and calls must prefer one with memory.
func TestServersWithoutRoom(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first Server
		free  int
		want  int
		// urgentFree is free for a call of priority 0 and no stated size.
		urgentFree int
	}{
		{"room", Server{}, 2, 0, 2},
		{"slots and queue full", Server{Load: 40, Slots: 32}, 1, 1, 2},
		{"queue full of less urgent calls", Server{Load: 64, Slots: 32}, 1, 1, 1},
		{"memory full", Server{Load: 8, Slots: 32, MemoryTokens: 99500, CapacityTokens: 100000}, 1, 1, 2},
		{"too few calls for a full memory", Server{Load: 7, Slots: 32, MemoryTokens: 99500, CapacityTokens: 100000}, 2, 0, 2},
		{"refuses", Server{Refusing: true}, 1, 1, 1},
	} {
		s := tt.first
		s.TokensPerMilli, s.Version, s.OutdatedFor = 30, 1, -1
		v := &View{Servers: []Server{s, {Load: 20, Slots: 32, TokensPerMilli: 30, Version: 1, OutdatedFor: -1}}, MaxOutdated: time.Minute}
		c, ok := Choose(&Call{Model: "m", InputTokens: 100, MemoryTokens: 1000, Priority: 2, LatencyGoal: time.Second}, v, func() float64 { return 0 })
		require.True(t, ok)
		require.Equal(t, tt.free, c.Free, tt.name)
		urgent, _ := Choose(&Call{Model: "m", InputTokens: 100, LatencyGoal: time.Second}, v, func() float64 { return 0 })
		require.Equal(t, tt.urgentFree, urgent.Free, tt.name)
		require.Equal(t, tt.want, c.Index, tt.name)
	}
}

// Calls were sent to an engine over its memory while a server that recovers, and had as
// many calls as it should, was the only one with room.
func TestServerAtItsLimitTakesCallsIfNoOtherHasRoom(t *testing.T) {
	for _, full := range []bool{false, true} {
		settled := Server{Load: 20, Slots: 32, TokensPerMilli: 30, Version: 1, OutdatedFor: -1, CapacityTokens: 100000}
		atLimit := settled
		atLimit.AtLimit = true
		if full {
			settled.MemoryTokens = 99500
		}
		v := &View{Servers: []Server{settled, atLimit}, MaxOutdated: time.Minute}
		c, ok := Choose(&Call{Model: "m", InputTokens: 100, MemoryTokens: 1000, LatencyGoal: time.Second}, v, func() float64 { return 0 })
		require.True(t, ok)
		require.Equal(t, full, c.Index == 1)
		require.True(t, c.HasRoom)
	}
}
