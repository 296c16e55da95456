// Package mirror keeps a copy of what the operator and the replicas publish in
// the platform's store. The copy follows the store by its revisions, read from
// the store itself or from another node's copy: a node that the store turns away
// learns from those that it serves.
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

// Position is how far a copy has come.
type Position struct {
	// Era counts how often the store came back from a copy of itself; 0 where it tells none.
	Era uint64
	// Revision is the store's within the era; 0 before the first reading.
	Revision uint64
	// Rank is the highest rank of any item.
	Rank uint64
}

// Delta is what changed in the store up to a revision. All of it is of one era.
//
// A store that comes back from a copy of itself gives revisions out again, for other contents: its
// revisions order what was written within one era only. Compared over eras, all that it has written
// anew is older than what a copy has, and is thrown away until the revisions have passed.
type Delta struct {
	// Era is that of all revisions here; 0 where the store tells none.
	Era uint64
	// After is the revision that the delta starts behind; 0 with Whole.
	After uint64
	// UpTo is the revision that a copy has after taking the delta.
	UpTo uint64
	// Whole deltas list every item there is: what they lack is gone.
	Whole bool
	// Replace is set on a whole delta that takes the place of a copy which was never confirmed.
	Replace bool
	Items   []Item
}

// ApplyResult is what became of a delta.
type ApplyResult struct {
	// Changed are the items whose value in the copy changed, by rising revision.
	Changed []Item
	// Outranked are the items that the copy did not take since its own have a higher rank.
	Outranked []Item
	// OtherEra is set when the delta is of an older era, or a part of a newer one: nothing of it
	// was taken.
	OtherEra bool
	// Replaced is set when the delta took the place of a former content; Former is how far that reached.
	Replaced bool
	Previous Position
	// Unchanged counts the items that were the same before, when Replaced.
	Unchanged int
}

// maxRemoved bounds the removed keys that are remembered for peers. One that asks
// for changes before the oldest of them gets a whole delta.
const maxRemoved = 4096

// Copy is a node's copy of the store. It is safe for concurrent use.
type Copy struct {
	mutex   sync.Mutex
	items   map[string]Item
	removed map[string]Item
	upTo    uint64
	// floor is the revision from which on changes are known one by one.
	floor uint64
	// era is that of all revisions here.
	era uint64
	// rank is the highest of any item; it never falls.
	rank    uint64
	changed chan struct{}
	// version counts the changes of the copy itself.
	version uint64
}

// Version returns the number of changes that the copy has taken up and how far it has come. While
// the number stays the same, so do the items that Since returns.
func (c *Copy) Version() (version uint64, reached Position) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.reached()
}

// NewCopy makes an empty copy, of revision 0.
func NewCopy() *Copy {
	return &Copy{items: map[string]Item{}, removed: map[string]Item{}, changed: make(chan struct{})}
}

// Position is how far the copy has come.
func (c *Copy) Position() Position {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.reached()
}

func (c *Copy) reached() Position { return Position{Era: c.era, Revision: c.upTo, Rank: c.rank} }

// UpTo is the revision that the copy has reached; 0 before the first reading.
func (c *Copy) UpTo() uint64 { return c.Position().Revision }

// Changed is closed when the copy takes up its next change.
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

// Apply takes a delta. An item is taken only when its revision is above the copy's own, so
// that deltas from several sources may come in any order and a late, older one
// never takes a value back. A delta that starts behind what the copy has reached
// would leave a gap: only its items are taken then, not its revision.
//
// A whole delta of a newer era takes the place of everything; a part of one cannot be laid on this
// copy, and nothing of an older era is taken.
func (c *Copy) Apply(delta Delta) ApplyResult {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if delta.Era < c.era || delta.Era > c.era && !delta.Whole {
		return ApplyResult{OtherEra: true}
	}
	var applied ApplyResult
	before := c.version
	if delta.Era > c.era || delta.Replace {
		applied = c.replace(delta)
	} else {
		applied = c.lay(delta)
	}
	if c.version != before {
		close(c.changed)
		c.changed = make(chan struct{})
	}
	slices.SortFunc(applied.Changed, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return applied
}

// lay takes a delta of the copy's own era.
func (c *Copy) lay(delta Delta) ApplyResult {
	var applied ApplyResult
	stale := delta.UpTo < c.upTo
	for _, item := range delta.Items {
		if stale && c.passed(item) {
			continue
		}
		if c.outranked(item) {
			applied.Outranked = append(applied.Outranked, item)
			continue
		}
		if c.take(item) {
			applied.Changed = append(applied.Changed, item)
		}
	}
	if delta.Whole {
		applied.Changed = append(applied.Changed, c.dropMissing(delta)...)
	}
	if delta.Whole && delta.UpTo > c.upTo {
		c.floor = max(c.floor, delta.UpTo)
	}
	if delta.Whole || delta.After <= c.upTo {
		c.upTo = max(c.upTo, delta.UpTo)
	}
	return applied
}

// replace takes a whole delta in place of everything but items of a higher rank, which stay as if the
// store had them: it will be told of them again.
func (c *Copy) replace(delta Delta) ApplyResult {
	applied := ApplyResult{Replaced: c.upTo > 0, Previous: c.reached()}
	former := c.items
	c.items, c.removed = make(map[string]Item, len(delta.Items)), map[string]Item{}
	c.era, c.upTo, c.floor = delta.Era, delta.UpTo, delta.UpTo
	c.version++
	for _, item := range delta.Items {
		if item.Removed {
			continue
		}
		held, had := former[item.Key]
		if had && held.Rank > item.Rank {
			applied.Outranked = append(applied.Outranked, item)
			continue
		}
		delete(former, item.Key)
		c.put(item)
		if had && bytes.Equal(held.Value, item.Value) {
			applied.Unchanged++
			continue
		}
		applied.Changed = append(applied.Changed, item)
	}
	for key, held := range former {
		if held.Rank > 0 {
			held.Revision = delta.UpTo
			c.put(held)
			continue
		}
		applied.Changed = append(applied.Changed, Item{Key: key, Revision: delta.UpTo, Removed: true})
	}
	return applied
}

// outranked reports whether the copy holds a value of a higher rank. A removal has no rank: it is the
// writer's own.
func (c *Copy) outranked(item Item) bool {
	return item.Rank > 0 && c.items[item.Key].Rank > item.Rank
}

// put takes a value.
func (c *Copy) put(item Item) {
	delete(c.removed, item.Key)
	c.items[item.Key] = item
	c.rank = max(c.rank, item.Rank)
}

// passed reports whether the copy is past an item's revision and does not hold the
// item: it was removed since.
func (c *Copy) passed(item Item) bool {
	_, held := c.items[item.Key]
	return !held && item.Revision <= c.upTo
}

// take takes an item that is newer than what is known of its key, and reports whether its value changed.
func (c *Copy) take(item Item) bool {
	known, had := c.items[item.Key]
	higher := had && known.Rank > 0 && item.Rank > known.Rank
	if had && known.Revision >= item.Revision && !higher {
		return false
	}
	if known, ok := c.removed[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	c.version++
	if !item.Removed {
		c.put(item)
		return !had || !bytes.Equal(known.Value, item.Value)
	}
	delete(c.items, item.Key)
	c.remember(item)
	return had
}

// dropMissing removes what a whole delta lacks, unless it came after the delta's
// revision.
func (c *Copy) dropMissing(delta Delta) []Item {
	listed := make(map[string]bool, len(delta.Items))
	for _, item := range delta.Items {
		listed[item.Key] = true
	}
	var gone []Item
	for key, item := range c.items {
		if listed[key] || item.Revision > delta.UpTo {
			continue
		}
		gone = append(gone, Item{Key: key, Revision: delta.UpTo, Removed: true})
	}
	for _, item := range gone {
		c.version++
		delete(c.items, item.Key)
		c.remember(item)
	}
	return gone
}

// remember keeps a removal for peers. When there are too many, all are forgotten
// and peers that lag behind get whole deltas.
func (c *Copy) remember(item Item) {
	if len(c.removed) >= maxRemoved {
		clear(c.removed)
		c.floor = max(c.floor, c.upTo, item.Revision)
	}
	c.removed[item.Key] = item
}

// Since returns what changed after what another copy has reached. One that has reached a newer era gets
// nothing: whatever is here is older. One of an older era gets all.
func (c *Copy) Since(reached Position) Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	after := reached.Revision
	if reached.Era > c.era {
		return Delta{Era: c.era, After: c.upTo, UpTo: c.upTo}
	}
	if reached.Era < c.era || after == 0 || after < c.floor {
		return Delta{Era: c.era, UpTo: c.upTo, Whole: true, Items: slices.Collect(maps.Values(c.items))}
	}
	delta := Delta{Era: c.era, After: after, UpTo: max(c.upTo, after)}
	for _, items := range []map[string]Item{c.items, c.removed} {
		for _, item := range items {
			if item.Revision > after || item.Rank > reached.Rank {
				delta.Items = append(delta.Items, item)
			}
		}
	}
	return delta
}
