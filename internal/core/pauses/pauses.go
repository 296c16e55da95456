// Package pauses learns when replicas stand still that do so at regular intervals, as for a
// collection of garbage or a checkpoint.
//
// A question over ninety shards meets several replicas that stand still. Each is found out by being
// late, and where the second one asked stands still too, the answer lacks a part. A pause
// is seen by the request that waited through it: its end is known to within an answer time. All replicas
// together tell the interval, so that one sight of a replica's pause tells its next ones, and first sends
// and hedges go elsewhere meanwhile. Where pauses are not regular no interval stands out, and
// nothing is expected.
package pauses

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

const (
	// leastInterval and mostInterval bound the intervals that are looked for. Shorter ones are
	// slowness, longer ones cost little.
	leastInterval = time.Second
	mostInterval  = 10 * time.Second
	// bucket is the width in which intervals are counted, spread that of a peak: ends are
	// known to within an answer time and the way of the answer.
	bucket  = 20 * time.Millisecond
	spread  = 1
	buckets = int((mostInterval - leastInterval) / bucket)
	// leastSeen and leastShare say when an interval stands out: so many of all sights. Random
	// intervals put about one in a hundred into the width of a peak.
	leastSeen  = 8
	leastShare = 0.1
	// window is the number of sights at which all counts are halved.
	window = 1024
	// sameWithin separates the sights of one pause by several requests from those of two.
	sameWithin = 400 * time.Millisecond
	// margin is how much earlier and later than expected a pause may come.
	margin = 25 * time.Millisecond
	// lastsFor is how many intervals an expectation lasts without being seen again. While a replica is
	// left alone in its pauses, only requests that cannot go elsewhere see them.
	lastsFor = 8
	// lengthQuantile of the times that requests stood is taken for a pause's length: a request
	// comes at any moment of it, so that the longest of them are as long.
	lengthQuantile = 0.9
	// mostLength is the part of an interval, one in so many, that a pause may last.
	mostLength = 4
)

// Estimator is what the pauses of all replicas have in common. The zero value knows nothing. It is not
// safe for concurrent use.
type Estimator struct {
	// Disabled expects nothing, to compare with.
	Disabled bool
	counts   [buckets]uint16
	// offsets are how far into their buckets the counted intervals lie, added up.
	offsets [buckets]time.Duration
	total   int
	lengths latency.Histogram
	every   time.Duration
	lasts   time.Duration
}

// Phase is when one replica pauses. The zero value knows nothing.
type Phase struct {
	// end is when a pause ended, stray when one ended that does not fit it; 0 is not known.
	end, stray core.Time
}

// Observe notes a request that stood for a time until the replica's pause ended.
func (r *Estimator) Observe(c *Phase, end core.Time, stood time.Duration) {
	if c.end > 0 && end-c.end < sameWithin {
		// The first answer after a pause tells its end best: others queue behind it.
		if c.end-end < sameWithin {
			c.end = min(c.end, end)
		}
		return
	}
	// What does not fit the rhythm stood for another reason, and may have stood much longer.
	if r.every == 0 || c.end > 0 && fits(end-c.end, r.every) {
		r.lengths.Record(stood)
	}
	if c.end > 0 {
		r.count(end - c.end)
	}
	r.look()
	c.take(end, r.every)
}

// take moves a clock to a pause that was seen. One that does not fit the former is believed when it is
// seen a second time: a single long answer may have another cause.
func (c *Phase) take(end core.Time, every time.Duration) {
	switch {
	case every == 0 || c.end == 0 || fits(end-c.end, every) || end-c.end > lastsFor*every:
		c.end, c.stray = end, 0
	case c.stray > 0 && end-c.stray >= sameWithin && fits(end-c.stray, every):
		c.end, c.stray = end, 0
	default:
		c.stray = end
	}
}

// fits reports whether a time is close to a multiple of an interval.
func fits(gap, every time.Duration) bool {
	off := gap % every
	return min(off, every-off) <= 2*margin
}

func (r *Estimator) count(gap time.Duration) {
	if gap < leastInterval || gap >= mostInterval {
		return
	}
	at := int((gap - leastInterval) / bucket)
	r.counts[at]++
	r.offsets[at] += (gap - leastInterval) % bucket
	r.total++
	if r.total < window {
		return
	}
	r.total = 0
	for i := range r.counts {
		left := r.counts[i] / 2
		r.offsets[i] = r.offsets[i] * time.Duration(left) / time.Duration(max(r.counts[i], 1))
		r.counts[i] = left
		r.total += int(r.counts[i])
	}
}

// look finds the interval that stands out, the shortest where several do alike.
func (r *Estimator) look() {
	best, most := -1, 0
	for i := spread; i < buckets-spread; i++ {
		near := 0
		for j := i - spread; j <= i+spread; j++ {
			near += int(r.counts[j])
		}
		if near > most {
			best, most = i, near
		}
	}
	r.every, r.lasts = 0, 0
	if most < leastSeen || float64(most) < leastShare*float64(r.total) {
		return
	}
	length, known := r.lengths.Quantile(lengthQuantile)
	every := r.middle(best)
	if !known || length > every/mostLength {
		return
	}
	r.every, r.lasts = every, length
}

// middle is the mean interval of the buckets around one. It is exact: eight intervals on, an expectation
// is off by eight times its error.
func (r *Estimator) middle(best int) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for j := best - spread; j <= best+spread; j++ {
		sum += time.Duration(r.counts[j])*(leastInterval+time.Duration(j)*bucket) + r.offsets[j]
		count += time.Duration(r.counts[j])
	}
	return sum / count
}

// Interval is the time from one pause to the next and how long one lasts; 0 while none stands out.
func (r *Estimator) Interval() (every, lasts time.Duration) { return r.every, r.lasts }

// ExpectsPause reports whether work of a length that comes to a replica now would probably meet its pause.
func (r *Estimator) ExpectsPause(c *Phase, work time.Duration, now core.Time) bool {
	if r.Disabled || r.every == 0 || c.end == 0 || now-c.end > lastsFor*r.every {
		return false
	}
	since := (now - c.end) % r.every
	return now-c.end >= r.every-r.lasts-margin-work && (since < margin || since > r.every-r.lasts-margin-work)
}

// Age is how long ago a pause of a replica ended; false where none is known.
func (c *Phase) Age(now core.Time) (time.Duration, bool) { return now - c.end, c.end > 0 }

// ObserveRemote takes the age of a pause that another node saw, unless a later one is known here.
func (r *Estimator) ObserveRemote(c *Phase, age time.Duration, now core.Time) {
	end := now - age
	if end <= c.end+sameWithin {
		return
	}
	if c.end > 0 {
		r.count(end - c.end)
		r.look()
	}
	c.take(end, r.every)
}
