package router

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/marjoramrock/marjoramrock/internal/answer"
	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
)

// BenchmarkBody measures the JSON work for one request: parsing it, extracting
// the prompt text for hashing, and encoding it for an engine.
func BenchmarkBody(b *testing.B) {
	for _, size := range []int{6 << 10, 24 << 10, 96 << 10} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			raw := promptBody(b, size)
			b.SetBytes(int64(len(raw)))
			b.ReportAllocs()
			for b.Loop() {
				parsed, err := parseBody(raw, true)
				require.NoError(b, err)
				parsed.capMaxTokens(config.Model{MaxAnswerTokens: 256})
				_ = parsed.promptParts()
				_, err = parsed.encode(engineFields{salt: "salt"})
				require.NoError(b, err)
			}
		})
	}
}

// promptBody returns a chat request of three messages.
func promptBody(tb testing.TB, size int) []byte {
	text, err := json.Marshal(strings.Repeat("a line of \"history\"\n", size/60))
	require.NoError(tb, err)
	ask := struct {
		Model    string           `json:"model"`
		Messages []answer.Message `json:"messages"`
		Max      int              `json:"max_tokens"`
		Stream   bool             `json:"stream"`
	}{Model: "m", Max: 20, Stream: true}
	for range 3 {
		ask.Messages = append(ask.Messages, answer.Message{Role: "user", Content: text})
	}
	raw, err := json.Marshal(ask)
	require.NoError(tb, err)
	return raw
}
