package parts

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// testBytes is a limit that tests of other behaviour do not reach.
const testBytes = 1 << 20

// Parts that are smaller than a block must not be tracked one by one.
func TestBlocksJoinSmallParts(t *testing.T) {
	tests := []struct {
		name        string
		parts, want []Part
	}{
		{"large parts stay", []Part{{"a", 16}, {"b", 600}}, []Part{{"a", 16}, {"b", 600}}},
		{"parts of one token", []Part{{"a", 15}, {"b", 1}, {"c", 1}, {"d", 15}}, []Part{{"b", 16}, {"d", 16}}},
		{"empty parts", []Part{{"a", 0}, {"b", 20}, {"c", 0}, {"d", 0}}, []Part{{"b", 20}}},
		{"no whole block", []Part{{"a", 7}, {"b", 8}}, nil},
		{"a small part before a large one", []Part{{"a", 3}, {"b", 600}, {"c", 4}}, []Part{{"b", 603}}},
		{"a small part that ends a block", []Part{{"a", 31}, {"b", 1}}, []Part{{"a", 31}, {"b", 1}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, Blocks(tt.parts)) })
	}
}

// Calls find the blocks of other calls only if blocks depend on nothing that comes after
// them, and their number must depend on the tokens only.
func TestBlocksOfAPrefixLead(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		prompt := make([]Part, 1+random.IntN(200))
		tokens := 0
		for i := range prompt {
			prompt[i] = Part{ID: fmt.Sprint(i), Tokens: random.IntN(1 + random.IntN(60))}
			tokens += prompt[i].Tokens
		}
		whole := Blocks(prompt)
		require.LessOrEqual(t, len(whole), tokens/blockTokens)
		n := random.IntN(len(prompt))
		prefix, prefixTokens, held := Blocks(prompt[:n]), 0, 0
		for i, p := range prefix {
			require.Equal(t, whole[i], p)
			held += p.Tokens
		}
		for _, p := range prompt[:n] {
			prefixTokens += p.Tokens
		}
		require.Less(t, prefixTokens-held, blockTokens)
	}
}

func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Whatever parts prompts have and whoever announces them, the directory must stay within
// its limit: a process that exceeds its memory is killed.
func TestMemoryOfADirectoryIsBounded(t *testing.T) {
	const limit = 4 << 20
	tests := []struct {
		name   string
		holder func(i int) Holder
		id     func(i int) string
		tokens int
		n      int
	}{
		{"parts of one token", func(int) Holder { return Holder{ID: "e"} }, func(i int) string { return fmt.Sprint(i) }, 1, 50_000},
		{"empty parts", func(int) Holder { return Holder{ID: "e"} }, func(i int) string { return fmt.Sprint(i) }, 0, 50_000},
		{"long IDs", func(int) Holder { return Holder{ID: "e"} }, func(i int) string { return fmt.Sprintf("%064d", i) }, 1, 50_000},
		{"many holders", func(i int) Holder { return Holder{ID: fmt.Sprint(i % 1000)} }, func(i int) string { return fmt.Sprint(i) }, 1, 50_000},
		{"a holder for each part", func(i int) Holder { return Holder{ID: fmt.Sprint(i)} }, func(i int) string { return fmt.Sprint(i) }, 1, 20_000},
		{"a new incarnation for each part", func(i int) Holder { return Holder{ID: "e", Born: int64(i)} }, func(i int) string { return fmt.Sprint(i) }, 1, 50_000},
		{"IDs within heads of requests", func(int) Holder { return Holder{ID: "e"} }, func(i int) string { return strings.Repeat(fmt.Sprintf("%09d,", i), 1600)[:9] }, 1, 50_000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := NewDirectory(limit)
			before := heapBytes()
			for i := range tt.n {
				d.Add(tt.holder(i), 1<<30, fmt.Sprint("salt", i), Part{tt.id(i), tt.tokens}, 0, 0)
			}
			require.Less(t, heapBytes()-before, limit+limit/4)
			bytes := 0
			for _, c := range d.caches {
				bytes += c.bytes
			}
			require.Equal(t, bytes, d.bytes)
		})
	}
}

// Room must be made where the most is taken: what is known of other caches matters more
// than a part of thousands.
func TestLargestHolderMakesRoom(t *testing.T) {
	d := NewDirectory(testBytes)
	sound := Holder{ID: "sound"}
	d.Add(sound, 1000, "s", Part{"a", 600}, 0, 0)
	for i := range 20_000 {
		d.Add(Holder{ID: "flooded"}, 1<<30, "s", Part{fmt.Sprint(i), 1}, 0, 0)
	}
	require.Less(t, d.Len(), 20_000)
	require.Equal(t, 600, d.HeldTokens(sound, "s", []Part{{"a", 600}}, NoAgeLimit))
	require.Equal(t, 1, d.HeldTokens(Holder{ID: "flooded"}, "s", []Part{{"19999", 1}}, NoAgeLimit), "the parts used last stay")
}

// The cost of a part must not grow with the number of holders or of their parts.
func BenchmarkAddBeyondTheLimit(b *testing.B) {
	for _, holders := range []int{10, 100, 1700} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			d := NewDirectory(11 << 20)
			for i := range b.N {
				d.Add(Holder{ID: fmt.Sprint(i % holders)}, 1<<30, "s", Part{fmt.Sprint(i), 16}, 0, 0)
			}
		})
	}
}

// A call looks up its prompt in the caches of all engines of a service.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{3, 81, 1300} {
		b.Run(fmt.Sprint("blocks=", n), func(b *testing.B) {
			d := NewDirectory(64 << 20)
			prompt := make([]Part, n)
			lookups := make([]CacheLookup, 90)
			for i := range prompt {
				prompt[i] = Part{ID: fmt.Sprint("part", i), Tokens: blockTokens}
			}
			for i := range lookups {
				lookups[i] = CacheLookup{Holder: Holder{ID: fmt.Sprint(i)}, Salt: "model@1", Since: NoAgeLimit}
				for _, p := range prompt {
					d.Add(lookups[i].Holder, 1<<30, lookups[i].Salt, p, 0, 0)
				}
			}
			for b.Loop() {
				d.Lookup(lookups, prompt, 0)
			}
		})
	}
}
