package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/parts"
	"github.com/stretchr/testify/require"
)

// newCallWithSmallParts returns a call whose prompt is cut into many parts.
func newCallWithSmallParts(name string, n, tokens int) *Call {
	c := newCall("/stream/", "isolated-key")
	c.Prompt.InputTokens, c.Prompt.Parts = n*tokens, nil
	for i := range n {
		c.Prompt.Parts = append(c.Prompt.Parts, parts.Part{ID: fmt.Sprint(name, "-", i), Tokens: tokens})
	}
	return c
}

// What is kept of a prompt must depend on its tokens and on the memory of the process, not
// on the number of its parts, or clients that cut prompts into small ones end it. Their
// calls must be served and find the cache of the calls before.
func TestMemoryKeptOfPromptsWithManyPartsIsBounded(t *testing.T) {
	const calls, partsPerCall = 40, 1300
	tests := []struct {
		name     string
		tokens   int
		wantHeld int
	}{
		{"parts of one token", 1, 1296},
		{"empty parts", 0, 0},
		{"parts of 7 tokens", 7, 1299 * 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, a := newTestGateway(t, respondWith(func() *Response { return newResponse(200, eventStream("1", "2")) }))
			for i := range calls {
				c := &responseRecorder{}
				g.Serve(context.Background(), newCallWithSmallParts(fmt.Sprint(i), partsPerCall, tt.tokens), c)
				require.Equal(t, 200, c.status)
			}
			sent := a.sentAttempts()
			require.Len(t, sent, calls)
			require.LessOrEqual(t, g.parts.Len(), calls*partsPerCall*tt.tokens/10)
			last := newCallWithSmallParts(fmt.Sprint(calls-1), partsPerCall, tt.tokens).Prompt
			held := 0
			for _, s := range g.table.Statuses("", g.now()) {
				held = max(held, g.parts.HeldTokens(engineHolder(s.Server), sent[calls-1].CacheSalt, last.SharedBlocks(), parts.NoAgeLimit))
			}
			require.Equal(t, tt.wantHeld, held)
		})
	}
}

// The memory of the directory has to stay a share of that of the process.
func TestDirectoryIsBoundedByTheMemoryOfTheProcess(t *testing.T) {
	for _, memoryMB := range []int{8, 16} {
		d := newDirectory(memoryMB)
		for i := range 50_000 {
			d.Add(parts.Holder{ID: "e"}, 1<<30, "s", parts.Part{ID: fmt.Sprint(i), Tokens: 16}, time.Duration(i), 0)
		}
		require.Less(t, d.Len(), memoryMB*400)
	}
}
