package owner

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/once"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/standin"
	"github.com/pistachiopier/pistachiopier/internal/upstream"
)

// An owner is paused between choosing a replica for a must-not-repeat request and
// sending it. After the pause the deadline has passed, or the shard has another owner:
// the owner must not send the request, and reports "not run".
func TestAPausedOwnerDoesNotSend(t *testing.T) {
	u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Versions: []uint64{1}})
	require.NoError(t, err)
	defer func() { _ = u.Close() }()
	l := &loop{options: Options{Upstream: upstream.NewClient()}}
	defer l.options.Upstream.Close()
	cases := map[core.Reason]*submitWork{
		core.ReasonDeadline: newSubmitWork(2*time.Second, true),
		core.ReasonNotOwner: newSubmitWork(0, false),
		core.ReasonNone:     newSubmitWork(0, true),
	}
	for reason, w := range cases {
		call := w.call()
		call.Address, call.Ref = u.Address(), w.ref
		result := l.send(context.Background(), w, call)
		require.Equal(t, reason, result.Reason)
		if reason == core.ReasonNone {
			require.Equal(t, core.Done, result.Outcome)
			continue
		}
		require.Equal(t, core.NotRun, result.Outcome)
		require.Equal(t, core.NotRun, w.reportable(result.Outcome))
	}
	require.Equal(t, map[string]int{"k.k": 1}, u.Submits())
}

func newSubmitWork(now core.Time, owns bool) *submitWork {
	envelope := &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: &peerpb.SubmitRequest{Key: "k.k", Payload: []byte("1")}}}
	return &submitWork{
		inbound: peer.NewInbound(context.Background(), peer.Identity{}, envelope, func(*peerpb.Envelope) {}),
		ref:     core.ShardRef{Service: "invoices"},
		owns:    func() bool { return owns },
		now:     func() core.Time { return now },
		permit:  once.NewPermit(time.Second),
	}
}

// An owner is stopped as planned while a must-not-repeat request is in flight. The stop
// waits for its end, and new requests are refused.
func TestAStoppingOwnerFinishesItsSubmits(t *testing.T) {
	var s submitTracker
	require.True(t, s.begin())
	idle := s.drain()
	require.False(t, s.begin())
	select {
	case <-idle:
		t.Fatal("drain did not wait for the request in flight")
	default:
	}
	s.end()
	<-idle
}
