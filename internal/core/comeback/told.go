package comeback

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// maxTold bounds the refused requests that a node remembers, in each of two generations.
	maxTold = 1024
	// toldFor is how long a generation is filled: a caller returns after maxRetryAfter at most.
	toldFor = maxRetryAfter
)

// Key identifies a request over the attempts of its caller.
type Key uint64

// Standing is how a request stands to the time that it was told.
type Standing uint8

const (
	// Unknown means that this node did not refuse the request lately.
	Unknown Standing = iota
	// Early means that it returns before the time that it was told.
	Early
	// InTime means that it returns after that time.
	InTime
)

// String returns the name of the standing in logs and metrics.
func (s Standing) String() string {
	switch s {
	case Early:
		return "early"
	case InTime:
		return "in time"
	default:
		return "no"
	}
}

// Told remembers what refused callers were told. It drops what is older than one to two seconds. Its zero value is ready
// to use. It is not safe for concurrent use.
type Told struct {
	current, previous map[Key]core.Time
	since             core.Time
}

// Record remembers that a request was told to return at a time.
func (t *Told) Record(now core.Time, key Key, returnAt core.Time) {
	t.expire(now)
	if t.current == nil {
		t.current = map[Key]core.Time{}
	}
	if len(t.current) < maxTold {
		t.current[key] = returnAt
	}
}

// Lookup returns the standing of a request, and for one that is early the time left.
func (t *Told) Lookup(now core.Time, key Key) (Standing, time.Duration) {
	t.expire(now)
	returnAt, ok := t.current[key]
	if !ok {
		returnAt, ok = t.previous[key]
	}
	switch {
	case !ok:
		return Unknown, 0
	case now < returnAt:
		return Early, returnAt - now
	default:
		return InTime, 0
	}
}

// Forget drops a request that was admitted, so that the next one with its key counts as new.
func (t *Told) Forget(key Key) {
	delete(t.current, key)
	delete(t.previous, key)
}

// IsEmpty reports whether no refused request is remembered, so that no key needs to be computed.
func (t *Told) IsEmpty(now core.Time) bool {
	t.expire(now)
	return len(t.current) == 0 && len(t.previous) == 0
}

func (t *Told) expire(now core.Time) {
	switch age := now - t.since; {
	case age < toldFor:
	case age < 2*toldFor:
		t.previous, t.current, t.since = t.current, nil, now
	default:
		t.previous, t.current, t.since = nil, nil, now
	}
}
