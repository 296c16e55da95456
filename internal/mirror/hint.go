package mirror

import (
	"context"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// Which node has a newer configuration than this one, and when is it asked for it?

// hint is a node whose configuration has a higher version (Item.Rank) than any here, and since when this node knows.
type hint struct {
	from  peer.Target
	rank  uint64
	since core.Time
}

// Hint names a node whose configuration has a version that this copy lacks. The node is asked only if that version does
// not arrive in the usual way: heartbeats often tell of a change before the copy has it.
func (f *Follower) Hint(from peer.Target, rank uint64) {
	one := &hint{from: from, rank: rank, since: f.now()}
	if open := f.hinted.Load(); open != nil {
		one.since = open.since
	}
	f.hinted.Store(one)
}

// followHint asks the node of the hint, once this copy has lacked its version for Config.HintAfter.
func (f *Follower) followHint(ctx context.Context) {
	open := f.hinted.Load()
	reached := f.copy.Position()
	switch {
	case open == nil || reached.Revision == 0:
	case reached.Rank >= open.rank:
		f.hinted.Store(nil)
	case f.now()-open.since >= f.config.HintDelay:
		f.hinted.Store(nil)
		f.readPeer(ctx, open.from, 0)
	}
}
