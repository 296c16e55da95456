package memory

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// headLineBytes and headByteFactor give what a parsed head takes at most: each line is an entry of a map with its name
	// and list, and each byte is held as it came, in the map and as it is forwarded.
	headLineBytes  = 136
	headByteFactor = 3
	// headShare is the part of a VM's memory that all heads may take beyond that.
	headShare = 0.1
	// maxUnfinishedAge is the age from which an unfinished head gives way to others: a whole one arrives within a
	// few round trips.
	maxUnfinishedAge = 250 * time.Millisecond
)

// FreeHeadBytes is what each head may take without being counted, a hundred ordinary lines.
const FreeHeadBytes = 16 << 10

// HeadLimitBytes returns what long heads may take of a VM with the given memory; 0 or less is unknown.
func HeadLimitBytes(vmBytes int64) int64 {
	return int64(headShare * float64(knownVMBytes(vmBytes)))
}

// HeadBytes returns what a head with the given number of lines and bytes takes at most once it is parsed.
func HeadBytes(lines, bytes int) int64 {
	return headLineBytes*int64(lines) + headByteFactor*int64(bytes)
}

// Head is what the head of one request holds beyond FreeHeadBytes, from its first bytes until the request ends.
type Head struct {
	bytes int64
	// since is when it began to hold, finished is set once the request is known.
	since    core.Time
	finished bool
	cut      bool
}

// Bytes returns what the head holds.
func (h *Head) Bytes() int64 { return h.bytes }

// Heads is the account of the long heads of a node. Ordinary ones are never affected by it. It is not safe for concurrent
// use.
type Heads struct {
	limit, used int64
	unfinished  map[*Head]struct{}
}

// NewHeads returns an empty account.
func NewHeads(limitBytes int64) *Heads {
	return &Heads{limit: limitBytes, unfinished: map[*Head]struct{}{}}
}

// SetLimit sets the limit. What is held already stays.
func (a *Heads) SetLimit(limitBytes int64) { a.limit = limitBytes }

// Limit returns the limit, Used what is held of it.
func (a *Heads) Limit() int64 { return a.limit }

// Used returns the bytes that are held.
func (a *Heads) Used() int64 { return a.used }

// Grow makes an unfinished head hold what it takes by now, in bytes as of HeadBytes. It returns the unfinished heads
// that gave way, whose connections must be closed. If fits is false, the head itself must be refused.
func (a *Heads) Grow(now core.Time, h *Head, bytes int64) (cut []*Head, fits bool) {
	if h.finished || h.cut {
		return nil, !h.cut
	}
	if h.bytes == 0 {
		h.since = now
	}
	cut, fits = a.hold(now, h, bytes)
	if fits && h.bytes > 0 {
		a.unfinished[h] = struct{}{}
	}
	return cut, fits
}

// Finish makes a head hold what it takes as a whole. From then on it does not give way. If fits is false, the request
// must not be handled.
func (a *Heads) Finish(now core.Time, h *Head, bytes int64) (cut []*Head, fits bool) {
	if h.cut {
		return nil, false
	}
	h.finished = true
	delete(a.unfinished, h)
	return a.hold(now, h, bytes)
}

// Release ends what a head holds, and prepares it for the next one of its connection.
func (a *Heads) Release(h *Head) {
	a.used -= h.bytes
	h.bytes, h.finished = 0, false
	delete(a.unfinished, h)
}

// hold changes what a head holds. If nothing else is held, any head fits, as a long one would otherwise never be served.
func (a *Heads) hold(now core.Time, h *Head, bytes int64) (cut []*Head, fits bool) {
	added := max(bytes-FreeHeadBytes, 0) - h.bytes
	for added > 0 && a.used > h.bytes && a.used+added > a.limit {
		victim := a.victim(now, h)
		if victim == nil {
			return cut, false
		}
		a.Release(victim)
		victim.cut = true
		cut = append(cut, victim)
	}
	h.bytes += added
	a.used += added
	return cut, true
}

// victim returns the oldest unfinished head that gives way to another one, or nil.
func (a *Heads) victim(now core.Time, claimant *Head) *Head {
	var oldest *Head
	for h := range a.unfinished {
		if h == claimant || now-h.since < maxUnfinishedAge {
			continue
		}
		if oldest == nil || h.since < oldest.since {
			oldest = h
		}
	}
	return oldest
}
