package timer

import (
	"context"
	"time"
)

// Sleep waits for d. It reports false if ctx was done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
