package edge

import (
	"hash/fnv"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// inFlightSend is attached to each request in flight to a replica and identifies its send.
type inFlightSend struct {
	request *request
	send    *exchange
}

// identity returns the properties that identify the request over all its attempts.
func (q *request) identity() quarantine.Identity {
	path, query, _ := strings.Cut(q.template.Target, "?")
	return quarantine.Identity{Method: q.template.Method, Host: q.template.Host, Path: path, Query: query, Caller: platform.StableHeaderLines(q.template.Header), Body: q.template.Body}
}

// maxDescribedBytes bounds the host, and the path, in a description.
const maxDescribedBytes = 100

// describe returns a description of the request for operators.
func (q *request) describe() string {
	host, target := q.template.Host, q.template.Target
	return q.template.Method + " " + host[:min(len(host), maxDescribedBytes)] + target[:min(len(target), maxDescribedBytes)] + " (" + q.route.Name + ")" + q.origin()
}

// origin returns the end of a description with the caller's address, if that is known.
func (q *request) origin() string {
	if caller := q.caller(); caller != "" {
		return " from " + caller
	}
	return ""
}

// caller returns the address that the request came from, without its port, or "" if it is unknown.
func (q *request) caller() string { return addressOf(q.remote) }

// addressOf returns an IP address without its port, or "" if there is none.
func addressOf(remote string) string {
	address, err := netip.ParseAddrPort(remote)
	if err != nil {
		return ""
	}
	return address.Addr().Unmap().String()
}

// returnKey returns what identifies the request when its caller sends it again.
func (q *request) returnKey() comeback.Key {
	exact := q.quarantineNames().Exact
	hash := fnv.New64a()
	_, _ = hash.Write(exact[:])
	_, _ = hash.Write([]byte(q.caller()))
	return comeback.Key(hash.Sum64())
}

// applyStandings applies the standings of the request, as a whole and at each shard, to its plan.
func (q *request) applyStandings() {
	assessment := q.node.quarantine.Assess(q.identity, q.services)
	q.standing, q.knownEnded = assessment.Request, assessment.EndedReplicas
	q.plan.Suspect = q.standing == quarantine.Suspect
	q.plan.SuspectShards = assessment.ShardsWith(quarantine.Suspect)
	q.plan.SetAsideShards = assessment.ShardsWith(quarantine.SetAside)
}

// isSetAside reports whether the request is set aside as a whole, or at so many shards that too few remain to
// answer it.
func (q *request) isSetAside() bool {
	return q.standing == quarantine.SetAside || len(q.plan.SetAsideShards) > 0 && len(q.services)-len(q.plan.SetAsideShards) < max(q.plan.MinParts, 1)
}

// recordAnswered records that a replica of a shard has answered the request, which clears it as a whole and
// at that shard.
func (q *request) recordAnswered(shard string) {
	q.answered.Store(true)
	q.node.quarantine.RecordAnswer(q.quarantineNames, shard)
}

// trialMarks returns the trial marks for a send that was not answered.
func trialMarks(send scatter.Send) quarantine.Fact {
	var marks quarantine.Fact
	if send.Alone {
		marks |= quarantine.Trial
	}
	if send.ShardAlone {
		marks |= quarantine.ShardTrial
	}
	return marks
}

// recordTrial records a failed send that was the only one of a suspected request in flight, or the only one
// at its shard. The end of the replica may go unseen by every node, so a trial without an answer counts by
// itself. A replica that answers with a failure has not ended, and may not have run the request.
func (q *request) recordTrial(exchange *exchange) {
	if marks := trialMarks(exchange.send); marks != 0 && exchange.verdict == scatter.Failed && exchange.response == nil {
		q.node.quarantine.RecordFacts(q.identity(), q.describe(), exchange.send.Replica.Service, exchange.send.Replica.Incarnation(), marks|q.clearedMark())
	}
}

// clearedMark returns Cleared if any replica has answered the request, so that the fact counts only at its shard.
func (q *request) clearedMark() quarantine.Fact {
	if q.answered.Load() {
		return quarantine.Cleared
	}
	return 0
}

// maxEndedRequests bounds the requests named in the log line of an ended replica. Only replicas with very
// many slots run more.
const maxEndedRequests = 16

// endedRequest is the log entry of a request that was in flight at a replica that ended.
type endedRequest struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Caller string `json:"caller,omitempty"`
	Route  string `json:"route"`
}

// replicaEnded handles the end of a replica, with the sends that were in flight there. A request that another
// replica has answered in the meantime is suspected only at the shard of the ended replica.
func (n *Node) replicaEnded(end replicaconn.End) {
	var named []endedRequest
	fields := decisionlog.Fields{"replica": end.Replica.ID, "born": end.Replica.Born, "in_work": len(end.InFlight), "evidence": end.Evidence, "after_ms": end.Delay.Milliseconds()}
	for _, request := range end.InFlight {
		inFlight, ok := request.UserData.(inFlightSend)
		if !ok {
			continue
		}
		q := inFlight.request
		identity := q.identity()
		fields["service"] = inFlight.send.send.Replica.Service
		if len(named) < maxEndedRequests {
			named = append(named, endedRequest{ID: q.id, Key: identity.Names().Exact.String(), Caller: q.caller(), Route: q.route.Name})
		}
		marks := quarantine.Ended | trialMarks(inFlight.send.send) | q.clearedMark()
		n.quarantine.RecordFacts(identity, q.describe(), inFlight.send.send.Replica.Service, end.Replica, marks)
	}
	fields["requests"] = named
	n.metrics.countReplicaEnded()
	n.log.Life("replica_ended", fields)
}

// standingEvents are the log events for changes of a request's standing.
var standingEvents = map[quarantine.Standing]string{
	quarantine.Trusted: "request_cleared", quarantine.Suspect: "request_suspected", quarantine.SetAside: "request_set_aside",
}

// logStandingChange logs the new standing of a request and the node that it was received from. Requests that
// are set aside are logged regardless of the log's rate limit, so that operators find them at once.
func (n *Node) logStandingChange(change quarantine.Change, from core.NodeID) {
	record := change.Record
	severity := record.Severity()
	if severity == change.Previous {
		return
	}
	fields := decisionlog.Fields{"key": record.Key.String(), "what": record.Description, "former": change.Previous.String(), "replicas_ended": record.EndedCount(), "from": from, "shards_set_aside": record.SetAsideShards()}
	event := standingEvents[severity]
	if severity == quarantine.SetAside {
		n.metrics.countSetAside()
		n.log.Life(event, fields)
		return
	}
	n.log.Decision(event, fields)
}

// rejectSetAside answers that a request has not run because it is set aside.
func (n *Node) rejectSetAside(w http.ResponseWriter, q *request) {
	n.metrics.countRefused()
	n.log.Decision("request_refused", decisionlog.Fields{"request": q.id, "cause": "replicas ended under it each time it ran", "key": q.identity().Names().Exact.String(), "retry_after_ms": quarantine.RetryAfter.Milliseconds()})
	writeRefusalReason(w, "not run: replicas ended under this request each time it ran", quarantine.RetryAfter)
}
