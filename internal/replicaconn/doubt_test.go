package replicaconn

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

// An answer is lost, and while one more connection shows that the replica lives it ends under another request. That the
// first doubt was unfounded says nothing of the second: its replica's end would never be told.
func TestAnEndWhileAnEarlierDoubtIsSettledIsTold(t *testing.T) {
	life := replica.Incarnation{ID: "i-1"}
	client := NewClient(plainWire{})
	defer client.Close()
	client.hosts[life] = &host{connections: map[*conn]struct{}{}}
	told := make(chan []*Request, 2)
	client.OnReplicaEnded(func(_ replica.Incarnation, inWork []*Request) { told <- inWork })
	asked, proceed := make(chan *Request, 2), make(chan bool, 2)
	client.refuses = func(_ *host, request *Request) bool {
		asked <- request
		return <-proceed
	}
	lost, deadly := &Request{Replica: life, ID: "lost"}, &Request{Replica: life, ID: "deadly"}
	client.broke(life, lost, io.EOF)
	<-asked
	client.broke(life, deadly, io.EOF)
	proceed <- false
	proceed <- true
	select {
	case inWork := <-told:
		require.Equal(t, []*Request{deadly}, inWork)
	case <-time.After(time.Second):
		t.Fatal("the end was never told")
	}
}
