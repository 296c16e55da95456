package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
)

const testAddress, testShard = "10.0.0.1:80", "top/0"

func queryIdentity(query string) quarantine.Identity {
	return quarantine.ServiceQuery("top", "chef", []byte(strconv.Quote(query)))
}

func sendOf(query, address string, at core.Time) brokenSend {
	return brokenSend{address: address, incarnation: replica.Incarnation{ID: address}, observations: []observation{{identity: queryIdentity(query), shard: testShard}}, at: at}
}

func (b *brokenSends) answeredTo(query, address string, at core.Time) []brokenSend {
	return b.answered(queryIdentity(query).Names().Exact, testShard, address, at)
}

// Guards against missing the ends of a replica that is restarted at once: each is a fact of its own.
func TestARequestBrokenOffBeforeAnotherIsAnsweredHasEndedItsReplica(t *testing.T) {
	b := &brokenSends{}
	ends := map[string]bool{}
	for i := range 3 {
		at := core.Time(i) * time.Second
		b.keep(sendOf("deadly", testAddress, at))
		require.Empty(t, b.answeredTo("harmless", "10.0.0.2:80", at), "another replica answered")
		taken := b.answeredTo("harmless", testAddress, at)
		require.Len(t, taken, 1)
		ends[taken[0].incarnation.ID] = true
		require.True(t, b.empty())
	}
	require.Len(t, ends, 3)
}

// Guards against suspecting a request whose reply was lost: it is answered later, or no other one is answered in time.
func TestALostReplyIsNoEnd(t *testing.T) {
	b := &brokenSends{}
	b.keep(sendOf("lost", testAddress, 0))
	require.Empty(t, b.answeredTo("lost", "10.0.0.2:80", time.Second))
	require.True(t, b.empty())
	b.keep(sendOf("lost", testAddress, time.Second))
	require.Empty(t, b.answeredTo("harmless", testAddress, time.Second+brokenSendTimeout))
	require.True(t, b.empty())
}

// Guards against missing the ends of one shard's replicas while other shards answer the request.
func TestAnAnswerOfAnotherShardLeavesTheBreak(t *testing.T) {
	b := &brokenSends{}
	b.keep(sendOf("deadly", testAddress, 0))
	require.Empty(t, b.answered(queryIdentity("deadly").Names().Exact, "top/1", "10.0.0.2:80", 0))
	require.Len(t, b.answeredTo("harmless", testAddress, 0), 1)
}

// Guards against setting aside popular requests where the network breaks off any of them.
func TestBreaksOfAnyRequestAreNoEnds(t *testing.T) {
	b := &brokenSends{}
	ends := 0
	for i := range 300 {
		at := core.Time(i) * 100 * time.Millisecond
		b.keep(sendOf("popular-"+strconv.Itoa(i%5), testAddress, at))
		ends += len(b.answeredTo("other", testAddress, at))
	}
	require.LessOrEqual(t, ends, 2, "the first break of a request may be taken for an end")
}

// Guards against broken sends that hold memory without bound.
func TestKeptBrokenSendsAreBounded(t *testing.T) {
	b := &brokenSends{}
	for range 2 * maxBrokenSends {
		b.keep(sendOf("deadly", testAddress, 0))
		b.answeredTo("harmless", testAddress, 0)
		b.keep(sendOf("deadly", "10.0.0.2:80", 0))
	}
	require.Len(t, b.kept, maxBrokenSends)
	require.Len(t, b.breaks, maxBrokenSends)
}
