// Package wait pauses a goroutine for a duration that a context can cut short.
package wait

import (
	"context"
	"time"
)

// For waits for the duration of pause. It returns false if the context is cancelled
// first or, with a pause of zero or less, is already cancelled.
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
