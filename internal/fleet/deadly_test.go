package fleet

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// Guards against a query that crashes every replica that runs it and that the caller repeats, through any entry, once the
// replicas have restarted. At most sendsLeft attempts may crash replicas after three have crashed.
func TestAQuestionThatEndsReplicasIsSetAside(t *testing.T) {
	const (
		attempts    = 9
		enoughEnded = 3
		sendsLeft   = 3
	)
	behaviour := standin.Behaviour{Slots: 2, Versions: []uint64{7}, CrashOn: func(question string) bool { return strings.Contains(question, "deadly") }}
	var replicas []*standin.Upstream
	for range 2 {
		replica, err := standin.StartUpstream("127.0.0.1:0", behaviour)
		require.NoError(t, err)
		replicas = append(replicas, replica)
	}
	f := startFleet(t, 3, testConfig(replicas))
	caller := client.New()
	defer caller.Close()
	query := func(entry int, question string) (api.QueryReply, error) {
		return caller.Query(context.Background(), f.Members()[entry].Addresses.Caller, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(question)})
	}
	ended, late := 0, 0
	for i := range attempts {
		for entry := range f.Members() {
			require.Eventually(t, func() bool {
				reply, err := query(entry, `"harmless"`)
				return err == nil && reply.Outcome == "done"
			}, awaitTimeout, awaitInterval, "other queries are answered")
		}
		before := ended
		_, _ = query(i%len(f.Members()), `"deadly"`)
		for at, replica := range replicas {
			// The address can be bound only if the replica has ended.
			restarted, err := standin.StartUpstream(replica.Address(), behaviour)
			if err == nil {
				replicas[at] = restarted
				ended++
			}
		}
		if before >= enoughEnded && ended > before {
			late++
		}
	}
	for _, replica := range replicas {
		require.NoError(t, replica.Close())
	}
	require.LessOrEqual(t, late, sendsLeft, "attempts that ended replicas after three had ended")
}
