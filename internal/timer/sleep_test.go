package timer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSleepEndsWithContext(t *testing.T) {
	require.True(t, Sleep(context.Background(), time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	began := time.Now()
	require.False(t, Sleep(ctx, time.Minute))
	require.Less(t, time.Since(began), time.Second)
}
