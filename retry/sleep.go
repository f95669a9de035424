package retry

import (
	"context"
	"time"
)

// Sleep waits for a duration and reports whether it passed before the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
