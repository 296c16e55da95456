package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// restartingUpstream is an upstream that ends under deadly requests and is replaced at once on its listening socket.
type restartingUpstream struct {
	socket    *standin.Socket
	behaviour standin.Behaviour
	mutex     sync.Mutex
	current   *standin.Upstream
	ended     int
}

func startRestartingUpstream(t *testing.T, deadly bool) *restartingUpstream {
	t.Helper()
	socket, err := standin.ListenSocket()
	require.NoError(t, err)
	u := &restartingUpstream{socket: socket, behaviour: standin.Behaviour{Slots: 2, Versions: []uint64{7}}}
	if deadly {
		u.behaviour.CrashOn = u.crashesOn
	}
	u.current = standin.StartUpstreamOn(socket.Listener(), u.behaviour)
	t.Cleanup(u.close)
	return u
}

// crashesOn reports whether a request ends the upstream, and if so starts the next one.
func (u *restartingUpstream) crashesOn(question string) bool {
	if !endsReplica(question) {
		return false
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.ended++
	u.current = standin.StartUpstreamOn(u.socket.Listener(), u.behaviour)
	return true
}

func (u *restartingUpstream) close() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	_ = u.socket.Close()
	_ = u.current.Close()
}

func (u *restartingUpstream) endedCount() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.ended
}

// Guards against a deadly query whose replicas are restarted at once on their ports, so that no connection is refused and no
// end is seen. Three attempts may end replicas after three replicas have ended.
func TestADeadlyQueryIsSetAsideWhereReplicasRestartAtOnce(t *testing.T) {
	const attempts, enoughEnded, maxLateAttempts = 16, 3, 3
	for name, c := range map[string]struct {
		replicas int
		text     func([]*standin.Upstream) string
		deadly   []int
	}{
		"one service":                 {2, testConfig, []int{0, 1}},
		"all services of a closure":   {8, testConfig, []int{0, 1, 2, 3, 4, 5, 6, 7}},
		"one dependency of a closure": {8, testConfig, []int{2, 3}},
		"one shard":                   {8, shardedConfig, []int{2, 3}},
		"all shards of a service":     {8, shardedConfig, []int{0, 1, 2, 3, 4, 5, 6, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			isDeadly := map[int]bool{}
			for _, index := range c.deadly {
				isDeadly[index] = true
			}
			var replicas []*restartingUpstream
			var current []*standin.Upstream
			for i := range c.replicas {
				u := startRestartingUpstream(t, isDeadly[i])
				replicas, current = append(replicas, u), append(current, u.current)
			}
			f := startFleet(t, 3, c.text(current))
			caller := client.New()
			defer caller.Close()
			query := func(entry int, question string) (api.QueryReply, error) {
				address := f.Members()[entry%len(f.Members())].Addresses.Caller
				return caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(question)})
			}
			endedCount := func() int {
				total := 0
				for _, u := range replicas {
					total += u.endedCount()
				}
				return total
			}
			lateAttempts := 0
			for i := range attempts {
				for entry := range f.Members() {
					require.Eventually(t, func() bool {
						reply, err := query(entry, `"harmless"`)
						return err == nil && !reply.Coverage.Thin
					}, awaitTimeout, awaitInterval, "other queries are answered completely")
				}
				before := endedCount()
				_, _ = query(i, `"deadly"`)
				if before >= enoughEnded && endedCount() > before {
					lateAttempts++
				}
			}
			t.Logf("%d replicas ended in %d attempts, %d of these late", endedCount(), attempts, lateAttempts)
			require.LessOrEqual(t, lateAttempts, maxLateAttempts)
		})
	}
}
