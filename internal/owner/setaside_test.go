package owner

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	corequarantine "github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
	"github.com/pistachiopier/pistachiopier/internal/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// newLedger returns a ledger that knows three replicas to have ended under a request.
func newLedger(identity corequarantine.Identity, shard string, marks corequarantine.Fact) *quarantine.ReplicatedLedger {
	ledger := quarantine.New(quarantine.Options{Now: func() core.Time { return 0 }})
	for i := range 3 {
		ledger.RecordFacts(identity, "deadly", shard, replica.Incarnation{ID: fmt.Sprint("i-", i)}, corequarantine.Ended|marks)
	}
	return ledger
}

// Guards against an owner that sends on a query that it knows to be set aside, because the entry has not yet received the
// update.
func TestAQueryThatTheOwnerKnowsToBeSetAsideIsRefused(t *testing.T) {
	const shard = "prices/0"
	query := corequarantine.ServiceQuery("prices", "chef", []byte("{}"))
	for name, ledger := range map[string]*quarantine.ReplicatedLedger{
		"as a whole":        newLedger(query, shard, corequarantine.Trial),
		"at its shard":      newLedger(query, shard, corequarantine.ShardTrial|corequarantine.Cleared),
		"over all services": newLedger(corequarantine.ClosureQuery("chef", []byte("{}")), "", corequarantine.Trial),
	} {
		t.Run(name, func(t *testing.T) {
			replica := startReplica(t, standin.Behaviour{Versions: []uint64{7}})
			b := startAssessedFixture(t, ledger, replica.Address())
			b.ask("chef")
			part := b.nextPart()
			require.EqualValues(t, core.NotRun, part.GetOutcome())
			require.EqualValues(t, core.ReasonSetAside, part.GetReason())
			require.EqualValues(t, corequarantine.RetryAfter.Milliseconds(), part.GetRetryAfterMs())
			require.Zero(t, replica.Queries())
			b.ask("other")
			require.EqualValues(t, core.Done, b.nextPart().GetOutcome(), "another customer's query is answered")
		})
	}
}

// Guards against an owner that sends on a submit that it knows to be set aside.
func TestASubmitThatTheOwnerKnowsToBeSetAsideIsRefused(t *testing.T) {
	u := startReplica(t, standin.Behaviour{Versions: []uint64{7}})
	b := startAssessedFixture(t, newLedger(corequarantine.Submit("invoices", "chef", []byte("1")), "invoices/0", corequarantine.Trial), u.Address())
	parsed, err := catalog.Parse(fmt.Appendf(nil, "version: 1\nindexes: [i]\nservices:\n  - name: invoices\n    index: i\n    idempotent: false\n    shards: [{replicas: [{address: %q}]}]\n", u.Address()))
	require.NoError(t, err)
	b.setConfig(2, parsed)
	submit := func(payload string) *peerpb.SubmitReply {
		message := &peerpb.SubmitRequest{Customer: "chef", Key: "k." + payload, Service: "invoices", Payload: []byte(payload), TimeLeftUs: uint64(awaitLimit.Microseconds())}
		replies := make(chan *peerpb.SubmitReply, 1)
		envelope := &peerpb.Envelope{Body: &peerpb.Envelope_SubmitRequest{SubmitRequest: message}}
		b.owner.HandleSubmit(peer.NewInbound(context.Background(), peer.Identity{}, envelope, func(reply *peerpb.Envelope) { replies <- reply.GetSubmitReply() }))
		return <-replies
	}
	refused := submit("1")
	require.EqualValues(t, core.NotRun, refused.GetOutcome())
	require.EqualValues(t, core.ReasonSetAside, refused.GetCode())
	require.EqualValues(t, core.Done, submit("2").GetOutcome())
	require.Equal(t, map[string]int{"k.2": 1}, u.Submits())
}
