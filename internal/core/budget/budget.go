// Package budget limits the load that retries and hedges add to first attempts.
//
// A Budget is a token bucket without a clock: each first attempt adds a fraction of a token, each
// extra attempt takes a whole one, and the bucket starts full. Over any sequence of attempts
//
//	extra attempts <= Ratio x first attempts + Floor
//
// When all requests fail, the load thus grows by about a tenth instead of doubling.
package budget

import "math"

// Defaults of a Config.
const (
	DefaultRatio = 0.1
	DefaultFloor = 20
)

// tokenUnits is the number of units per token. A Budget counts in whole units to keep the bound exact;
// sums of floating-point fractions would drift.
const tokenUnits = 1000

// Config configures a Budget. Zero values select the defaults.
type Config struct {
	// Ratio is the fraction of a token that a first attempt adds, in steps of 0.001.
	Ratio float64
	// Floor is the initial and maximum number of tokens. It allows retries for services and customers with
	// little traffic.
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
	tokensPerFirstTry int64
	capacity          int64
	tokens            int64
}

// New returns a full bucket.
func New(config Config) *Budget {
	config = config.withDefaults()
	capacity := int64(config.Floor) * tokenUnits
	return &Budget{tokensPerFirstTry: int64(math.Round(config.Ratio * tokenUnits)), capacity: capacity, tokens: capacity}
}

// AddFirst records n first attempts.
func (b *Budget) AddFirst(n int) {
	b.tokens = min(b.capacity, b.tokens+int64(n)*b.tokensPerFirstTry)
}

// CanTakeExtra reports whether a token is available, without taking it.
func (b *Budget) CanTakeExtra() bool { return b.tokens >= tokenUnits }

// TakeExtra takes a token for a retry or a hedge. If it returns false, the attempt must not be sent.
func (b *Budget) TakeExtra() bool {
	if !b.CanTakeExtra() {
		return false
	}
	b.tokens -= tokenUnits
	return true
}

// Full reports whether the bucket is in its initial state.
func (b *Budget) Full() bool { return b.tokens == b.capacity }
