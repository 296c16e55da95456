package mirror

import (
	"context"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// hint is another node's word that it has something of a rank, and since when that is known.
type hint struct {
	from  peer.Target
	rank  uint64
	since core.Time
}

// Hint names a node that has something of a rank which this copy lacks. It is asked only if that does not
// come in the usual way: each change is heard of by somebody before it has arrived.
func (f *Follower) Hint(from peer.Target, rank uint64) {
	one := &hint{from: from, rank: rank, since: f.now()}
	if open := f.hinted.Load(); open != nil {
		one.since = open.since
	}
	f.hinted.Store(one)
}

// followHint asks the node that was named, once the copy has lacked what it has for long enough.
func (f *Follower) followHint(ctx context.Context) {
	open := f.hinted.Load()
	reached := f.copy.Reached()
	switch {
	case open == nil || reached.Revision == 0:
	case reached.Rank >= open.rank:
		f.hinted.Store(nil)
	case f.now()-open.since >= f.config.HintAfter:
		f.hinted.Store(nil)
		f.readPeer(ctx, open.from, 0)
	}
}
