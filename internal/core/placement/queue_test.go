package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// warmQueue returns a queue whose limit has grown to its part and which knows how long a place is held.
func warmQueue(part int, hold time.Duration) (*Queue, core.Time) {
	q := NewQueue(part)
	now := core.Time(0)
	for range 8 * part {
		_, place, _ := q.Offer(0, Claim{Deadline: now + time.Second}, now)
		now += hold
		q.Release(place, Answered, now)
	}
	return q, now
}

// take fills the free places of a queue.
func take(t *testing.T, q *Queue, count int, now core.Time) []Place {
	t.Helper()
	var places []Place
	for range count {
		decision, place, _ := q.Offer(0, Claim{Deadline: now + time.Second}, now)
		require.Equal(t, Send, decision.Verdict)
		places = append(places, place)
	}
	return places
}

func wait(t *testing.T, q *Queue, id uint64, claim Claim, now core.Time) {
	t.Helper()
	decision, _, _ := q.Offer(id, claim, now)
	require.Equal(t, Wait, decision.Verdict)
}

// Guards against a queue at the replica, first come first served, in which the most urgent request waits behind others.
func TestAFreePlaceGoesToTheMostUrgentClaim(t *testing.T) {
	q, now := warmQueue(2, 10*ms)
	places := take(t, q, 2, now)
	wait(t, q, 1, Claim{Priority: 1, Deadline: now + time.Second}, now)
	wait(t, q, 2, Claim{Priority: 1, Waited: 50 * ms, Deadline: now + time.Second}, now)
	now += 5 * ms
	wait(t, q, 3, Claim{Priority: 0, Deadline: now + time.Second}, now)
	for _, want := range []uint64{3, 2, 1} {
		now += 5 * ms
		settled := q.Release(places[0], Answered, now)
		require.Len(t, settled, 1)
		require.Equal(t, want, settled[0].ID)
		places = append(places[1:], settled[0].Place)
	}
	require.Equal(t, 2, q.State(now).InUse)
}

// Guards against starvation: with more of the urgent claims than places, each priority that waits gets its least share.
func TestEachPriorityThatWaitsHasALeastShare(t *testing.T) {
	q, now := warmQueue(1, ms)
	place := take(t, q, 1, now)[0]
	granted := map[int]int{}
	priorities := []int{0, 0, 0, 0, 1, 2}
	var waiting [3]int
	offered := map[uint64]int{}
	const grants = 1200
	for id := uint64(1); len(offered) < 100*grants; id++ {
		priority := priorities[id%uint64(len(priorities))]
		if waiting[priority] < 5 {
			decision, _, settled := q.Offer(id, Claim{Priority: priority, Deadline: now + time.Hour}, now)
			require.Equal(t, Wait, decision.Verdict)
			require.Empty(t, settled)
			waiting[priority]++
			offered[id] = priority
		}
		if id%6 != 0 {
			continue
		}
		now += ms
		settled := q.Release(place, Answered, now)
		require.Len(t, settled, 1)
		place = settled[0].Place
		priority = offered[settled[0].ID]
		granted[priority]++
		waiting[priority]--
		if granted[0]+granted[1]+granted[2] == grants {
			break
		}
	}
	require.GreaterOrEqual(t, granted[1], grants/(grantsPerTurn+2))
	require.GreaterOrEqual(t, granted[2], grants/(grantsPerTurn+2))
	require.Greater(t, granted[0], grants*3/4, "the rest is the most urgent one's")
}

func TestAClaimIsRefusedAsSoonAsItCannotBeInTime(t *testing.T) {
	q, now := warmQueue(1, 10*ms)
	take(t, q, 1, now)
	wait(t, q, 1, Claim{Priority: 1, TargetAt: now + 45*ms, Deadline: now + time.Second}, now)
	wait(t, q, 2, Claim{Priority: 0, TargetAt: now + 100*ms, Deadline: now + time.Second}, now)
	wait(t, q, 3, Claim{Priority: 0, TargetAt: now + 100*ms, Deadline: now + time.Second}, now)
	decision, _, settled := q.Offer(4, Claim{Priority: 0, TargetAt: now + 100*ms, Deadline: now + time.Second}, now)
	require.Equal(t, Wait, decision.Verdict)
	require.Len(t, settled, 1, "three that go first leave no time for the less urgent one")
	require.Equal(t, uint64(1), settled[0].ID)
	require.Equal(t, Reject, settled[0].Decision.Verdict)
	require.Equal(t, 4, settled[0].Decision.Ahead)
	settled = q.Tick(now + 91*ms)
	require.Len(t, settled, 3, "and these are refused when their own time has passed")
	require.Equal(t, Reject, settled[0].Decision.Verdict)
	require.False(t, q.Cancel(2))
}

// Guards against hedges that take places from first sends: a hedge helps only while there is room.
func TestAnExtraSendDoesNotWait(t *testing.T) {
	q, now := warmQueue(1, 10*ms)
	take(t, q, 1, now)
	decision, _, _ := q.Offer(1, Claim{Extra: true, Deadline: now + time.Second}, now)
	require.Equal(t, Elsewhere, decision.Verdict)
	require.Equal(t, 1, decision.Ahead)
}

func TestACancelledClaimLeavesTheQueue(t *testing.T) {
	q, now := warmQueue(1, 10*ms)
	places := take(t, q, 1, now)
	wait(t, q, 1, Claim{Deadline: now + time.Second}, now)
	wait(t, q, 2, Claim{Priority: 1, Deadline: now + time.Second}, now)
	require.True(t, q.Cancel(1))
	settled := q.Release(places[0], Answered, now+ms)
	require.Len(t, settled, 1)
	require.Equal(t, uint64(2), settled[0].ID)
}

// Guards against a queue that grows without limit while a replica is silent: the last in order are refused.
func TestTheQueueIsBounded(t *testing.T) {
	q := NewQueue(1)
	take(t, q, 1, 0)
	for id := range uint64(maxWaiting) {
		wait(t, q, id+1, Claim{Priority: 1, Deadline: time.Hour}, 0)
	}
	decision, _, _ := q.Offer(900, Claim{Priority: 1, Deadline: time.Hour}, 0)
	require.Equal(t, Reject, decision.Verdict)
	decision, _, settled := q.Offer(901, Claim{Priority: 0, Deadline: time.Hour}, 0)
	require.Equal(t, Wait, decision.Verdict)
	require.Len(t, settled, 1)
	require.Equal(t, Reject, settled[0].Decision.Verdict)
	require.Equal(t, maxWaiting, q.State(0).Waiting)
}

func TestANewReplicaRampsUp(t *testing.T) {
	q := NewQueue(4)
	now := core.Time(0)
	for answers := range 4 {
		require.Equal(t, 1+answers, q.State(now).Limit)
		_, place, _ := q.Offer(0, Claim{Deadline: now + time.Second}, now)
		now += ms
		q.Release(place, Answered, now)
	}
	require.Equal(t, 4, q.State(now).Limit, "not beyond the part")
}

// Guards against a cold replica whose only request is never answered and which gets no other one.
func TestAnUnansweredRequestDoesNotHoldAColdReplica(t *testing.T) {
	q := NewQueue(2)
	take(t, q, 1, 0)
	wait(t, q, 1, Claim{Deadline: time.Minute}, 0)
	require.Empty(t, q.Tick(999*ms))
	require.Len(t, q.Tick(time.Second), 1)
}

// refuseSome lets a replica refuse a share of all requests for a time, and returns how many it refused and served.
func refuseSome(q *Queue, share float64, from, until core.Time, last bool, random *rand.Rand) (refused, served int) {
	for now := from; now < until; now += 25 * ms {
		decision, place, _ := q.Offer(0, Claim{Deadline: now + time.Second, Last: last}, now)
		switch {
		case decision.Verdict != Send:
		case random.Float64() < share:
			refused++
			q.Release(place, Refused, now+ms)
		default:
			served++
			q.Release(place, Answered, now+10*ms)
		}
	}
	return refused, served
}

// Guards against nodes that go on sending to a replica that refuses 6 of 10 requests at any load, and against a limit that
// stays down once it serves again.
func TestAReplicaThatRefusesAtAnyLoadIsTriedNowAndThen(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		q, now := warmQueue(3, 10*ms)
		refused, served := refuseSome(q, 0.6, now, now+9*time.Second, false, random)
		require.Less(t, refused, 30, "of 360 requests")
		require.Positive(t, served)
		now += 9 * time.Second
		_, last := refuseSome(q, 0.6, now, now+time.Second, true, random)
		require.Positive(t, last, "a request without another replica is sent")
		now += time.Second
		_, served = refuseSome(q, 0, now, now+6*time.Second, false, random)
		require.Greater(t, served, 100)
		require.Equal(t, 3, q.State(now+6*time.Second).Limit)
	}
}

// A configuration may change the priority of a route while its requests wait: these keep the one that they came with.
func TestAChangedPriorityAppliesToNewClaims(t *testing.T) {
	q, now := warmQueue(1, ms)
	places := take(t, q, 1, now)
	wait(t, q, 1, Claim{Priority: 3, Waited: time.Second, Deadline: now + time.Second}, now)
	wait(t, q, 2, Claim{Priority: 2, Deadline: now + time.Second}, now)
	wait(t, q, 3, Claim{Priority: 0, Deadline: now + time.Second}, now)
	for _, want := range []uint64{3, 2, 1} {
		settled := q.Release(places[0], Answered, now)
		require.Equal(t, want, settled[0].ID)
		places[0] = settled[0].Place
	}
}

func TestPrioritiesOutOfRangeAreTheLeastUrgent(t *testing.T) {
	for _, priority := range []int{-1, Priorities, 1 << 40} {
		require.Equal(t, LeastUrgent, ClampPriority(priority))
		q, now := warmQueue(1, ms)
		take(t, q, 1, now)
		wait(t, q, 1, Claim{Priority: priority, Deadline: now + time.Second}, now)
		wait(t, q, 2, Claim{Priority: LeastUrgent - 1, Deadline: now + time.Second}, now)
	}
}

func nodes(count int) []core.NodeID {
	ids := make([]core.NodeID, count)
	for i := range ids {
		ids[i] = core.NodeID(fmt.Sprint("node", i))
	}
	return ids
}

func sumOfParts(replica string, slots int, near []core.NodeID) int {
	sum := 0
	for _, node := range near {
		sum += Part(replica, slots, Senders{Self: node, Near: near, Far: 4})
	}
	return sum
}

// Guards against nodes that give out more places than a replica has, also while a partition splits them into two views.
func TestPartsAddUpToThePlacesAndTwoViewsToTwiceThem(t *testing.T) {
	for _, slots := range []int{0, 1, 2, 3, 6, 20} {
		for count := 1; count <= 12; count++ {
			all := nodes(count)
			require.Equal(t, Places(slots, count), sumOfParts("r", slots, all))
			for split := 1; split < count; split++ {
				sum := sumOfParts("r", slots, all[:split]) + sumOfParts("r", slots, all[split:])
				require.LessOrEqual(t, sum, 2*Places(slots, count))
			}
		}
	}
	require.Equal(t, 30, Places(2, 30), "many nodes have one each")
	require.Equal(t, 8, Places(2, 6), "and do not fill the replica's queue")
	require.Equal(t, 1, Part("r", 6, Senders{Self: "far", Near: nodes(2), Far: 4}), "a node elsewhere")
	require.Equal(t, 3, Part("r", 6, Senders{Self: "far", Far: 4}), "no node is near")
}

// Guards against places that stay unused after the node that held them has ended, and against a limit that stays above the
// part after another node has joined.
func TestThePartFollowsTheView(t *testing.T) {
	q, now := warmQueue(2, 10*ms)
	take(t, q, 2, now)
	wait(t, q, 1, Claim{Deadline: now + time.Second}, now)
	wait(t, q, 2, Claim{Deadline: now + time.Second}, now)
	require.Len(t, q.SetPart(4, now), 2, "the waiting ones get the places at once")
	require.Empty(t, q.SetPart(2, now))
	require.Equal(t, 2, q.State(now).Limit)
	require.Equal(t, 4, q.State(now).InUse, "what runs goes on")
}

func BenchmarkPlaceAtAnUnloadedReplica(b *testing.B) {
	q, now := warmQueue(2, ms)
	b.ReportAllocs()
	for b.Loop() {
		_, place, _ := q.Offer(1, Claim{Priority: 1, TargetAt: now + 100*ms, Deadline: now + time.Second}, now)
		q.Release(place, Answered, now+ms)
	}
}

func BenchmarkPlaceBehindTwelve(b *testing.B) {
	q, now := warmQueue(2, ms)
	var places []Place
	for id := range uint64(14) {
		_, place, _ := q.Offer(id, Claim{Priority: int(id % 3), Deadline: now + time.Hour}, now)
		places = append(places, place)
	}
	place, id := places[0], uint64(14)
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(id, Claim{Priority: int(id % 3), Deadline: now + time.Hour}, now)
		place = q.Release(place, Answered, now+ms)[0].Place
		id++
		now += ms
	}
}
