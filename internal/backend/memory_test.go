package backend

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A part that several calls share takes memory once, and what a call holds must be
// released with the incarnation that it ran on.
func TestHeldTokens(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	shared := []Part{{Key: "a", Tokens: 600}}
	first, second := table.Hold("e", 100, shared, 0), table.Hold("e", 50, shared, 0)
	table.SetPeerLoads("vm2", map[string]Load{"e": {Calls: 1, Held: 30}}, 0)
	require.Equal(t, 780, onlyStatus(t, table, 0).HeldTokens)
	first(0)
	require.Equal(t, 680, onlyStatus(t, table, 0).HeldTokens)
	require.Equal(t, 50, onlyStatus(t, table, peerLoadTTL).HeldTokens-600, "reports of silent VMs expire")
	next := serverWithVersion(1)
	next.Born++
	table.Put(next)
	second(0)
	require.Zero(t, onlyStatus(t, table, 0).HeldTokens, "a new incarnation holds nothing")
}

// An engine that loads weights refuses for seconds: the backoff must grow with each
// probe, not with each of the calls that were under way together, and must outlast the
// answers of calls that the engine had begun before.
func TestRefusalBackoff(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	refusing := func(now time.Duration) bool { return onlyStatus(t, table, now).Refusing }
	for i := range 3 {
		n, backoff := table.RecordRefusal("e", time.Second)
		require.Equal(t, i == 0, n == 1)
		require.Equal(t, i == 0, backoff == minRefusalBackoff)
	}
	table.RecordSuccess("e", time.Second)
	table.RecordAccepted("e", time.Second-1)
	require.True(t, refusing(time.Second))
	require.False(t, onlyStatus(t, table, time.Second).InBackoff, "a refusal is no failure")
	now := time.Second + minRefusalBackoff
	require.False(t, refusing(now))
	table.BeginProbe("e", now)
	require.True(t, refusing(now), "one call probes")
	n, backoff := table.RecordRefusal("e", now)
	require.Equal(t, 2, n)
	require.Equal(t, 2*minRefusalBackoff, backoff)
	table.BeginProbe("e", now+backoff)
	table.RecordAccepted("e", now+backoff)
	require.False(t, refusing(now+backoff))
}

// A part that all VMs use at all times must not be counted by each of them, and one that
// a single VM uses must be counted whole, or engines look full or empty to all VMs.
func TestSharesOfHeldParts(t *testing.T) {
	held := func(busy bool) int {
		table := NewTable()
		table.SetVMs(10)
		table.Put(serverWithVersion(1))
		table.Begin("e", 0)
		shared := []Part{{Key: "a", Tokens: 1000}}
		release := table.Hold("e", 0, shared, 0)
		if !busy {
			release(0)
		}
		table.Hold("e", 0, shared, time.Minute)
		return table.Loads()["e"].Held
	}
	require.Equal(t, 999, held(false))
	require.InDelta(t, 158, held(true), 1, "with one call at a time, a VM holds the part for 63 % of the time")
}

// What is remembered of parts must be bounded, and forgetting them must not change what
// the others count.
func TestIdlePartsAreBounded(t *testing.T) {
	table := NewTable()
	table.Put(serverWithVersion(1))
	held := table.Hold("e", 7, []Part{{Key: "held", Tokens: 500}}, 0)
	for i := range 4 * maxIdleParts {
		table.Hold("e", 0, []Part{{Key: fmt.Sprint(i), Tokens: 1}}, 0)(0)
		require.LessOrEqual(t, len(table.servers["e"].heldParts), maxIdleParts+1)
	}
	require.Equal(t, 507, onlyStatus(t, table, 0).HeldTokens)
	table.Hold("e", 0, nil, idleTime+1)(idleTime + 1)
	require.Len(t, table.servers["e"].heldParts, idlePartsPerServer+1)
	require.Equal(t, table.idleParts.Len(), idlePartsPerServer)
	held(idleTime)
	require.Zero(t, onlyStatus(t, table, 0).HeldTokens)
}

// The sum must stay that of all parts whatever order calls and changes of the number of
// VMs come in.
func TestHeldTokensAreTheSumOfShares(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	table := NewTable()
	table.Put(serverWithVersion(1))
	var releases []func(time.Duration)
	own := 0
	for i := range 3000 {
		now := time.Duration(i) * 20 * time.Millisecond
		switch n := random.IntN(10); {
		case n == 0:
			table.SetVMs(1 + random.IntN(20))
		case n < 6 || len(releases) == 0:
			shared := make([]Part, random.IntN(4))
			for j := range shared {
				k := random.IntN(200)
				shared[j] = Part{Key: fmt.Sprint(k), Tokens: 10 + k}
			}
			release := table.Hold("e", i, shared, now)
			own += i
			releases = append(releases, func(now time.Duration) { release(now); own -= i })
		default:
			j := random.IntN(len(releases))
			releases[j](now)
			releases = slices.Delete(releases, j, j+1)
		}
		sum := own
		for _, h := range table.servers["e"].heldParts {
			sum += int(float64(h.tokens) * h.share(table.vms))
		}
		require.Equal(t, sum, onlyStatus(t, table, now).HeldTokens)
	}
}

// The cost of a call must not grow with the parts that an engine holds.
func BenchmarkHold(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint("parts=", n), func(b *testing.B) {
			table := NewTable()
			table.Put(serverWithVersion(1))
			for i := range n {
				table.Hold("e", 0, []Part{{Key: fmt.Sprint(i), Tokens: 100}}, 0)
			}
			for b.Loop() {
				table.Hold("e", 10, []Part{{Key: "a", Tokens: 100}, {Key: "b", Tokens: 100}, {Key: "c", Tokens: 100}}, 0)(0)
			}
		})
	}
}
