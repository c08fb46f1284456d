package prefix

import (
	"fmt"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/measure"
	"github.com/stretchr/testify/require"
)

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Name: fmt.Sprintf("engine-%d", i), Incarnation: "one", Slots: 8}
	}
	return out
}

func nestedPrompt(salt string, section, note int) Prompt {
	return NewPrompt(salt, []string{
		strings.Repeat("instruction ", 1000), strings.Repeat(fmt.Sprintf("section %d ", section), 2000), fmt.Sprint("note", note),
	})
}

func TestChainsOfDifferentScopesShareNoHash(t *testing.T) {
	base := Scope{Model: "m", Adapter: "a", Version: "v", Team: "t"}
	scopes := []Scope{
		base,
		{Model: "n", Adapter: "a", Version: "v", Team: "t"},
		{Model: "m", Adapter: "b", Version: "v", Team: "t"},
		{Model: "m", Adapter: "a", Version: "w", Team: "t"},
		{Model: "m", Adapter: "a", Version: "v", Team: "u"},
		{Model: "m", Adapter: "a", Version: "v"},
		{Model: "ma", Version: "v", Team: "t"},
	}
	seen := map[Hash]Scope{}
	for _, s := range scopes {
		for _, h := range nestedPrompt(s.Salt(), 1, 1).Chain() {
			other, taken := seen[h]
			require.False(t, taken, "%v and %v", s, other)
			seen[h] = s
		}
	}
}

func TestChainHasFullBlocksAndFollowsTheNesting(t *testing.T) {
	a, b := nestedPrompt("salt", 1, 1), nestedPrompt("salt", 1, 2)
	require.Equal(t, a.Chain(), b.Chain(), "the note does not fill a block")
	other := nestedPrompt("salt", 2, 1)
	require.Equal(t, a.Chain()[:3], other.Chain()[:3], "the common instruction is shared")
	require.NotEqual(t, a.Chain()[3], other.Chain()[3])
	long := NewPrompt("salt", []string{strings.Repeat("x", BlockBytes*(MaxBlocks+9))})
	require.Len(t, long.Chain(), MaxBlocks)
}

func TestRestartedPolicyPlacesLikeItsPeers(t *testing.T) {
	list := candidates(12)
	peer := NewCost(CostWeights{QueuedRequestTokens: 2000, HomeAdvantageTokens: 2000, MinCachedShare: 0.5})
	for i := range 400 {
		p := nestedPrompt("salt", i%20, i)
		best := list[peer.Order(p, list)[0]]
		peer.Placed(p, best.Name, best.Incarnation)
	}
	fresh := NewCost(CostWeights{QueuedRequestTokens: 2000, HomeAdvantageTokens: 2000, MinCachedShare: 0.5})
	for i := range 20 {
		p := nestedPrompt("salt", i, 1000+i)
		require.Equal(t, peer.Order(p, list)[0], fresh.Order(p, list)[0], "section %d", i)
	}
}

func TestDirectoryBelongsToOneIncarnation(t *testing.T) {
	d := NewDirectory()
	p := nestedPrompt("salt", 1, 1)
	d.Add(p, "e", "one")
	require.Equal(t, len(p.Chain()), d.Match(p, "e", "one"))
	require.Zero(t, d.Match(p, "e", "two"))
	d.Add(nestedPrompt("salt", 2, 1), "e", "two")
	require.Equal(t, 3, d.Match(p, "e", "two"), "only the blocks of the new incarnation count")
	d.RemoveEngine("e")
	require.Zero(t, d.Match(p, "e", "two"))
}

func TestDirectoryIsBounded(t *testing.T) {
	d := NewDirectory()
	for i := range 3000 {
		d.Add(nestedPrompt("salt", i, 1), "e", "one")
	}
	require.LessOrEqual(t, d.Len(), MaxBlocksPerEngine)
}

func TestOverloadedCandidateComesLast(t *testing.T) {
	list := candidates(4)
	p := nestedPrompt("salt", 1, 1)
	policy := NewSharedPrefix(1.25)
	home := policy.Order(p, list)[0]
	list[home].InFlight = 8
	require.NotEqual(t, home, policy.Order(p, list)[0])
	require.Equal(t, home, policy.Order(p, list)[3])
}

func BenchmarkChain(b *testing.B) {
	for _, tokens := range []int{2000, 8000, 32000} {
		text := strings.Repeat("abcd", tokens)
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewPrompt("salt", []string{text, "note"})
			}
		})
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, engines := range []int{12, 57, 425} {
		for name, policy := range map[string]Policy{
			"rendezvous": Rendezvous{}, "cost": NewCost(CostWeights{QueuedRequestTokens: 2000, HomeAdvantageTokens: 2000, MinCachedShare: 0.5}),
		} {
			b.Run(fmt.Sprintf("%s/engines=%d", name, engines), func(b *testing.B) {
				list, p := candidates(engines), nestedPrompt("salt", 1, 1)
				b.ReportAllocs()
				for b.Loop() {
					policy.Order(p, list)
				}
			})
		}
	}
}

func BenchmarkDirectoryMemory(b *testing.B) {
	for _, engines := range []int{12, 57, 425} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				before := measure.HeapAllocAfterGC()
				d := NewDirectory()
				for e := range engines {
					for i := range 1200 {
						d.Add(nestedPrompt("salt", i, 1), fmt.Sprint(e), "one")
					}
				}
				b.ReportMetric(float64(measure.HeapAllocAfterGC()-before)/float64(engines), "B/engine")
				b.ReportMetric(float64(d.Len())/float64(engines), "blocks/engine")
			}
		})
	}
}
