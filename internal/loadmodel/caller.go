package loadmodel

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// Between a caller and a node, one way.
const callerWay = time.Millisecond

const (
	// patienceShare is the part of the time left, one in so many, that callers wait at most before
	// they come back.
	patienceShare = 3
	// earlyShare is the part of the aim, one in so many, within which a refusal is early.
	earlyShare = 4
)

// caller is one request as its caller sees it.
type caller struct {
	world *world
	kind  Kind
	place string
	began core.Time
	// tries are those left, tried is when the last one began.
	tries int
	tried core.Time
	// refused is set when a try was refused so early that the next one may earn.
	refused bool
}

// call begins a request.
func (w *world) call() {
	kind := drawn(w.random.Float64(), w.pattern.Kinds, func(one Kind) float64 { return one.Share })
	place := drawn(w.random.Float64(), w.pattern.Places, func(one Place) float64 { return one.Callers })
	c := &caller{world: w, kind: kind, place: place.Name, began: w.clock.now, tries: 2}
	w.report.asked(c)
	c.try()
}

// drawn is the one of several that a draw, 0 to 1, falls on by their shares.
func drawn[T any](draw float64, all []T, share func(T) float64) T {
	for _, one := range all {
		if draw -= share(one); draw < 0 {
			return one
		}
	}
	return all[len(all)-1]
}

func (c *caller) try() {
	w := c.world
	left := c.began + c.kind.Deadline - w.clock.now
	c.tries--
	c.tried = w.clock.now
	var near []*node
	for _, n := range w.nodes {
		if n.place.Name == c.place {
			near = append(near, n)
		}
	}
	to := near[w.random.IntN(len(near))]
	w.clock.after(callerWay, func() {
		to.ask(c.kind, left, func(result scatter.Result) {
			w.clock.after(callerWay, func() { c.answered(result) })
		})
	})
}

func (c *caller) answered(result scatter.Result) {
	w := c.world
	now := w.clock.now
	left := c.began + c.kind.Deadline - now
	if result.Enough && left > 0 {
		c.earn(float64(result.Received) / float64(w.pattern.Shards))
		return
	}
	refused := !result.Enough && !result.MayHaveRun
	if c.tries == 0 || left <= 0 {
		w.report.lost(c, refused)
		return
	}
	wait := time.Duration(0)
	if refused {
		wait = retryAfter
		if result.Rejected {
			wait = result.RetryAfter
		}
		wait = min(wait, left/patienceShare)
		c.refused = now-c.tried <= c.kind.Aim/earlyShare
	}
	w.clock.after(wait, c.try)
}

// retryAfter is what a node tells a caller that it refuses.
const retryAfter = 100 * time.Millisecond

// earn credits an answer: in full within the aim, a part of it later, times the square of its
// coverage; one that was refused early and is then served in time earns the mean of the two.
func (c *caller) earn(coverage float64) {
	now := c.world.clock.now
	worth := func(took core.Time) float64 {
		if took <= c.kind.Aim {
			return 1
		}
		return c.kind.LateWorth
	}
	credit := worth(now - c.began)
	if c.refused {
		credit = (credit + worth(now-c.tried)) / 2
	}
	c.world.report.earned(c, credit*coverage*coverage, coverage, now-c.began)
}
