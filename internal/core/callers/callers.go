// Package callers tells which callers of an entry have more than their share.
//
// A caller is what a node sees of it: its address. The share is the mean of the other callers at this entry, so that it
// needs no setting and no knowledge of other nodes. A caller that spreads its requests over several entries is measured at
// each of them alone, and so gets at most the number of entries times what it would get at one.
package callers

import (
	"math"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	// window is the time constant with which past requests lose weight.
	window = 2 * time.Second
	// maxShares is how many times the mean of the others a caller may have, and slack the number of requests in the
	// window that it may have beyond that: a few requests are no excess.
	maxShares = 1.5
	slack     = 4
	// maxCallers bounds the callers that are counted. Those that do not fit are never over their share.
	maxCallers = 4096
	// forgottenWeight is the weight below which a caller is dropped, about four windows after its last request.
	forgottenWeight = 0.02
)

// usage is the weight of a caller's recent requests, as of a time.
type usage struct {
	weight float64
	at     core.Time
}

func (u usage) weightAt(now core.Time) float64 {
	return u.weight * math.Exp(-float64(max(now-u.at, 0))/float64(window))
}

// Table counts the recent requests of callers. It is not safe for concurrent use.
type Table struct {
	callers map[string]usage
	total   usage
	sweptAt core.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{callers: map[string]usage{}} }

// Admitted counts an admitted request of a caller. Rejected ones take no room and do not count, so that a caller over
// its share is admitted again once others have had theirs. An unknown caller, "", is not counted.
func (t *Table) Admitted(caller string, now core.Time) {
	t.sweep(now)
	known, exists := t.callers[caller]
	if caller == "" || !exists && len(t.callers) >= maxCallers {
		return
	}
	t.callers[caller] = usage{weight: known.weightAt(now) + 1, at: now}
	t.total = usage{weight: t.total.weightAt(now) + 1, at: now}
}

// IsOver reports whether a caller is over its share. A single caller competes with nobody.
func (t *Table) IsOver(caller string, now core.Time) bool {
	known, exists := t.callers[caller]
	others := len(t.callers) - 1
	if !exists || others == 0 {
		return false
	}
	weight := known.weightAt(now)
	mean := max(t.total.weightAt(now)-weight, 0) / float64(others)
	return weight > maxShares*mean+slack
}

// sweep drops callers without recent requests, once in each window.
func (t *Table) sweep(now core.Time) {
	if now-t.sweptAt < window {
		return
	}
	t.sweptAt = now
	for caller, known := range t.callers {
		if known.weightAt(now) < forgottenWeight {
			delete(t.callers, caller)
		}
	}
}

// OverShare returns the callers that are over their share, for operators.
func (t *Table) OverShare(now core.Time) []string {
	var over []string
	for caller := range t.callers {
		if t.IsOver(caller, now) {
			over = append(over, caller)
		}
	}
	return over
}
