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

// A question ends each replica that begins to run it. The caller asks it again, through any entry, once the replicas
// are back. Each try is judged by itself: owners and entries keep nothing on a question beyond its end.
func TestAQuestionThatEndsReplicasIsSetAside(t *testing.T) {
	const (
		tries       = 9
		enoughEnded = 3
		sendsLeft   = 3
	)
	behaviour := standin.Behaviour{Slots: 2, Versions: []uint64{7}, CrashOn: func(question string) bool { return strings.Contains(question, "deadly") }}
	var replicas []*standin.Upstream
	for range 2 {
		one, err := standin.StartUpstream("127.0.0.1:0", behaviour)
		require.NoError(t, err)
		replicas = append(replicas, one)
	}
	f := startFleet(t, 3, testText(replicas))
	caller := client.New()
	defer caller.Close()
	ask := func(entry int, question string) (api.QueryReply, error) {
		return caller.Query(context.Background(), f.Members()[entry].Addresses.Caller, "top", api.QueryRequest{Customer: "chef", Question: json.RawMessage(question)})
	}
	ended, late := 0, 0
	for i := range tries {
		for entry := range f.Members() {
			require.Eventually(t, func() bool {
				reply, err := ask(entry, `"harmless"`)
				return err == nil && reply.Outcome == "done"
			}, awaitLimit, awaitPause, "other questions are answered")
		}
		before := ended
		_, _ = ask(i%len(f.Members()), `"deadly"`)
		for at, one := range replicas {
			// Its address is free again once it has ended.
			again, err := standin.StartUpstream(one.Address(), behaviour)
			if err == nil {
				replicas[at] = again
				ended++
			}
		}
		if before >= enoughEnded && ended > before {
			late++
		}
	}
	for _, one := range replicas {
		require.NoError(t, one.Close())
	}
	require.LessOrEqual(t, late, sendsLeft, "tries that were begun after it had ended three")
}
