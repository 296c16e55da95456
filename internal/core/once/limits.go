package once

import "time"

// Limits are the bounds of a ledger.
type Limits struct {
	// Accept is the age of a prefix up to which a new key may run.
	Accept time.Duration
	// Retain is the age of a prefix up to which its keys are kept. It must
	// exceed Accept + MaxRun + Grace: a key that is not in the ledger between
	// the two ages has then provably never run.
	Retain time.Duration
	// MaxRun bounds one request's time, whatever its caller gives.
	MaxRun time.Duration
	// Grace is how long after its deadline a run's outcome is awaited.
	Grace time.Duration
	// MaxSends bounds the sends of a request, each but the last proven not run.
	MaxSends int
	// ReroutePause is the wait before a request is routed anew.
	ReroutePause time.Duration
	// Entries and Bytes bound the ledger, the other two each customer's share.
	Entries         int
	Bytes           int
	CustomerEntries int
	CustomerBytes   int
	// ReplyBytes is the largest payload kept with an outcome. A larger one goes
	// to those who wait for it; a later retry learns the outcome without it.
	ReplyBytes int
}

// DefaultLimits are sized for the 64 MB that a node has.
func DefaultLimits() Limits {
	return Limits{
		Accept:          2 * time.Minute,
		Retain:          10 * time.Minute,
		MaxRun:          time.Minute,
		Grace:           500 * time.Millisecond,
		MaxSends:        4,
		ReroutePause:    20 * time.Millisecond,
		Entries:         20_000,
		Bytes:           16 << 20,
		CustomerEntries: 10_000,
		CustomerBytes:   8 << 20,
		ReplyBytes:      16 << 10,
	}
}
