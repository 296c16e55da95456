// Package pauses predicts the pauses of replicas that pause at regular intervals, for example for garbage
// collection or a checkpoint.
//
// A query over ninety shards meets several paused replicas. Each is detected only when it is overdue, and if the
// hedge goes to a paused replica too, the answer lacks a part. A request that waited through a pause shows its
// end to within an answer time. The observations of all replicas together give the interval, so that one
// observed pause of a replica predicts its next ones, and first sends and hedges go to other replicas
// meanwhile. If pauses are not regular, no interval has a clear peak and no pauses are predicted.
package pauses

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

const (
	// minInterval and maxInterval bound the intervals that are detected. Pauses at shorter
	// intervals count as slowness, pauses at longer ones cost little.
	minInterval = time.Second
	maxInterval = 10 * time.Second
	// bucketWidth is the width of a histogram bucket of intervals; a peak includes peakRadius
	// buckets on each side, since the end of a pause is known to within an answer time and the
	// answer's network time.
	bucketWidth = 20 * time.Millisecond
	peakRadius  = 1
	bucketCount = int((maxInterval - minInterval) / bucketWidth)
	// minPeakCount and minPeakShare are the least count of a peak and its least share of all
	// counted intervals. Of random intervals about 1 % fall into the width of a peak.
	minPeakCount = 8
	minPeakShare = 0.1
	// halveAt is the number of counted intervals at which all counts are halved.
	halveAt = 1024
	// samePauseWithin is the time within which observations are of the same pause.
	samePauseWithin = 400 * time.Millisecond
	// margin is how much earlier or later than predicted a pause may occur.
	margin = 25 * time.Millisecond
	// expiryIntervals is the number of intervals after which a prediction expires unless a pause
	// is observed again. While requests avoid a replica's pauses, only those that cannot go
	// elsewhere observe them.
	expiryIntervals = 8
	// durationQuantile is the quantile of the requests' waits that estimates the duration of a
	// pause: requests arrive at any moment of it, so that only the longest waits last for all of it.
	durationQuantile = 0.9
	// minIntervalRatio is the least ratio of the interval to the duration of a pause.
	minIntervalRatio = 4
)

// Estimator estimates the interval and duration of pauses, which all replicas have in common. The zero value
// predicts no pauses. It is not safe for concurrent use.
type Estimator struct {
	// Disabled turns predictions off, for comparison runs.
	Disabled bool
	counts   [bucketCount]uint16
	// offsets holds, by bucket, the sum of the counted intervals' offsets from the bucket's lower end.
	offsets   [bucketCount]time.Duration
	total     int
	durations latency.Histogram
	interval  time.Duration
	duration  time.Duration
}

// Phase holds when one replica was last observed to pause. The zero value means never.
type Phase struct {
	// lastEnd is when the last accepted pause ended, outlierEnd when a pause ended that does not fit it; 0 is
	// unknown.
	lastEnd, outlierEnd core.Time
}

// Observe records a request that waited for the given time until the replica's pause ended.
func (e *Estimator) Observe(p *Phase, end core.Time, waited time.Duration) {
	if p.lastEnd > 0 && end-p.lastEnd < samePauseWithin {
		// The first answer after a pause shows its end best, since the others queue behind it.
		if p.lastEnd-end < samePauseWithin {
			p.lastEnd = min(p.lastEnd, end)
		}
		return
	}
	// A wait that does not fit the interval has another cause and may be much longer than a pause.
	if e.interval == 0 || p.lastEnd > 0 && isMultiple(end-p.lastEnd, e.interval) {
		e.durations.Record(waited)
	}
	if p.lastEnd > 0 {
		e.addInterval(end - p.lastEnd)
	}
	e.findInterval()
	p.update(end, e.interval)
}

// update moves the phase to an observed pause. A pause that does not fit the previous one is accepted only when
// it is observed a second time, since a single long answer may have another cause.
func (p *Phase) update(end core.Time, interval time.Duration) {
	switch {
	case interval == 0 || p.lastEnd == 0 || isMultiple(end-p.lastEnd, interval) || end-p.lastEnd > expiryIntervals*interval:
		p.lastEnd, p.outlierEnd = end, 0
	case p.outlierEnd > 0 && end-p.outlierEnd >= samePauseWithin && isMultiple(end-p.outlierEnd, interval):
		p.lastEnd, p.outlierEnd = end, 0
	default:
		p.outlierEnd = end
	}
}

// isMultiple reports whether a time is close to a multiple of an interval.
func isMultiple(gap, interval time.Duration) bool {
	offset := gap % interval
	return min(offset, interval-offset) <= 2*margin
}

func (e *Estimator) addInterval(gap time.Duration) {
	if gap < minInterval || gap >= maxInterval {
		return
	}
	at := int((gap - minInterval) / bucketWidth)
	e.counts[at]++
	e.offsets[at] += (gap - minInterval) % bucketWidth
	e.total++
	if e.total < halveAt {
		return
	}
	e.total = 0
	for i := range e.counts {
		halved := e.counts[i] / 2
		e.offsets[i] = e.offsets[i] * time.Duration(halved) / time.Duration(max(e.counts[i], 1))
		e.counts[i] = halved
		e.total += int(e.counts[i])
	}
}

// findInterval sets the interval to that of the highest peak, the shortest among equal ones, or to 0 if there is
// no sufficient peak.
func (e *Estimator) findInterval() {
	best, bestCount := -1, 0
	for i := peakRadius; i < bucketCount-peakRadius; i++ {
		count := 0
		for j := i - peakRadius; j <= i+peakRadius; j++ {
			count += int(e.counts[j])
		}
		if count > bestCount {
			best, bestCount = i, count
		}
	}
	e.interval, e.duration = 0, 0
	if bestCount < minPeakCount || float64(bestCount) < minPeakShare*float64(e.total) {
		return
	}
	duration, known := e.durations.Quantile(durationQuantile)
	interval := e.meanInterval(best)
	if !known || duration > interval/minIntervalRatio {
		return
	}
	e.interval, e.duration = interval, duration
}

// meanInterval returns the mean of the intervals counted around a bucket. It uses the exact offsets because a
// prediction eight intervals ahead is off by eight times the error of the interval.
func (e *Estimator) meanInterval(best int) time.Duration {
	sum, count := time.Duration(0), time.Duration(0)
	for j := best - peakRadius; j <= best+peakRadius; j++ {
		sum += time.Duration(e.counts[j])*(minInterval+time.Duration(j)*bucketWidth) + e.offsets[j]
		count += time.Duration(e.counts[j])
	}
	return sum / count
}

// Interval returns the time from one pause to the next and the duration of a pause, 0 while they are unknown.
func (e *Estimator) Interval() (interval, duration time.Duration) { return e.interval, e.duration }

// ExpectsPause reports whether work of the given duration sent to a replica now would probably meet its pause.
func (e *Estimator) ExpectsPause(p *Phase, work time.Duration, now core.Time) bool {
	if e.Disabled || e.interval == 0 || p.lastEnd == 0 || now-p.lastEnd > expiryIntervals*e.interval {
		return false
	}
	since := (now - p.lastEnd) % e.interval
	return now-p.lastEnd >= e.interval-e.duration-margin-work && (since < margin || since > e.interval-e.duration-margin-work)
}

// Age returns how long ago the replica's last known pause ended, false if none is known.
func (p *Phase) Age(now core.Time) (time.Duration, bool) { return now - p.lastEnd, p.lastEnd > 0 }

// ObserveRemote records the age of a pause that another node observed, unless a later one is known here.
func (e *Estimator) ObserveRemote(p *Phase, age time.Duration, now core.Time) {
	end := now - age
	if end <= p.lastEnd+samePauseWithin {
		return
	}
	if p.lastEnd > 0 {
		e.addInterval(end - p.lastEnd)
		e.findInterval()
	}
	p.update(end, e.interval)
}
