package condition

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// TTL is how long a node's word on a replica counts.
	TTL = 4 * time.Second
	// renewInterval is the least time between two similar tellings on one replica.
	renewInterval = time.Second
	// MaxBatch bounds the observations in one message; the rest follows in the next one.
	MaxBatch = 256
)

// A node that reaches few of the replicas that it tries is probably cut off itself. It then tells nobody that replicas
// are unreachable or fail.
const (
	selfDoubtWindow = 2 * time.Second
	selfDoubtShare  = 0.5
	selfDoubtMin    = 4
)

// Teller decides when a node tells the others which of its observations.
type Teller[K comparable] struct {
	told map[K]telling[K]
}

// telling is what was told of a replica last.
type telling[K comparable] struct {
	Observation[K]
	at core.Time
}

// NewTeller returns a teller that has told nothing.
func NewTeller[K comparable]() *Teller[K] { return &Teller[K]{told: map[K]telling[K]{}} }

// Step returns what to tell now of the node's recent observations: what is notable and new or much changed, a renewal of
// what holds by newer outcomes, and once that a replica is as usual again.
func (t *Teller[K]) Step(now core.Time, observed []Observation[K]) []Observation[K] {
	t.forget(now)
	doubtful := doubtsItself(now, observed)
	var news []Observation[K]
	for _, o := range observed {
		if len(news) >= MaxBatch {
			break
		}
		if doubtful {
			o.Unreachable, o.Failed = false, 0
		}
		if t.isNews(o, now) {
			t.told[o.Replica] = telling[K]{Observation: o, at: now}
			news = append(news, o)
		}
	}
	return news
}

// isNews reports whether an observation is to be told now.
func (t *Teller[K]) isNews(o Observation[K], now core.Time) bool {
	last, told := t.told[o.Replica]
	switch {
	case now-o.At >= TTL:
		return false
	case !told:
		return o.Notable()
	case o.At <= last.At:
		return false
	case o.differsMuch(last.Condition):
		return o.Notable() || last.Notable()
	default:
		return o.Notable() && now-last.at >= renewInterval
	}
}

// Current returns what was told and still counts, for a node that has just joined.
func (t *Teller[K]) Current(now core.Time) []Observation[K] {
	t.forget(now)
	var current []Observation[K]
	for _, last := range t.told {
		if last.Notable() && len(current) < MaxBatch {
			current = append(current, last.Observation)
		}
	}
	return current
}

// forget drops what no longer counts.
func (t *Teller[K]) forget(now core.Time) {
	for replica, last := range t.told {
		if now-last.Observation.At >= TTL {
			delete(t.told, replica)
		}
	}
}

// doubtsItself reports whether the node is more likely cut off than the replicas that it cannot reach.
func doubtsItself[K comparable](now core.Time, observed []Observation[K]) bool {
	recent, unreachable := 0, 0
	for _, o := range observed {
		if now-o.At > selfDoubtWindow {
			continue
		}
		recent++
		if o.Unreachable {
			unreachable++
		}
	}
	return unreachable >= selfDoubtMin && float64(unreachable) > selfDoubtShare*float64(recent)
}
