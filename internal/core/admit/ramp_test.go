package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Guards against a request without an answer that keeps all others from a cold replica until its deadline.
func TestAnUnansweredRequestDoesNotHoldAColdReplica(t *testing.T) {
	const slots = 3
	shard := NewShard(Config{Slots: slots, Share: 8, Replicas: []ReplicaConfig{{Address: "a"}}, MaxQueue: 8})
	offer := func(now core.Time, id RequestID) []Action {
		return shard.Step(now, Offered{ID: id, Deadline: now + 10*time.Second, Once: true})
	}
	require.Equal(t, RequestID(1), onlyAction[Dispatch](t, offer(0, 1)).Request)
	waiting := offer(time.Millisecond, 2)
	require.Equal(t, WakeAt{At: coldPatience}, onlyAction[WakeAt](t, waiting))
	require.Equal(t, 1, shard.Waiting())
	offer(2*time.Millisecond, 3)
	offer(3*time.Millisecond, 4)
	for i := range slots - 1 {
		at := core.Time(i+1) * coldPatience
		require.Equal(t, RequestID(2+i), onlyAction[Dispatch](t, shard.Step(at, Woken{})).Request)
		require.Len(t, shard.running, 2+i, "one more request at a time")
	}
	shard.Step(5*coldPatience, Woken{})
	require.Len(t, shard.running, slots, "the configured slots are not exceeded")
	require.Equal(t, 1, shard.Waiting())
}
