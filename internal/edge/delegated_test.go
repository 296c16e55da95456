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

// Guards against treating a helper as silent because its only replica is slow: its first reply reports that
// nothing has ended yet. The entry node would otherwise avoid the helper for a second and send to all
// replicas there by itself.
func TestAHelperWithASlowReplicaIsNotTreatedAsSilent(t *testing.T) {
	sent := make(chan *peerpb.Envelope, 4)
	inbound := peer.NewInbound(t.Context(), peer.Identity{}, &peerpb.Envelope{}, func(reply *peerpb.Envelope) { sent <- reply })
	helper := &request{ended: make(chan []*exchange, 1)}
	over := make(chan struct{})
	go func() {
		defer close(over)
		(&delegateReplies{inbound: inbound, excerpts: topk.NewExcerptBuilder(1, 0), pauseAge: func(replica.Incarnation) (time.Duration, bool) { return 0, false }}).run(t.Context(), helper, time.Millisecond, 1)
	}()
	first := <-sent
	require.NotNil(t, first.GetDelegateReply())
	require.Empty(t, first.GetDelegateReply().GetParts())

	entry := &request{ended: make(chan []*exchange, 1), done: make(chan struct{})}
	g := &group{members: map[uint32]*exchange{7: {}}}
	entry.handleHelperReply(g, first, nil)
	require.True(t, g.replied.Load())
	require.Empty(t, entry.ended, "no send has ended")
	require.Len(t, g.members, 1)

	helper.ended <- []*exchange{{send: scatter.Send{ID: 7}, verdict: scatter.Unreached, err: delegatedError("gone")}}
	require.Len(t, (<-sent).GetDelegateReply().GetParts(), 1)
	<-over
	require.Empty(t, sent)
}

// Guards against an answer that names parts and lacks their records. During a rolling upgrade, a helper of
// the previous version receives a request for separate parts and returns merged ones, which look like parts
// without records.
func TestPartsThatCameMergedAreNotTakenForEmptyOnes(t *testing.T) {
	part := &peerpb.DelegatedPart{Id: 7, Status: 200, Stamp: "3e1b.07"}
	g := &group{separate: true, members: map[uint32]*exchange{7: {}}}
	ends := g.applyReply(&peerpb.DelegateReply{Parts: []*peerpb.DelegatedPart{part}, Records: make([]byte, topk.RecordBytes)})
	require.Equal(t, scatter.Failed, ends[0].verdict)
	require.Nil(t, ends[0].batch)
	part.Records = make([]byte, topk.RecordBytes)
	g.members[7] = &exchange{}
	ends = g.applyReply(&peerpb.DelegateReply{Apart: true, Parts: []*peerpb.DelegatedPart{part}})
	require.Equal(t, scatter.Succeeded, ends[0].verdict)
	require.Len(t, ends[0].response.Body, topk.RecordBytes)
}
