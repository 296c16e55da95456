package replicaconn

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// An answer is lost; while another connection shows that the replica runs, it ends during a second request. The first
// check says nothing about the second request, which needs its own: otherwise that end would never be reported.
func TestAnEndWhileAnEarlierDoubtIsSettledIsTold(t *testing.T) {
	client, ended, asked, proceed := startChecked(t)
	lost, deadly := &Request{Replica: checkedReplica, ID: "lost"}, &Request{Replica: checkedReplica, ID: "deadly"}
	client.connectionBroke(checkedReplica, lost, io.EOF)
	<-asked
	client.connectionBroke(checkedReplica, deadly, io.EOF)
	proceed <- false
	proceed <- true
	select {
	case end := <-ended:
		require.Equal(t, []*Request{deadly}, end.InFlight)
	case <-time.After(time.Second):
		t.Fatal("the end of the replica was not reported")
	}
}

// Guards against an end that becomes known late, or not at all, because the check of the broken connection takes long:
// another incarnation that is found meanwhile shows the end, and the check then reports nothing more.
func TestAnEndIsKnownFromTheNextIncarnationWhileTheCheckIsUnderWay(t *testing.T) {
	const address = "10.0.0.1:80"
	for name, c := range map[string]struct {
		find     func(client *Client)
		evidence Evidence
	}{
		"listed":      {func(client *Client) { client.ReplicaListed(replica.Incarnation{ID: "i-2"}, address) }, SuccessorListed},
		"misdirected": {func(client *Client) { client.ReplicaMisdirected(checkedReplica) }, SuccessorAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			client, ended, asked, proceed := startChecked(t)
			deadly := &Request{Replica: checkedReplica, Address: address, ID: "deadly"}
			client.connectionBroke(checkedReplica, deadly, io.EOF)
			<-asked
			c.find(client)
			require.Len(t, ended, 1, "the end is reported before the check is over")
			end := <-ended
			require.Equal(t, []*Request{deadly}, end.InFlight)
			require.Equal(t, c.evidence, end.Evidence)
			proceed <- true
			require.Eventually(t, func() bool {
				client.mutex.Lock()
				defer client.mutex.Unlock()
				return !client.pools[checkedReplica].checkingEnded
			}, time.Second, time.Millisecond)
			require.Empty(t, ended, "the end is reported once")
		})
	}
}

// Guards against an end that nobody reports because no pool is left for the replica when its connection breaks.
func TestAnEndIsKnownWithoutAPool(t *testing.T) {
	client, ended, _, _ := startChecked(t)
	delete(client.pools, checkedReplica)
	deadly := &Request{Replica: checkedReplica, Address: "10.0.0.1:80"}
	client.connectionBroke(checkedReplica, deadly, io.EOF)
	client.ReplicaListed(replica.Incarnation{ID: "i-2"}, "10.0.0.1:80")
	require.Len(t, ended, 1)
}

// checkedReplica is the replica of startChecked.
var checkedReplica = replica.Incarnation{ID: "i-1"}

// startChecked returns a client with a pool for checkedReplica, the ends that it reports, and the checks: asked receives
// the first request of each, proceed its result.
func startChecked(t *testing.T) (client *Client, ended chan End, asked chan *Request, proceed chan bool) {
	t.Helper()
	client = NewClient(plainWire{})
	t.Cleanup(client.Close)
	client.pools[checkedReplica] = &pool{connections: map[*conn]struct{}{}}
	ended = make(chan End, 2)
	client.OnReplicaEnded(func(end End) { ended <- end })
	asked, proceed = make(chan *Request, 2), make(chan bool, 2)
	client.refuses = func(_ *pool, request *Request) bool {
		asked <- request
		return <-proceed
	}
	return client, ended, asked, proceed
}
