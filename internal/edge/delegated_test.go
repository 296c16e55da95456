package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// The only replica that a node was asked to send to stands still. The node does not: its first reply
// says that nothing has ended yet, and its entry hears it. Taken for silent, it would be left
// for a second, in which its entry asks all replicas there by itself.
func TestANodeThatWaitsForASlowReplicaIsNotTakenForSilent(t *testing.T) {
	sent := make(chan *peerpb.Envelope, 4)
	inbound := peer.NewInbound(t.Context(), peer.Identity{}, &peerpb.Envelope{}, func(reply *peerpb.Envelope) { sent <- reply })
	helper := &request{ended: make(chan []*exchange, 1)}
	over := make(chan struct{})
	go func() {
		defer close(over)
		(&replies{inbound: inbound, sender: topk.NewExcerptBuilder(1, 0), pauseAge: func(replica.Incarnation) (time.Duration, bool) { return 0, false }}).run(t.Context(), helper, time.Millisecond, 1)
	}()
	first := <-sent
	require.NotNil(t, first.GetDelegateReply())
	require.Empty(t, first.GetDelegateReply().GetParts())

	entry := &request{ended: make(chan []*exchange, 1), over: make(chan struct{})}
	g := &group{members: map[uint32]*exchange{7: {}}}
	entry.helperReplied(g, first, nil)
	require.True(t, g.heard.Load())
	require.Empty(t, entry.ended, "no send has ended")
	require.Len(t, g.members, 1)

	helper.ended <- []*exchange{{send: scatter.Send{ID: 7}, verdict: scatter.Unreached, err: delegatedError("gone")}}
	require.Len(t, (<-sent).GetDelegateReply().GetParts(), 1)
	<-over
	require.Empty(t, sent)
}

// While the fleet is replaced, a node of the former version is asked for parts apart and sends them merged. Taken
// for parts without records, they would be named in an answer that lacks what they hold.
func TestPartsThatCameMergedAreNotTakenForEmptyOnes(t *testing.T) {
	part := &peerpb.DelegatedPart{Id: 7, Status: 200, Stamp: "3e1b.07"}
	g := &group{apart: true, members: map[uint32]*exchange{7: {}}}
	ends := g.take(&peerpb.DelegateReply{Parts: []*peerpb.DelegatedPart{part}, Records: make([]byte, topk.RecordBytes)})
	require.Equal(t, scatter.Failed, ends[0].verdict)
	require.Nil(t, ends[0].batch)
	part.Records = make([]byte, topk.RecordBytes)
	g.members[7] = &exchange{}
	ends = g.take(&peerpb.DelegateReply{Apart: true, Parts: []*peerpb.DelegatedPart{part}})
	require.Equal(t, scatter.Succeeded, ends[0].verdict)
	require.Len(t, ends[0].response.Body, topk.RecordBytes)
}
