package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func simulationLimits(rate float64, size int) Limits {
	excess := boundOver*(rate*boundWindow.Seconds()+rate) + boundSlack
	return Limits{Rate: rate, Burst: rate, Tolerance: 0.5 * min(1, 12/float64(size)) * excess}
}

func simulatedTake(e *Estimator, t *simulatedTeam, k callKind, now time.Duration) bool {
	ok, _ := e.Take(t.name, t.limits, k.tokens, now)
	return ok
}

func checkSurge(t *testing.T, s *surgeSimulation) {
	t.Helper()
	require.GreaterOrEqual(t, s.teams[0].got/s.teams[0].want, 0.95)
}
