package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

func endsReplica(question string) bool { return strings.Contains(question, "deadly") }

// crashingFleet is a fleet with replicas that end when they run deadly requests and are restarted at their addresses.
type crashingFleet struct {
	*Fleet
	t          *testing.T
	caller     *client.Client
	replicas   []*standin.Upstream
	behaviours []standin.Behaviour
	ended      int
}

// startCrashingFleet starts a fleet of three nodes in front of replicas. Those whose indexes are listed in deadly end when
// they run deadly requests.
func startCrashingFleet(t *testing.T, replicas int, text func([]*standin.Upstream) string, deadly ...int) *crashingFleet {
	t.Helper()
	c := &crashingFleet{t: t, caller: client.New()}
	t.Cleanup(c.caller.Close)
	c.behaviours = make([]standin.Behaviour, replicas)
	for i := range c.behaviours {
		c.behaviours[i] = standin.Behaviour{Slots: 2, Versions: []uint64{7}}
	}
	for _, index := range deadly {
		c.behaviours[index].CrashOn = endsReplica
	}
	for _, behaviour := range c.behaviours {
		replica, err := standin.StartUpstream("127.0.0.1:0", behaviour)
		require.NoError(t, err)
		c.replicas = append(c.replicas, replica)
	}
	t.Cleanup(func() {
		for _, replica := range c.replicas {
			_ = replica.Close()
		}
	})
	c.Fleet = startFleet(t, 3, text(c.replicas))
	return c
}

// restartEnded restarts the replicas that ended and counts them.
func (c *crashingFleet) restartEnded() {
	for i, replica := range c.replicas {
		// The address can be bound only if the replica has ended.
		if restarted, err := standin.StartUpstream(replica.Address(), c.behaviours[i]); err == nil {
			c.replicas[i] = restarted
			c.ended++
		}
	}
}

func (c *crashingFleet) query(entry int, question string) (api.QueryReply, error) {
	address := c.Members()[entry%len(c.Members())].Addresses.Caller
	return c.caller.Query(context.Background(), address, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(question)})
}

// awaitRecovery restarts ended replicas and waits until each entry answers a harmless query completely.
func (c *crashingFleet) awaitRecovery() {
	c.t.Helper()
	c.restartEnded()
	for entry := range c.Members() {
		require.Eventually(c.t, func() bool {
			reply, err := c.query(entry, `"harmless"`)
			return err == nil && !reply.Coverage.Thin
		}, awaitTimeout, awaitInterval, "other queries are answered completely")
	}
}

// runAttempts makes each attempt with all replicas running, and requires that at most maxLate attempts end replicas after
// three replicas have ended.
func (c *crashingFleet) runAttempts(count int, attempt func(i int)) {
	c.t.Helper()
	const enoughEnded, maxLate = 3, 3
	late := 0
	for i := range count {
		c.awaitRecovery()
		before := c.ended
		attempt(i)
		c.restartEnded()
		if before >= enoughEnded && c.ended > before {
			late++
		}
	}
	require.GreaterOrEqual(c.t, c.ended, enoughEnded)
	require.LessOrEqual(c.t, late, maxLate, "attempts that ended replicas after three had ended")
}

// shardedConfig describes a service top whose shards have two replicas each.
func shardedConfig(replicas []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [prices]\nservices:\n  - name: top\n    index: prices\n    timeout: 5s\n    shards:\n")
	for i := 0; i+1 < len(replicas); i += 2 {
		fmt.Fprintf(&b, "      - replicas:\n          - {address: %q, data_centre: dc1}\n          - {address: %q, data_centre: dc2}\n", replicas[i].Address(), replicas[i+1].Address())
	}
	return b.String()
}

// Guards against a query that ends the replicas of one service or shard while the others answer it: it must be answered
// without that service or shard, and end no further replicas.
func TestAQuestionThatEndsSomeReplicasIsAnsweredWithoutThem(t *testing.T) {
	for name, text := range map[string]func([]*standin.Upstream) string{"a dependency of the queried service": testConfig, "a shard": shardedConfig} {
		t.Run(name, func(t *testing.T) {
			c := startCrashingFleet(t, 6, text, 2, 3)
			c.runAttempts(9, func(i int) { _, _ = c.query(i, `"deadly"`) })
			c.awaitRecovery()
			before := c.ended
			for entry := range c.Members() {
				reply, err := c.query(entry, `"deadly"`)
				require.NoError(t, err)
				require.True(t, reply.Coverage.Thin)
				require.Equal(t, 2, reply.Coverage.Answered)
				require.Equal(t, core.ReasonSetAside, reply.Coverage.Missing[0].Reason)
			}
			c.restartEnded()
			require.Equal(t, before, c.ended)
		})
	}
}

// Guards against a query that ends the replicas of all shards: it may end at most one replica of each of the six shards
// and three more.
func TestAQuestionThatEndsAllShardsEndsOneOfEach(t *testing.T) {
	c := startCrashingFleet(t, 12, shardedConfig, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	c.runAttempts(9, func(i int) { _, _ = c.query(i, `"deadly"`) })
	require.LessOrEqual(t, c.ended, 6+3)
}

// Guards against a query that ends the replicas of all services of its closure: it may end at most one replica of each of
// the six services and three more.
func TestAQuestionThatEndsAllServicesEndsOneOfEach(t *testing.T) {
	c := startCrashingFleet(t, 12, testConfig, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	c.runAttempts(9, func(i int) { _, _ = c.query(i, `"deadly"`) })
	require.LessOrEqual(t, c.ended, 6+3)
}

// Guards against a node that joins later running a query that is set aside: all nodes must refuse it as not run.
func TestANodeThatJoinsLaterRefusesAQuestionThatIsSetAside(t *testing.T) {
	c := startCrashingFleet(t, 2, testConfig, 0, 1)
	c.runAttempts(6, func(i int) { _, _ = c.query(i, `"deadly"`) })
	joined, err := c.Add()
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	require.NoError(t, c.AwaitReady(ctx, 1))
	require.Eventually(t, func() bool { return joined.Node.SetAsideCount() > 0 }, awaitTimeout, awaitInterval, "the node receives the set-aside query")
	c.awaitRecovery()
	before := c.ended
	for entry := range c.Members() {
		_, err := c.query(entry, `"deadly"`)
		typed := fault.As(err)
		require.Equal(t, fault.CodeSetAside, typed.Code)
		require.Equal(t, core.NotRun, typed.Outcome)
		require.Positive(t, typed.RetryAfter)
	}
	c.restartEnded()
	require.Equal(t, before, c.ended)
}

// Guards against a submit that ends replicas and is retried under a new key each time: it must be refused as not run.
func TestASubmitThatEndsReplicasIsRefused(t *testing.T) {
	text := func(replicas []*standin.Upstream) string {
		return submitConfig(replicas) + fmt.Sprintf("  - name: top\n    index: ledger\n    timeout: 5s\n    shards:\n      - replicas:\n          - {address: %q, data_centre: dc1}\n", replicas[3].Address())
	}
	c := startCrashingFleet(t, 4, text, 0, 1)
	submit := func(i int, payload string) error {
		address := c.Members()[i%len(c.Members())].Addresses.Caller
		request := invoiceRequest(newKey(t, c.caller, address))
		request.Payload = json.RawMessage(payload)
		reply, refusal := c.caller.Submit(context.Background(), address, "invoices", request)
		if reply.Outcome == core.Done.String() {
			return nil
		}
		return api.ErrorFromReply(refusal)
	}
	c.runAttempts(9, func(i int) {
		require.Eventually(t, func() bool {
			return submit(i, fmt.Sprintf(`{"total":%d}`, time.Now().UnixNano())) == nil
		}, awaitTimeout, awaitInterval, "other submits run")
		_ = submit(i, `"deadly"`)
	})
	typed := fault.As(submit(0, `"deadly"`))
	require.Equal(t, fault.CodeSetAside, typed.Code)
	require.Equal(t, core.NotRun, typed.Outcome)
}

// Guards against setting aside harmless frequent queries that are running when replicas crash for other reasons.
func TestPopularQuestionsAreNotSetAsideWhileReplicasCrash(t *testing.T) {
	c := startCrashingFleet(t, 4, shardedConfig)
	ctx, stop := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	var mutex sync.Mutex
	var setAside []string
	answered := 0
	for number := range 6 {
		callers.Go(func() {
			for i := number; ctx.Err() == nil; i++ {
				reply, err := c.query(i, fmt.Sprintf(`"popular-%d"`, number%2))
				mutex.Lock()
				answered++
				if err != nil && fault.As(err).Code == fault.CodeSetAside {
					setAside = append(setAside, err.Error())
				}
				for _, missing := range reply.Coverage.Missing {
					if missing.Reason == core.ReasonSetAside {
						setAside = append(setAside, string(missing.Reason))
					}
				}
				mutex.Unlock()
			}
		})
	}
	count := func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return answered
	}
	for i := range 40 {
		from := count()
		require.Eventually(t, func() bool { return count() >= from+20 }, awaitTimeout, time.Millisecond)
		require.NoError(t, c.replicas[i%len(c.replicas)].Close())
		c.restartEnded()
	}
	stop()
	callers.Wait()
	require.Empty(t, setAside)
}
