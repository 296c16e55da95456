package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// What does a node read from the store itself, and when?

// cutFrom is the number of changes from which on an answer may have been cut: the users'
// store gives 500 at a time.
const cutFrom = 400

// readStore reads until the copy is the store's newest state. While hundreds of replicas
// start, that takes several calls. A node that turns to the store only when all readers are
// cut off would otherwise take a part of the changes for all of them, and the next part only when
// that is stale: a configuration behind such a row of changes would be in force too late.
func (f *Follower) readStore(ctx context.Context, role Role) {
	for f.readOnce(ctx, role) {
	}
}

// readOnce makes one call, or those of a whole reading. It reports whether there is more to
// read at once.
func (f *Follower) readOnce(ctx context.Context, role Role) bool {
	started := f.now()
	first := f.copy.UpTo() == 0
	f.counts.storeCalls.Add(1)
	delta, err := f.fromStore(ctx, role)
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, errLeftToReaders) {
		f.storeBack()
		return false
	}
	if err != nil {
		f.storeFailed(err)
		return false
	}
	if first {
		f.storeBack()
		f.begin(delta)
		if delta.UpTo == 0 {
			// An old reading of a store that had nothing yet.
			wait.For(ctx, f.config.BatchDelay)
		}
		return false
	}
	if !delta.Whole && len(delta.Items) >= cutFrom {
		f.noteOutage(f.now())
		f.take(storeSource, delta, core.Time(f.confirmed.Load()))
		return true
	}
	if !f.take(storeSource, delta, f.now()) {
		f.storeFailed(errBehind)
		return false
	}
	f.storeBack()
	if len(delta.Items) > 0 || f.now()-started < f.config.BatchDelay {
		// The second case is a watch that ends at once with nothing new: were it
		// repeated at once, one node would use up what the store gives to all.
		wait.For(ctx, f.config.BatchDelay)
	}
	return false
}

// begin takes up the first copy. It may be seconds old, so that it is not confirmed: others do not
// follow it, and a route that it lacks may be there. A process without any configuration
// refuses every request, while one that is seconds old serves all but the newest routes; and
// 295 processes that start at once cost the store a tenth.
func (f *Follower) begin(delta Delta) {
	f.peersUntil = f.now() + f.config.PeersOnlyPeriod
	if applied := f.copy.Apply(delta); len(applied.Changed) > 0 {
		f.listener.Changed(Change{Items: applied.Changed, Era: delta.Era})
	}
}

// errBehind is a whole reading of the store that is older than the copy although the store names no newer era.
var errBehind = errors.New("the store is behind what it told before")

// errLeftToReaders is a whole reading that is left to the nodes that read the store for the others.
var errLeftToReaders = errors.New("the whole reading is left to the readers")

// fromStore reads what is new, or everything where the store lacks the history behind the copy.
//
// That a store came back from a copy does not show by its revisions: once they have passed the
// copy's, a watch brings what came after and hides that what lies before is another history. The era of
// each answer tells, and the whole reading that follows takes the place of everything.
func (f *Follower) fromStore(ctx context.Context, role Role) (Delta, error) {
	timeout := f.config.WatchWait + f.config.ReplyTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reached := f.copy.Position()
	if reached.Revision == 0 {
		return readAll(ctx, f.store, true)
	}
	_, confirmed := f.Age()
	waiting := f.config.WatchWait
	if !confirmed || f.gapAt > 0 {
		// The first copy is to be confirmed at once, and a gap to be closed.
		waiting = 0
	}
	delta, err := f.store.Watch(ctx, reached.Revision, waiting)
	if err == nil {
		delta.Era, err = f.eraOf(delta, reached)
	}
	gone := errors.Is(err, ErrHistoryGone) || err == nil && delta.Era != reached.Era
	if gone {
		return f.readGap(ctx, role, reached)
	}
	f.gapAt = 0
	return delta, err
}

// readGap reads everything, where this node may: the store lacks the history behind the copy.
func (f *Follower) readGap(ctx context.Context, role Role, reached Position) (Delta, error) {
	if !f.mayReadAll(role) {
		return Delta{}, errLeftToReaders
	}
	delta, err := readAll(ctx, f.store, false)
	if err != nil {
		return Delta{}, err
	}
	f.gapAt = 0
	_, confirmed := f.Age()
	delta.Replace = !confirmed
	delta.Era, err = f.eraOf(delta, reached)
	return delta, err
}

// eraOf is the era that the revisions of a reading belong to. A reading that names no era is taken to be of the known
// one, so that it removes nothing and replaces nothing newer.
func (f *Follower) eraOf(delta Delta, reached Position) (uint64, error) {
	untold := delta.Era == 0 && reached.Era > 0
	if untold && !f.untold {
		f.listener.EraMissing(reached.Era)
	}
	f.untold = untold
	switch {
	case untold:
		return reached.Era, nil
	case delta.Era < reached.Era:
		return 0, &OlderEraError{Received: delta.Era, Known: reached.Era}
	default:
		return delta.Era, nil
	}
}

// mayReadAll reports whether this node is to read the whole store where that lacks the history behind its copy.
// Readers do so at once; the others have it from them, and read it themselves when that
// takes too long, the heads of data centres first. While a store is away all nodes turn to it, so that
// else all of them would read it whole in the moment of its return.
func (f *Follower) mayReadAll(role Role) bool {
	if role == Reader {
		return true
	}
	if f.gapAt == 0 {
		f.gapAt = f.now()
		f.peersUntil = f.gapAt + time.Duration(role)*f.config.PeersOnlyPeriod
		return false
	}
	return f.now() >= f.peersUntil
}

func (f *Follower) storeFailed(cause error) {
	f.counts.storeFailures.Add(1)
	f.store.Close()
	f.storeRetryAt = f.now() + min(f.config.MinRetryDelay<<min(f.failures, maxDoublings), f.config.MaxRetryDelay)
	f.failures++
	if f.failedSince == 0 {
		f.failedSince = max(f.now(), 1)
		f.listener.SourceFailed(storeSource, cause)
	}
}

func (f *Follower) storeBack() {
	if f.failedSince == 0 {
		return
	}
	f.listener.SourceRecovered(storeSource, f.now()-f.failedSince)
	f.failedSince = 0
	f.failures = 0
}
