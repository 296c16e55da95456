// Package mirror keeps a copy of what the operator and the replicas publish in
// the platform's store. The copy follows the store by its revisions, read from
// the store itself or from another node's copy: a node that the store turns away
// learns from those that it serves.
package mirror

import (
	"maps"
	"slices"
	"sync"
)

// Item is one published value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last change. Revisions rise with
	// every change of any key.
	Revision uint64
	// Removed items have no value.
	Removed bool
}

// Delta is what changed in the store up to a revision.
type Delta struct {
	// Era counts how often the store came back from a copy of itself, which gives revisions out
	// again; 0 where it tells none.
	Era uint64
	// After is the revision that the delta starts behind; 0 with Whole.
	After uint64
	// UpTo is the revision that a copy has after taking the delta.
	UpTo uint64
	// Whole deltas list every item there is: what they lack is gone.
	Whole bool
	Items []Item
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
	floor   uint64
	changed chan struct{}
	// version counts the changes of the copy itself.
	version uint64
}

// Mark returns the number of changes that the copy has taken up and the revision that it has
// reached. While the number stays the same, so do the items that Since returns.
func (c *Copy) Mark() (version, upTo uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.version, c.upTo
}

// NewCopy makes an empty copy, of revision 0.
func NewCopy() *Copy {
	return &Copy{items: map[string]Item{}, removed: map[string]Item{}, changed: make(chan struct{})}
}

// UpTo is the revision that the copy has reached; 0 before the first reading.
func (c *Copy) UpTo() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.upTo
}

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

// Apply takes a delta and returns the items that changed in the copy, by rising
// revision. An item is taken only when its revision is above the copy's own, so
// that deltas from several sources may come in any order and a late, older one
// never takes a value back. A delta that starts behind what the copy has reached
// would leave a gap: only its items are taken then, not its revision.
func (c *Copy) Apply(delta Delta) []Item {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var taken []Item
	stale := delta.UpTo < c.upTo
	for _, item := range delta.Items {
		if stale && c.passed(item) {
			continue
		}
		if c.take(item) {
			taken = append(taken, item)
		}
	}
	if delta.Whole {
		taken = append(taken, c.dropMissing(delta)...)
	}
	if delta.Whole && delta.UpTo > c.upTo {
		c.floor = max(c.floor, delta.UpTo)
	}
	if delta.Whole || delta.After <= c.upTo {
		c.upTo = max(c.upTo, delta.UpTo)
	}
	if len(taken) > 0 {
		c.version++
		close(c.changed)
		c.changed = make(chan struct{})
	}
	slices.SortFunc(taken, func(a, b Item) int { return int(int64(a.Revision) - int64(b.Revision)) })
	return taken
}

// passed reports whether the copy is past an item's revision and does not hold the
// item: it was removed since.
func (c *Copy) passed(item Item) bool {
	_, held := c.items[item.Key]
	return !held && item.Revision <= c.upTo
}

func (c *Copy) take(item Item) bool {
	if known, ok := c.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	if known, ok := c.removed[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	if !item.Removed {
		delete(c.removed, item.Key)
		c.items[item.Key] = item
		return true
	}
	_, had := c.items[item.Key]
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

// Since returns what changed after a revision.
func (c *Copy) Since(after uint64) Delta {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if after == 0 || after < c.floor {
		return Delta{UpTo: c.upTo, Whole: true, Items: slices.Collect(maps.Values(c.items))}
	}
	delta := Delta{After: after, UpTo: max(c.upTo, after)}
	for _, items := range []map[string]Item{c.items, c.removed} {
		for _, item := range items {
			if item.Revision > after {
				delta.Items = append(delta.Items, item)
			}
		}
	}
	return delta
}
