package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Reads of the store itself.

// truncatedFrom is the number of changes from which on a reply may be truncated: the users' store
// returns 500 at a time.
const truncatedFrom = 400

// readStore reads until the copy has the store's newest state, which takes several calls while hundreds
// of replicas start. A node that reads the store only because all readers are cut off would otherwise
// take the first part of the changes for all of them, and read the next part only once its copy is
// stale: a configuration behind such a series of changes would be in force too late.
func (f *Follower) readStore(ctx context.Context, role Role) {
	for f.readStoreOnce(ctx, role) {
	}
}

// readStoreOnce makes one call, or the calls of a whole reading. It reports whether there is more to
// read at once.
func (f *Follower) readStoreOnce(ctx context.Context, role Role) bool {
	startedAt := f.now()
	firstRead := f.copy.UpTo() == 0
	f.counts.storeCalls.Add(1)
	delta, err := f.callStore(ctx, role)
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, errLeftToReaders) {
		f.storeRecovered()
		return false
	}
	if err != nil {
		f.storeFailed(err)
		return false
	}
	if firstRead {
		f.storeRecovered()
		f.applyFirst(delta)
		if delta.UpTo == 0 {
			// A stale reading of a store that was still empty.
			f.pause(ctx, f.config.BatchDelay)
		}
		return false
	}
	if !delta.Whole && len(delta.Items) >= truncatedFrom {
		f.outages.readingConfirmed(f.now(), core.Time(f.confirmed.Load()), f.now())
		f.applyReading(storeSource, delta, core.Time(f.confirmed.Load()))
		return true
	}
	if !f.applyReading(storeSource, delta, f.now()) {
		f.storeFailed(errStoreBehind)
		return false
	}
	f.storeRecovered()
	if len(delta.Items) > 0 || f.now()-startedAt < f.config.BatchDelay {
		// The second condition is a watch that ends at once without changes: repeated
		// at once, it would use up the calls that the store allows for all nodes.
		f.pause(ctx, f.config.BatchDelay)
	}
	return false
}

// callStore reads from the store, and records what the call shows of the store and of this process.
func (f *Follower) callStore(ctx context.Context, role Role) (Delta, error) {
	startedAt, limit := f.now(), f.config.WatchWait+f.config.ReplyTimeout
	if _, confirmed := f.Age(); confirmed && f.storeFailedSince == 0 {
		f.watchingUntil.Store(int64(startedAt + limit))
	}
	delta, err := f.fetchFromStore(ctx, role, limit)
	f.watchingUntil.Store(0)
	paused := f.checkPaused(startedAt, limit)
	switch {
	case err == nil:
		f.watched.Store(int64(f.now()))
	case ctx.Err() == nil && !paused && !errors.Is(err, errLeftToReaders):
		f.outages.callFailed(startedAt)
	}
	return delta, err
}

// applyFirst applies the first reading. It may be seconds old, so that the copy does not count as
// confirmed: other nodes do not follow it, and it may lack a new route. It is still better than none:
// without a configuration a node refuses every request, while a configuration that is seconds old
// serves all but the newest routes. When 295 processes start at once, stale reads cost the store a tenth of fresh ones.
func (f *Follower) applyFirst(delta Delta) {
	f.peersOnlyUntil = f.now() + f.config.PeersOnlyPeriod
	if applied := f.copy.Apply(delta); len(applied.Changed) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era})
	}
}

// errStoreBehind is reported when a reading of the store is older than the copy, although no older era is announced.
var errStoreBehind = errors.New("the store returned an older state than before")

// errLeftToReaders is returned when a whole reading is left to the nodes that read the store for the others.
var errLeftToReaders = errors.New("whole reading left to the nodes that read the store")

// fetchFromStore reads the changes, or everything where the store lacks the history after the copy.
//
// Revisions do not show that the store was restored from a copy: once they exceed the copy's, a watch
// returns the later changes and hides that the earlier ones belong to another history. The era of each
// reply shows it, and the whole reading that follows replaces all contents.
func (f *Follower) fetchFromStore(ctx context.Context, role Role, timeout time.Duration) (Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	position := f.copy.Position()
	if position.Revision == 0 {
		return readAll(ctx, f.store, true)
	}
	_, confirmed := f.Age()
	watchWait := f.config.WatchWait
	if !confirmed || f.gapSince > 0 {
		// The first copy must be confirmed at once, and a gap must be closed.
		watchWait = 0
	}
	delta, err := f.store.Watch(ctx, position.Revision, watchWait)
	if err == nil {
		delta.Era, err = f.eraOf(delta, position)
	}
	historyGone := errors.Is(err, ErrHistoryGone) || err == nil && delta.Era != position.Era
	if historyGone {
		return f.readAfterGap(ctx, role, position)
	}
	f.gapSince = 0
	return delta, err
}

// readAfterGap reads everything, where this node may, because the store lacks the history after the copy.
func (f *Follower) readAfterGap(ctx context.Context, role Role, position Position) (Delta, error) {
	if !f.mayReadAll(role) {
		return Delta{}, errLeftToReaders
	}
	delta, err := readAll(ctx, f.store, false)
	if err != nil {
		return Delta{}, err
	}
	f.gapSince = 0
	_, confirmed := f.Age()
	delta.Replace = !confirmed
	delta.Era, err = f.eraOf(delta, position)
	return delta, err
}

// eraOf returns the era of a reading's revisions. A reading without an era is assumed to be of the known one,
// so that it removes nothing and replaces nothing newer.
func (f *Follower) eraOf(delta Delta, position Position) (uint64, error) {
	missing := delta.Era == 0 && position.Era > 0
	if missing && !f.eraMissing {
		f.listener.EraMissing(position.Era)
	}
	f.eraMissing = missing
	switch {
	case missing:
		return position.Era, nil
	case delta.Era < position.Era:
		return 0, &OlderEraError{Received: delta.Era, Known: position.Era}
	default:
		return delta.Era, nil
	}
}

// mayReadAll reports whether this node may read the whole store when that lacks the history after its copy.
// Readers do so at once. The other nodes receive it from them, and read it themselves when that takes too
// long, the heads of data centres first. During an outage of the store all nodes turn to it, and without this
// rule all would read it whole at the moment it recovers.
func (f *Follower) mayReadAll(role Role) bool {
	if role == Reader {
		return true
	}
	if f.gapSince == 0 {
		f.gapSince = f.now()
		f.peersOnlyUntil = f.gapSince + time.Duration(role)*f.config.PeersOnlyPeriod
		return false
	}
	return f.now() >= f.peersOnlyUntil
}

func (f *Follower) storeFailed(cause error) {
	f.counts.storeFailures.Add(1)
	f.store.Close()
	f.storeRetryAt = f.now() + min(f.config.MinRetryDelay<<min(f.consecutiveFailures, maxDoublings), f.config.MaxRetryDelay)
	f.consecutiveFailures++
	if f.storeFailedSince == 0 {
		f.storeFailedSince = max(f.now(), 1)
		f.listener.SourceFailed(storeSource, cause)
	}
}

func (f *Follower) storeRecovered() {
	if f.storeFailedSince == 0 {
		return
	}
	f.listener.SourceRecovered(storeSource, f.now()-f.storeFailedSince)
	f.storeFailedSince = 0
	f.consecutiveFailures = 0
}
