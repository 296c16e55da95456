// Package latency estimates the quantiles of a service's recent latencies in a fixed amount of memory.
package latency

import (
	"math/bits"
	"time"
)

const (
	// subBucketBits divides each octave into 8 buckets: a quantile is at most an eighth too high.
	subBucketBits       = 3
	subBucketsPerOctave = 1 << subBucketBits
	octaves             = 25
	bucketCount         = octaves * subBucketsPerOctave
	// halvingThreshold is the number of samples at which all counts are halved, so that the weight of old
	// samples halves every halvingThreshold/2 samples.
	halvingThreshold = 1024
	// minSamples is the minimum number of samples for a quantile, minMedianSamples that for the median, which
	// needs fewer.
	minSamples       = 32
	minMedianSamples = 5
)

// Histogram counts latencies in buckets of whole microseconds, from 1 us to about 134 s. It takes 404
// bytes. The zero value is empty.
type Histogram struct {
	counts [bucketCount]uint16
	total  int32
}

// Record adds a latency.
func (h *Histogram) Record(latency time.Duration) {
	h.counts[bucketIndex(latency)]++
	h.total++
	if h.total >= halvingThreshold {
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

// Quantile returns an upper bound of the given quantile, 0 to 1, or false if there are too few
// samples.
func (h *Histogram) Quantile(quantile float64) (time.Duration, bool) {
	if h.total < minSamples {
		return 0, false
	}
	return h.quantile(quantile), true
}

// Median returns an upper bound of the median, or false if there are too few samples.
func (h *Histogram) Median() (time.Duration, bool) {
	if h.total < minMedianSamples {
		return 0, false
	}
	return h.quantile(0.5), true
}

func (h *Histogram) quantile(quantile float64) time.Duration {
	rank := int32(quantile * float64(h.total))
	seen := int32(0)
	for i, count := range h.counts {
		seen += int32(count)
		if seen > rank {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}

// bucketIndex derives the bucket from the highest bit and the subBucketBits bits below it.
func bucketIndex(latency time.Duration) int {
	us := uint64(max(latency.Microseconds(), 0))
	if us < subBucketsPerOctave {
		return int(us)
	}
	shift := bits.Len64(us) - 1 - subBucketBits
	index := (shift+1)*subBucketsPerOctave + int(us>>shift) - subBucketsPerOctave
	return min(index, bucketCount-1)
}

// upperBound returns the lowest latency above the bucket.
func upperBound(index int) time.Duration {
	if index < subBucketsPerOctave {
		return time.Duration(index+1) * time.Microsecond
	}
	shift := index/subBucketsPerOctave - 1
	mantissa := uint64(index%subBucketsPerOctave + subBucketsPerOctave + 1)
	return time.Duration(mantissa<<shift) * time.Microsecond
}
