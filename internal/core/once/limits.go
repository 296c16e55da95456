package once

import "time"

// Limits are the limits of a ledger.
type Limits struct {
	// AcceptAge is the maximum age of a prefix at which a new key may run.
	AcceptAge time.Duration
	// RetainAge is the age of a prefix up to which outcomes of its keys are retained.
	// It must exceed AcceptAge + MaxRunTime + ReplyGrace: a key between AcceptAge and
	// RetainAge that is not in the ledger is then proven never to have run.
	RetainAge time.Duration
	// MaxRunTime limits the time of one request, whatever deadline its caller sets.
	MaxRunTime time.Duration
	// ReplyGrace is how long after the deadline of a request its outcome is awaited.
	ReplyGrace time.Duration
	// MaxSends limits the sends of a request. Each send but the last must be proven not
	// run.
	MaxSends int
	// ReroutePause is the delay before a request is rerouted.
	ReroutePause time.Duration
	// MaxEntries and MaxBytes limit the ledger; MaxCustomerEntries and MaxCustomerBytes
	// limit each customer.
	MaxEntries         int
	MaxBytes           int
	MaxCustomerEntries int
	MaxCustomerBytes   int
	// MaxReplyBytes is the largest payload stored with an outcome. A larger payload is
	// sent to the current waiters; a later retry receives the outcome without it.
	MaxReplyBytes int
}

// DefaultLimits returns limits for a node with 64 MB of memory.
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
