// Package latency learns the quantiles of a service's recent latencies in a
// fixed number of bytes.
package latency

import (
	"math/bits"
	"time"
)

const (
	// subBits splits each doubling into 8 buckets: a quantile is at most an
	// eighth too high.
	subBits  = 3
	subCount = 1 << subBits
	octaves  = 25
	buckets  = octaves * subCount
	// window is the number of samples at which all counts are halved, so that
	// the weight of old samples falls by half every window/2 samples.
	window = 1024
	// minSamples is the least number of samples that a quantile rests on.
	minSamples = 32
)

// Histogram counts latencies in buckets of whole microseconds, from 1 us to
// about 134 s. It takes 404 bytes. The zero value is empty.
type Histogram struct {
	counts [buckets]uint16
	total  int32
}

// Record adds one latency.
func (h *Histogram) Record(latency time.Duration) {
	h.counts[bucketOf(latency)]++
	h.total++
	if h.total >= window {
		h.halve()
	}
}

func (h *Histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int32(h.counts[i])
	}
}

// Quantile returns an upper bound of the given quantile, 0 to 1; false while
// too few samples are known.
func (h *Histogram) Quantile(quantile float64) (time.Duration, bool) {
	if h.total < minSamples {
		return 0, false
	}
	wanted := int32(quantile * float64(h.total))
	seen := int32(0)
	for i, count := range h.counts {
		seen += int32(count)
		if seen > wanted {
			return upperBound(i), true
		}
	}
	return upperBound(buckets - 1), true
}

// bucketOf finds the bucket by the highest bit and the subBits below it.
func bucketOf(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 0))
	if us < subCount {
		return int(us)
	}
	shift := bits.Len64(us) - 1 - subBits
	index := (shift+1)*subCount + int(us>>shift) - subCount
	return min(index, buckets-1)
}

// upperBound is the least latency above the bucket.
func upperBound(index int) time.Duration {
	if index < subCount {
		return time.Duration(index+1) * time.Microsecond
	}
	shift := index/subCount - 1
	mantissa := uint64(index%subCount + subCount + 1)
	return time.Duration(mantissa<<shift) * time.Microsecond
}
