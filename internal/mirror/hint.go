package mirror

import (
	"context"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// Hints from heartbeats about nodes with a newer configuration.

// hint names a node whose configuration has a higher version (Item.Rank) than any in the copy, and since when
// that is known.
type hint struct {
	from  peer.Target
	rank  uint64
	since core.Time
}

// Hint names a node whose configuration has a version that this copy lacks. The node is read only if that version does
// not arrive in the usual way: a heartbeat often announces a change before the copy has it.
func (f *Follower) Hint(from peer.Target, rank uint64) {
	latest := &hint{from: from, rank: rank, since: f.now()}
	if open := f.pendingHint.Load(); open != nil {
		latest.since = open.since
	}
	f.pendingHint.Store(latest)
}

// followHint reads from the hinted node once this copy has lacked its version for Config.HintDelay.
func (f *Follower) followHint(ctx context.Context) {
	open := f.pendingHint.Load()
	position := f.copy.Position()
	switch {
	case open == nil || position.Revision == 0:
	case position.Rank >= open.rank:
		f.pendingHint.Store(nil)
	case f.now()-open.since >= f.config.HintDelay:
		f.pendingHint.Store(nil)
		f.readPeer(ctx, open.from, Other, 0)
	}
}
