// Package wait pauses a goroutine for a time that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for the time to pass. It reports false when the context ended first.
func For(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
