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
	incarnation := replica.Incarnation{ID: "i-1"}
	client := NewClient(plainWire{})
	defer client.Close()
	client.pools[incarnation] = &pool{connections: map[*conn]struct{}{}}
	ended := make(chan []*Request, 2)
	client.OnReplicaEnded(func(_ replica.Incarnation, inFlight []*Request) { ended <- inFlight })
	asked, proceed := make(chan *Request, 2), make(chan bool, 2)
	client.refuses = func(_ *pool, request *Request) bool {
		asked <- request
		return <-proceed
	}
	lost, deadly := &Request{Replica: incarnation, ID: "lost"}, &Request{Replica: incarnation, ID: "deadly"}
	client.connectionBroke(incarnation, lost, io.EOF)
	<-asked
	client.connectionBroke(incarnation, deadly, io.EOF)
	proceed <- false
	proceed <- true
	select {
	case inFlight := <-ended:
		require.Equal(t, []*Request{deadly}, inFlight)
	case <-time.After(time.Second):
		t.Fatal("the end of the replica was not reported")
	}
}
