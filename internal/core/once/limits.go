package once

import "time"

// Limits are the bounds of a ledger.
type Limits struct {
	// AcceptAge is the age of a prefix up to which a new key may run.
	AcceptAge time.Duration
	// RetainAge is the age of a prefix up to which its keys are kept. It must
	// exceed Accept + MaxRun + Grace: a key that is not in the ledger between
	// the two ages has then provably never run.
	RetainAge time.Duration
	// MaxRunTime bounds one request's time, whatever its caller gives.
	MaxRunTime time.Duration
	// ReplyGrace is how long after its deadline a run's outcome is awaited.
	ReplyGrace time.Duration
	// MaxSends bounds the sends of a request, each but the last proven not run.
	MaxSends int
	// ReroutePause is the wait before a request is routed anew.
	ReroutePause time.Duration
	// MaxEntries and Bytes bound the ledger, the other two each customer's share.
	MaxEntries         int
	MaxBytes           int
	MaxCustomerEntries int
	MaxCustomerBytes   int
	// MaxReplyBytes is the largest payload kept with an outcome. A larger one goes
	// to those who wait for it; a later retry learns the outcome without it.
	MaxReplyBytes int
}

// DefaultLimits are sized for the 64 MB that a node has.
func DefaultLimits() Limits {
	return Limits{
		AcceptAge:          2 * time.Minute,
		RetainAge:          10 * time.Minute,
		MaxRunTime:         time.Minute,
		ReplyGrace:         500 * time.Millisecond,
		MaxSends:           4,
		ReroutePause:       20 * time.Millisecond,
		MaxEntries:         20_000,
		MaxBytes:           16 << 20,
		MaxCustomerEntries: 10_000,
		MaxCustomerBytes:   8 << 20,
		MaxReplyBytes:      16 << 10,
	}
}
