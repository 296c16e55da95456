// Package budget bounds the load that retries and hedges add to first tries.
//
// A Budget is a token bucket without a clock: each first try adds a share of a
// token, each extra try takes a whole one, and the bucket starts full. So over
// any stretch of work, however long,
//
//	extra tries <= Ratio x first tries + Floor
//
// A fleet that fails everything is asked about a tenth more, not twice.
package budget

import "math"

// Defaults of a Config.
const (
	DefaultRatio = 0.1
	DefaultFloor = 20
)

// unit is a token in the thousandths that a Budget counts in: whole numbers
// keep the bound exact where sums of a float share would drift.
const unit = 1000

// Config chooses a bound. The zero value takes the defaults.
type Config struct {
	// Ratio is the share of a token that a first try adds, in steps of 0.001.
	Ratio float64
	// Floor is the number of tokens that a bucket starts with and holds at
	// most; it lets a quiet service or customer retry at all.
	Floor int
}

func (c Config) withDefaults() Config {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
	}
	return c
}

// Budget is one token bucket. It is not safe for concurrent use.
type Budget struct {
	share  int64
	limit  int64
	tokens int64
}

// New makes a full bucket.
func New(config Config) *Budget {
	config = config.withDefaults()
	limit := int64(config.Floor) * unit
	return &Budget{share: int64(math.Round(config.Ratio * unit)), limit: limit, tokens: limit}
}

// FirstTry notes n first tries.
func (b *Budget) FirstTry(n int) {
	b.tokens = min(b.limit, b.tokens+int64(n)*b.share)
}

// CanExtra reports whether a token is there, without taking it.
func (b *Budget) CanExtra() bool { return b.tokens >= unit }

// TryExtra takes a token for a retry or a hedge; false means that it must not
// be sent.
func (b *Budget) TryExtra() bool {
	if !b.CanExtra() {
		return false
	}
	b.tokens -= unit
	return true
}

// Full reports whether the bucket is as New makes it.
func (b *Budget) Full() bool { return b.tokens == b.limit }
