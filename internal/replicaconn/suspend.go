package replicaconn

import (
	"time"

	"golang.org/x/sys/unix"
)

// A VM may be suspended for seconds. The clock that timeouts use stands still meanwhile, so that a connection which the
// replica or a device on the path has long dropped looks as if it had been used just now. A request that must not be
// repeated would be lost on it, and nobody could tell that it did not run.

// suspendTolerance is how much the two clocks may differ between two readings without a suspension: a process that is short
// of processor time may stand still between reading the one and the other.
const suspendTolerance = 500 * time.Millisecond

// suspendWatch detects that the process was suspended.
type suspendWatch struct {
	// suspended returns how long the process was suspended in all, plus a constant.
	suspended func() time.Duration
	last      time.Duration
	// unreported is the suspended time that CloseIdleAfterSuspension has not returned yet.
	unreported time.Duration
}

func newSuspendWatch(suspended func() time.Duration) suspendWatch {
	return suspendWatch{suspended: suspended, last: suspended()}
}

// wasSuspended reports whether the process was suspended since the last call.
func (w *suspendWatch) wasSuspended() bool {
	now := w.suspended()
	passed := now - w.last
	w.last = now
	if passed < suspendTolerance {
		return false
	}
	w.unreported += passed
	return true
}

// suspendedTime returns the difference between the clock that counts suspended time and the one that does not. Where
// there is no such clock it is constant.
func suspendedTime() func() time.Duration {
	started := time.Now()
	return func() time.Duration {
		var boot unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
			return 0
		}
		return time.Duration(boot.Nano()) - time.Since(started)
	}
}

// CloseIdleAfterSuspension closes the idle connections if the process was suspended, and returns for how long since the
// last call.
func (c *Client) CloseIdleAfterSuspension() time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closeIdleAfterSuspension()
	suspended := c.suspend.unreported
	c.suspend.unreported = 0
	return suspended
}

// closeIdleAfterSuspension is CloseIdleAfterSuspension for a caller that holds the mutex.
func (c *Client) closeIdleAfterSuspension() {
	if !c.suspend.wasSuspended() {
		return
	}
	for _, p := range c.pools {
		p.closeIdle(errAbandoned)
	}
}
