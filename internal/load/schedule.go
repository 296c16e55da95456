package load

import (
	"math/rand/v2"
	"time"
)

// Arrivals is the arrival process of requests.
type Arrivals string

// The arrival processes.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsFixed   Arrivals = "fixed"
	// ArrivalsBursty sends evenly spaced bursts of burstSize requests.
	ArrivalsBursty Arrivals = "bursty"
)

const burstSize = 10

// schedule yields the offsets of the arrivals from the start. It depends on the
// seed alone, never on the latency of replies.
type schedule struct {
	kind         Arrivals
	meanInterval float64
	source       *rand.Rand
	next         float64
	count        int
}

// newSchedule returns a schedule with a mean rate in requests per second.
func newSchedule(kind Arrivals, rate float64, source *rand.Rand) *schedule {
	return &schedule{kind: kind, meanInterval: float64(time.Second) / rate, source: source}
}

// offset returns the offset of the next arrival from the start.
func (s *schedule) offset() time.Duration {
	at := time.Duration(s.next)
	s.count++
	switch s.kind {
	case ArrivalsFixed:
		s.next += s.meanInterval
	case ArrivalsBursty:
		if s.count%burstSize == 0 {
			s.next += s.meanInterval * burstSize
		}
	default:
		s.next += s.meanInterval * s.source.ExpFloat64()
	}
	return at
}
