package catalog

import (
	"fmt"
	"time"
)

// positiveCount returns the value, which must be at least 1, or the default if the
// text does not set the key.
func (b *builder) positiveCount(key string, value, fallback int) int {
	if !b.doc.Has(key) {
		return fallback
	}
	if value < 1 {
		b.doc.Report(key, fmt.Sprintf("%d is too small", value), "write a number of 1 or more")
	}
	return value
}

// positiveDuration returns the value, which must be above 0, or the default if the
// text does not set the key.
func (b *builder) positiveDuration(key string, value, fallback time.Duration) time.Duration {
	if !b.doc.Has(key) {
		return fallback
	}
	if value <= 0 {
		b.doc.Report(key, fmt.Sprintf("%s is too short", value), "write a duration above 0")
	}
	return value
}

func (b *builder) checkRange(key string, value, least, most int) {
	if value < least || value > most {
		b.doc.Report(key, fmt.Sprintf("%d is not between %d and %d", value, least, most), "write a value in this range")
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
