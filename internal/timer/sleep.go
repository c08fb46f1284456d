package timer

import (
	"context"
	"time"
)

// Sleep pauses for d. It reports false where ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
