package load

import (
	"math/rand/v2"
	"time"
)

// Arrivals is how requests arrive over time.
type Arrivals string

// The kinds of arrivals.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsFixed   Arrivals = "fixed"
	// ArrivalsBursty sends burstSize requests at once, bursts evenly spaced.
	ArrivalsBursty Arrivals = "bursty"
)

const burstSize = 10

// schedule yields the arrivals' offsets from the start. It depends on the seed
// alone, never on how fast answers come.
type schedule struct {
	kind   Arrivals
	gap    float64
	source *rand.Rand
	next   float64
	count  int
}

// newSchedule plans arrivals at a mean rate, in requests a second.
func newSchedule(kind Arrivals, rate float64, source *rand.Rand) *schedule {
	return &schedule{kind: kind, gap: float64(time.Second) / rate, source: source}
}

// offset returns the next arrival's time since the start.
func (s *schedule) offset() time.Duration {
	at := time.Duration(s.next)
	s.count++
	switch s.kind {
	case ArrivalsFixed:
		s.next += s.gap
	case ArrivalsBursty:
		if s.count%burstSize == 0 {
			s.next += s.gap * burstSize
		}
	default:
		s.next += s.gap * s.source.ExpFloat64()
	}
	return at
}
