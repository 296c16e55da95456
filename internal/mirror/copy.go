// Package mirror keeps a copy of the items that the operator and the replicas publish in
// the platform's store. The copy follows the store by its revisions, read from the
// store itself or from another node's copy: a node that the store rejects reads from
// nodes that it serves.
package mirror

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"sync"
)

// Item is one published value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change. Revisions rise with
	// every change of any key, within one era of the store.
	Revision uint64
	// Rank is the writer's own order of an item's values, 0 where there is none. A value never
	// replaces one of a higher rank, whatever the store's revisions and eras.
	Rank uint64
	// Removed items have no value.
	Removed bool
}

// Position is how far a copy has read.
type Position struct {
	// Era counts how often the store was restored from a copy of itself; 0 where it announces none.
	Era uint64
	// Revision is the store's revision within the era; 0 before the first reading.
	Revision uint64
	// Rank is the highest rank of any item.
	Rank uint64
}

// Delta holds the changes of the store up to a revision, all of one era.
//
// A store that is restored from a copy of itself reuses revisions for other contents, so that revisions
// order changes within one era only. Compared across eras, everything written after the restore would
// look older than the copy and be discarded until the store's revisions exceed the copy's.
type Delta struct {
	// Era is the era of all revisions here; 0 where the store announces none.
	Era uint64
	// After is the revision after which the delta starts; 0 with Whole.
	After uint64
	// UpTo is the revision of a copy that has applied the delta.
	UpTo uint64
	// Whole deltas list every item: items that they lack are removed.
	Whole bool
	// Replace is set on a whole delta that replaces a copy which was never confirmed.
	Replace bool
	Items   []Item
}

// ApplyResult is the effect of a delta on a copy.
type ApplyResult struct {
	// Changed are the items whose value in the copy changed, in ascending order of revision.
	Changed []Item
	// Outranked are the items that were not applied, since the copy has values of a higher rank.
	Outranked []Item
	// OtherEra is set when the delta is of an older era, or is a part of a newer one, and was not
	// applied.
	OtherEra bool
	// Replaced is set when the delta replaced earlier contents; Previous is their position.
	Replaced bool
	Previous Position
	// Unchanged counts the items with the same value before and after, when Replaced.
	Unchanged int
}

// maxRemovals bounds the removed keys kept for peers. A peer whose position is before the history
// that is kept gets a whole delta.
const maxRemovals = 4096

// Copy is a node's copy of the store. It is safe for concurrent use.
type Copy struct {
	mutex    sync.Mutex
	items    map[string]Item
	removals map[string]Item
	revision uint64
	// historyFrom is the revision after which every change is known.
	historyFrom uint64
	// era is the era of all revisions here.
	era uint64
	// rank is the highest rank of any item; it never falls.
	rank    uint64
	changed chan struct{}
	// version counts the changes of the copy itself.
	version uint64
}

// Version returns the number of changes applied to the copy, and its position. While the number
// stays the same, so do the items that Since returns.
func (c *Copy) Version() (version uint64, position Position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.position()
}

// NewCopy returns an empty copy, at revision 0.
func NewCopy() *Copy {
	return &Copy{items: map[string]Item{}, removals: map[string]Item{}, changed: make(chan struct{})}
}

// Position returns the position of the copy.
func (c *Copy) Position() Position {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.position()
}

func (c *Copy) position() Position { return Position{Era: c.era, Revision: c.revision, Rank: c.rank} }

// UpTo returns the revision of the copy; 0 before the first reading.
func (c *Copy) UpTo() uint64 { return c.Position().Revision }

// Changed returns a channel that is closed at the next change of the copy.
func (c *Copy) Changed() <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.changed
}

// Get returns an item.
func (c *Copy) Get(key string) (Item, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	item, ok := c.items[key]
	return item, ok
}

// Apply applies a delta. An item is applied only when its revision is above the copy's own, so
// that deltas from several sources may arrive in any order and a late, older one never
// restores a former value. A delta that starts after the copy's revision would leave a gap:
// its items are applied, but the copy's revision stays.
//
// A whole delta of a newer era replaces all contents. A partial delta of a newer era and any
// delta of an older one are not applied.
func (c *Copy) Apply(delta Delta) ApplyResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if delta.Era < c.era || delta.Era > c.era && !delta.Whole {
		return ApplyResult{OtherEra: true}
	}
	var applied ApplyResult
	before := c.version
	if delta.Era > c.era || delta.Replace {
		applied = c.replaceAll(delta)
	} else {
		applied = c.applySameEra(delta)
	}
	if c.version != before {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	slices.SortFunc(applied.Changed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return applied
}

// applySameEra applies a delta of the copy's own era.
func (c *Copy) applySameEra(delta Delta) ApplyResult {
	var applied ApplyResult
	stale := delta.UpTo < c.revision
	for _, item := range delta.Items {
		if stale && c.wasRemoved(item) {
			continue
		}
		if c.isOutranked(item) {
			applied.Outranked = append(applied.Outranked, item)
			continue
		}
		if c.applyItem(item) {
			applied.Changed = append(applied.Changed, item)
		}
	}
	if delta.Whole {
		applied.Changed = append(applied.Changed, c.removeMissing(delta)...)
	}
	if delta.Whole && delta.UpTo > c.revision {
		c.historyFrom = max(c.historyFrom, delta.UpTo)
	}
	if delta.Whole || delta.After <= c.revision {
		c.revision = max(c.revision, delta.UpTo)
	}
	return applied
}

// replaceAll replaces all contents by those of a whole delta. Items of a higher rank stay as if the store
// had them, since their writer will write them again.
func (c *Copy) replaceAll(delta Delta) ApplyResult {
	applied := ApplyResult{Replaced: c.revision > 0, Previous: c.position()}
	previous := c.items
	c.items, c.removals = make(map[string]Item, len(delta.Items)), map[string]Item{}
	c.era, c.revision, c.historyFrom = delta.Era, delta.UpTo, delta.UpTo
	c.version++
	for _, item := range delta.Items {
		if item.Removed {
			continue
		}
		held, had := previous[item.Key]
		if had && held.Rank > item.Rank {
			applied.Outranked = append(applied.Outranked, item)
			continue
		}
		delete(previous, item.Key)
		c.put(item)
		if had && bytes.Equal(held.Value, item.Value) {
			applied.Unchanged++
			continue
		}
		applied.Changed = append(applied.Changed, item)
	}
	for key, held := range previous {
		if held.Rank > 0 {
			held.Revision = delta.UpTo
			c.put(held)
			continue
		}
		applied.Changed = append(applied.Changed, Item{Key: key, Revision: delta.UpTo, Removed: true})
	}
	return applied
}

// isOutranked reports whether the copy holds a value of a higher rank. A removal has no rank: it comes from
// the writer itself.
func (c *Copy) isOutranked(item Item) bool {
	return item.Rank > 0 && c.items[item.Key].Rank > item.Rank
}

// put stores a value.
func (c *Copy) put(item Item) {
	delete(c.removals, item.Key)
	c.items[item.Key] = item
	c.rank = max(c.rank, item.Rank)
}

// wasRemoved reports whether an item was removed since its revision: the copy is past that
// revision and does not hold it.
func (c *Copy) wasRemoved(item Item) bool {
	_, held := c.items[item.Key]
	return !held && item.Revision <= c.revision
}

// applyItem applies an item that is newer than the known state of its key, and reports whether its value changed.
func (c *Copy) applyItem(item Item) bool {
	known, had := c.items[item.Key]
	higher := had && known.Rank > 0 && item.Rank > known.Rank
	if had && known.Revision >= item.Revision && !higher {
		return false
	}
	if known, ok := c.removals[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	c.version++
	if !item.Removed {
		c.put(item)
		return !had || !bytes.Equal(known.Value, item.Value)
	}
	delete(c.items, item.Key)
	c.recordRemoval(item)
	return had
}

// removeMissing removes the items that a whole delta lacks, except those changed after the
// delta's revision.
func (c *Copy) removeMissing(delta Delta) []Item {
	listed := make(map[string]bool, len(delta.Items))
	for _, item := range delta.Items {
		listed[item.Key] = true
	}
	var missing []Item
	for key, item := range c.items {
		if listed[key] || item.Revision > delta.UpTo {
			continue
		}
		missing = append(missing, Item{Key: key, Revision: delta.UpTo, Removed: true})
	}
	for _, item := range missing {
		c.version++
		delete(c.items, item.Key)
		c.recordRemoval(item)
	}
	return missing
}

// recordRemoval keeps a removal for peers. When there are too many, all are dropped, and
// peers that are behind get whole deltas.
func (c *Copy) recordRemoval(item Item) {
	if len(c.removals) >= maxRemovals {
		clear(c.removals)
		c.historyFrom = max(c.historyFrom, c.revision, item.Revision)
	}
	c.removals[item.Key] = item
}

// Since returns the changes after the position of another copy. A copy of a newer era gets no items, since
// all items here are older. A copy of an older era gets a whole delta.
func (c *Copy) Since(position Position) Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	after := position.Revision
	if position.Era > c.era {
		return Delta{Era: c.era, After: c.revision, UpTo: c.revision}
	}
	if position.Era < c.era || after == 0 || after < c.historyFrom {
		return Delta{Era: c.era, UpTo: c.revision, Whole: true, Items: slices.Collect(maps.Values(c.items))}
	}
	delta := Delta{Era: c.era, After: after, UpTo: max(c.revision, after)}
	for _, items := range []map[string]Item{c.items, c.removals} {
		for _, item := range items {
			if item.Revision > after || item.Rank > position.Rank {
				delta.Items = append(delta.Items, item)
			}
		}
	}
	return delta
}
