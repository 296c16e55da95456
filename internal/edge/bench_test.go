package edge

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// BenchmarkDelegatedParts measures the cost of delegated sends at both nodes, apart from the sends
// themselves: the messages and the merging of the parts. The cost of the link is not included.
func BenchmarkDelegatedParts(b *testing.B) {
	for _, shards := range []int{20, 135, 450} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			var ends []*exchange
			message := &peerpb.DelegateRequest{Method: http.MethodGet, Target: "/all/q", Host: "search.example", RequestId: "9c41d07be2a35f68"}
			for i := range shards {
				send := &peerpb.DelegatedSend{Id: uint32(i), Service: fmt.Sprintf("shard~%d", i), Replica: "i-7f3a91c2", Address: "10.1.0.9:8104"}
				message.Sends = append(message.Sends, send)
				exchange := &exchange{send: scatter.Send{ID: i, Replica: replica.Replica{ID: send.GetReplica(), Service: send.GetService()}}, latency: time.Millisecond}
				exchange.response = &replicaconn.Response{Status: http.StatusOK, Header: http.Header{}, Body: make([]byte, 200)}
				platform.SetStamp(exchange.response.Header, "3e1b.07.5a2.600.0.c9f2a4d1")
				ends = append(ends, exchange)
			}
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, &peerpb.Envelope{Body: &peerpb.Envelope_DelegateRequest{DelegateRequest: message}})
				var reply *peerpb.Envelope
				inbound := peer.NewInbound(b.Context(), peer.Identity{}, &peerpb.Envelope{}, func(sent *peerpb.Envelope) { reply = sent })
				r := &delegateReplies{inbound: inbound, excerpts: topk.NewExcerptBuilder(10, shards), pending: ends, pauseAge: func(replica.Incarnation) (time.Duration, bool) { return 0, false }}
				r.flush(true)
				g := &group{members: map[uint32]*exchange{}}
				for i := range shards {
					g.members[uint32(i)] = &exchange{}
				}
				require.Len(b, g.applyReply(roundTrip(b, reply).GetDelegateReply()), shards)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(shards), "ns/part")
		})
	}
}

// roundTrip encodes and decodes a message.
func roundTrip(b *testing.B, message *peerpb.Envelope) *peerpb.Envelope {
	text, err := proto.Marshal(message)
	require.NoError(b, err)
	read := &peerpb.Envelope{}
	require.NoError(b, proto.Unmarshal(text, read))
	return read
}
