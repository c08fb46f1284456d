package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPrefillRateIsLearned(t *testing.T) {
	tests := []struct {
		name string
		// tokensPerMilli is the rate of the engines. A share of the calls waits for up
		// to maxWait.
		tokensPerMilli float64
		waiting        float64
		maxWait        time.Duration
	}{
		{"fast engines", 200, 0.3, 50 * time.Millisecond},
		{"slow engines", 12, 0.3, time.Second},
		{"engines under load", 40, 0.6, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			table := NewTable()
			table.Put(Server{ID: "e", Service: "model"})
			table.Put(Server{ID: "p", Service: "other"})
			require.InDelta(t, startTokensPerMilli, table.Statuses("model", 0)[0].TokensPerMilli, 0.01, "nothing is measured yet")
			for range 300 {
				tokens := minMeasuredTokens + r.IntN(8000)
				took := float64(tokens) / tt.tokensPerMilli * (0.9 + 0.2*r.Float64()) * float64(time.Millisecond)
				if r.Float64() < tt.waiting {
					took += r.Float64() * float64(tt.maxWait)
				}
				table.RecordPrefill("model", tokens, time.Duration(took))
				table.RecordPrefill("model", minMeasuredTokens-1, time.Hour)
			}
			require.InEpsilon(t, tt.tokensPerMilli, table.Statuses("model", 0)[0].TokensPerMilli, 0.35)
			require.InDelta(t, startTokensPerMilli, table.Statuses("other", 0)[0].TokensPerMilli, 0.01)
		})
	}
}

func TestPrefillRateIsBounded(t *testing.T) {
	table := NewTable()
	table.Put(Server{ID: "e", Service: "model"})
	for range 1000 {
		table.RecordPrefill("model", 2000, time.Hour)
	}
	require.InDelta(t, minTokensPerMilli, table.Statuses("model", 0)[0].TokensPerMilli, 0.01)
	for range 1000 {
		table.RecordPrefill("model", 2000, time.Nanosecond)
	}
	require.InDelta(t, maxTokensPerMilli, table.Statuses("model", 0)[0].TokensPerMilli, 0.01)
}
