package edge

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// placesFixture holds places of the node "a" with a clock and slots that the test sets.
type placesFixture struct {
	*places
	mutex sync.Mutex
	at    core.Time
	known int
}

var oneReplica = replica.Replica{ID: "i-1", Service: "s", DataCentre: "east"}

func newPlacesFixture(slots int) *placesFixture {
	f := &placesFixture{known: slots}
	f.places = newPlaces("a", "east", func(replica.Incarnation) int { return f.known }, func() core.Time {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		return f.at
	})
	return f
}

func (f *placesFixture) advance(by time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.at += by
}

func (f *placesFixture) claim() placement.Claim {
	return placement.Claim{Deadline: f.now() + time.Hour}
}

// warm lets the limit grow to this node's part.
func (f *placesFixture) warm(t *testing.T) {
	for range 20 {
		var held heldPlace
		require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held))
		f.advance(time.Millisecond)
		held.release(placement.Answered)
	}
}

func (f *placesFixture) room() room { return f.busiest()[0] }

func entryNodes(ids ...core.NodeID) (nodes []route.Node) {
	for _, id := range ids {
		nodes = append(nodes, route.Node{ID: id, DataCentre: "east"})
	}
	return nodes
}

// Guards against a send that is cancelled while it waits and then takes a place that nobody uses.
func TestACancelledWaitTakesNoPlace(t *testing.T) {
	f := newPlacesFixture(1)
	f.setEntries(entryNodes("a", "b"))
	var held heldPlace
	require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held))
	for range 50 {
		ctx, cancel := context.WithCancelCause(t.Context())
		ended := make(chan error, 1)
		go func() {
			var other heldPlace
			err := f.acquire(ctx, oneReplica, f.claim(), &other)
			if err == nil {
				other.release(placement.Unanswered)
			}
			ended <- err
		}()
		require.Eventually(t, func() bool { return f.waiting() == 1 }, time.Minute, time.Microsecond)
		go held.release(placement.Answered)
		cancel(errAnswered)
		if err := <-ended; err != nil {
			var noPlace *placement.NoPlace
			require.ErrorAs(t, err, &noPlace)
			require.ErrorIs(t, err, errAnswered)
		}
		require.Eventually(t, func() bool { return len(f.busiest()) == 0 }, time.Minute, time.Microsecond)
		held = heldPlace{}
		require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held))
	}
	require.Equal(t, 1, f.room().InUse)
}

// Guards against places that stay with a node which has ended or is cut off: the others use them as soon as the view lacks it.
func TestPlacesFollowTheEntries(t *testing.T) {
	f := newPlacesFixture(2)
	f.setEntries(entryNodes("a", "b"))
	f.warm(t)
	var held [5]heldPlace
	for i := range 2 {
		require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held[i]))
	}
	require.Equal(t, 2, f.room().Part)
	ended := make(chan error, 2)
	for i := 2; i < 4; i++ {
		go func() { ended <- f.acquire(t.Context(), oneReplica, f.claim(), &held[i]) }()
	}
	require.Eventually(t, func() bool { return f.waiting() == 2 }, time.Minute, time.Microsecond)
	f.setEntries(entryNodes("a"))
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
	require.Equal(t, 4, f.room().InUse)
	f.setEntries(entryNodes("b", "c"))
	require.Equal(t, 1, f.room().Part, "callers are no longer sent here")
}

// Guards against a helper that gets sends to a replica which its own copy of the store does not list yet, as while the store is
// away: it starts with one slot, and takes up the listed ones.
func TestAReplicaThatIsNotListedYetGetsFewPlaces(t *testing.T) {
	f := newPlacesFixture(0)
	var held heldPlace
	require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held))
	require.Equal(t, 2, f.room().Part)
	f.known = 4
	f.expire(func(replica.Incarnation) bool { return true })
	require.Equal(t, 8, f.room().Part)
	require.Equal(t, 1, f.room().Limit, "it ramps up with its answers")
}

// Guards against a frozen process that grants places to claims whose time has passed meanwhile.
func TestClaimsThatExpiredInAFreezeAreRefused(t *testing.T) {
	f := newPlacesFixture(1)
	f.setEntries(entryNodes("a", "b"))
	var held, other heldPlace
	require.NoError(t, f.acquire(t.Context(), oneReplica, f.claim(), &held))
	ended := make(chan error, 1)
	go func() {
		ended <- f.acquire(t.Context(), oneReplica, placement.Claim{Deadline: f.now() + time.Minute}, &other)
	}()
	require.Eventually(t, func() bool { return f.waiting() == 1 }, time.Minute, time.Microsecond)
	f.advance(2 * time.Minute)
	held.release(placement.Answered)
	var noPlace *placement.NoPlace
	require.ErrorAs(t, <-ended, &noPlace)
	require.Equal(t, placement.Reject, noPlace.Decision.Verdict)
	f.expire(func(replica.Incarnation) bool { return false })
	require.Empty(t, f.queues, "a replica that gets no requests is forgotten")
	require.False(t, errors.Is(noPlace, errAnswered))
}

func BenchmarkPlaceOfASend(b *testing.B) {
	f := newPlacesFixture(2)
	f.setEntries(entryNodes("a", "b"))
	b.ReportAllocs()
	for b.Loop() {
		var held heldPlace
		if f.acquire(b.Context(), oneReplica, f.claim(), &held) != nil {
			b.Fatal("no place")
		}
		held.release(placement.Answered)
	}
}
