package catalog

import (
	"fmt"
	"time"
)

// count returns a count of at least 1, or the default when it is not written.
func (b *builder) count(key string, value, fallback int) int {
	if !b.doc.Has(key) {
		return fallback
	}
	if value < 1 {
		b.doc.Report(key, fmt.Sprintf("%d is too small", value), "write a number of 1 or more")
	}
	return value
}

// duration returns a duration above 0, or the default when it is not written.
func (b *builder) duration(key string, value, fallback time.Duration) time.Duration {
	if !b.doc.Has(key) {
		return fallback
	}
	if value <= 0 {
		b.doc.Report(key, fmt.Sprintf("%s is too short", value), "write a duration above 0")
	}
	return value
}

func (b *builder) between(key string, value, least, most int) {
	if value < least || value > most {
		b.doc.Report(key, fmt.Sprintf("%d is outside %d to %d", value, least, most), "choose a value inside")
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
