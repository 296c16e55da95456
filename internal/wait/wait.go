// Package wait pauses a goroutine for a time that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for the time to pass. It reports false when the context ended first;
// without a time left to wait, whether it has ended already.
func For(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
