package trial

import (
	"testing"
	"time"

	"github.com/marjoramrock/marjoramrock/internal/config"
	"github.com/stretchr/testify/require"
)

// oneTeam returns a configuration with one team that has a rate of 100 tokens a
// second and a burst of 100, and a route with a dispatch timeout of 1 s.
func oneTeam() config.Document {
	return config.Document{
		Teams:  []config.Team{{Name: "t", Rate: 100, Burst: 100}},
		Routes: []config.Route{{Name: "r", Model: "m", DispatchTimeout: config.Duration(time.Second)}},
	}
}

func TestUnavoidableRefusals(t *testing.T) {
	sixty := &requestClass{team: "t", model: "m", noteTokens: 60}
	tests := []struct {
		give string
		at   []time.Duration
		want int
	}{
		{give: "within the burst", at: []time.Duration{0}},
		{give: "the second waits", at: []time.Duration{0, 0}},
		{give: "the fourth would wait 1.4 s and is refused without taking tokens", at: []time.Duration{0, 0, 0, 0, 1400 * time.Millisecond}, want: 1},
		{give: "spread out", at: []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond}},
	}
	for _, tt := range tests {
		var plan []arrival
		for _, at := range tt.at {
			plan = append(plan, arrival{at: at, class: sixty})
		}
		require.Equal(t, tt.want, unavoidableRefusals(plan, oneTeam())["t"], tt.give)
	}
}

func TestSetBucketLevels(t *testing.T) {
	debits := []debit{
		{team: "t", arrivedAt: time.Second, endedAt: 3 * time.Second, tokens: 80},
		{team: "t", arrivedAt: 0, endedAt: time.Second, tokens: 100},
		{team: "t", arrivedAt: 2 * time.Second, endedAt: 3 * time.Second, tokens: 20},
	}
	refusals := []Refusal{{Team: "t", EndedMillis: 2500}, {Team: "t", EndedMillis: 1500}}
	setBucketLevels(oneTeam(), debits, refusals)
	require.InDelta(t, 70, refusals[0].BucketLevel, 1e-6, "100 - 100, + 100 - 80, + 50")
	require.Equal(t, 1, refusals[0].Running)
	require.InDelta(t, 100, refusals[1].BucketLevel, 1e-6, "70 + 50 - 20, + 50, at most 100")
	require.Equal(t, 2, refusals[1].Running)
}
