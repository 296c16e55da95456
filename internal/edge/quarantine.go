package edge

import (
	"net/http"
	"net/netip"
	"strings"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// inWork is a send that the connections to replicas hold for its request.
type inWork struct {
	request *request
	send    *exchange
}

// identity is what makes the request the same over all its tries.
func (q *request) identity() quarantine.Identity {
	path, query, _ := strings.Cut(q.template.Target, "?")
	return quarantine.Identity{Method: q.template.Method, Host: q.template.Host, Path: path, Query: query, Caller: platform.StableHeaderLines(q.template.Header), Body: q.template.Body}
}

// maxDescribed bounds the path in a description, in bytes.
const maxDescribed = 100

// describe names the request to operators.
func (q *request) describe() string {
	return q.template.Method + " " + q.template.Host + q.template.Target[:min(len(q.template.Target), maxDescribed)] + " (" + q.route.Name + ")" + q.origin()
}

// origin ends a description with the caller's address, where that is known.
func (q *request) origin() string {
	if caller := q.caller(); caller != "" {
		return " from " + caller
	}
	return ""
}

// caller is the address that the request came from, without its port; empty where it is not known.
func (q *request) caller() string {
	read, err := netip.ParseAddrPort(q.remote)
	if err != nil {
		return ""
	}
	return read.Addr().Unmap().String()
}

// assess applies the standings of the request, as a whole and at each shard, to its plan.
func (q *request) assess() {
	assessment := q.node.quarantine.Assess(q.identity, q.services)
	q.standing = assessment.Request
	q.plan.Suspect = q.standing == quarantine.Suspect
	q.plan.SuspectShards = assessment.ShardsWith(quarantine.Suspect)
	q.plan.SetAsideShards = assessment.ShardsWith(quarantine.SetAside)
}

// setAside reports whether the request is set aside as a whole, or at so many shards that too few remain to answer it.
func (q *request) setAside() bool {
	return q.standing == quarantine.SetAside || len(q.plan.SetAsideShards) > 0 && len(q.services)-len(q.plan.SetAsideShards) < max(q.plan.MinParts, 1)
}

// noteAnswered records that a replica of a shard has answered the request, which clears it as a whole and at that shard.
func (q *request) noteAnswered(shard string) {
	q.answered.Store(true)
	q.node.quarantine.Answered(q.names, shard)
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

// noteTrial records a failed send that was the only one of a suspected request in flight, or the only one at its shard. No
// node may see the replica end, so a trial without an answer counts by itself. A replica that answers with a failure has not
// ended, and may not have run the request.
func (q *request) noteTrial(one *exchange) {
	if marks := trialMarks(one.send); marks != 0 && one.verdict == scatter.Failed && one.response == nil {
		q.node.quarantine.Seen(q.identity(), q.describe(), one.send.Replica.Service, one.send.Replica.Incarnation(), marks|q.clearedMark())
	}
}

// clearedMark returns Cleared if any replica has answered the request, so that the fact counts only at its shard.
func (q *request) clearedMark() quarantine.Fact {
	if q.answered.Load() {
		return quarantine.Cleared
	}
	return 0
}

// maxEndedRequests bounds the requests that the line on an ended replica names: a replica that runs more
// has very many slots.
const maxEndedRequests = 16

// endedRequest is a request that was in work at a replica that ended, as the log names it.
type endedRequest struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Caller string `json:"caller,omitempty"`
	Route  string `json:"route"`
}

// replicaEnded takes that a replica has ended, with the sends that were in work there. A request that another
// replica has answered in the meantime is suspected only at the shard of the ended replica.
func (n *Node) replicaEnded(life replica.Incarnation, requests []*replicaconn.Request) {
	var named []endedRequest
	fields := decisionlog.Fields{"replica": life.ID, "born": life.Born, "in_work": len(requests)}
	for _, one := range requests {
		work, ok := one.UserData.(inWork)
		if !ok {
			continue
		}
		q := work.request
		identity := q.identity()
		fields["service"] = work.send.send.Replica.Service
		if len(named) < maxEndedRequests {
			named = append(named, endedRequest{ID: q.id, Key: identity.Names().Exact.String(), Caller: q.caller(), Route: q.route.Name})
		}
		marks := quarantine.Ended | trialMarks(work.send.send) | q.clearedMark()
		n.quarantine.Seen(identity, q.describe(), work.send.send.Replica.Service, life, marks)
	}
	fields["requests"] = named
	n.metrics.replicaEnded()
	n.log.Life("replica_ended", fields)
}

// standingEvents are the log's names for what a request becomes.
var standingEvents = map[quarantine.Standing]string{
	quarantine.Trusted: "request_cleared", quarantine.Suspect: "request_suspected", quarantine.SetAside: "request_set_aside",
}

// standingChanged tells what a request has become, and by whom that is known. Requests that are set aside are told
// whatever else is in the log: operators have to find them at once.
func (n *Node) standingChanged(change quarantine.Change, from core.NodeID) {
	record := change.Record
	severity := record.Severity()
	if severity == change.Previous {
		return
	}
	fields := decisionlog.Fields{"key": record.Key.String(), "what": record.Description, "former": change.Previous.String(), "replicas_ended": record.EndedCount(), "from": from, "shards_set_aside": record.SetAsideShards()}
	event := standingEvents[severity]
	if severity == quarantine.SetAside {
		n.metrics.setAside()
		n.log.Life(event, fields)
		return
	}
	n.log.Decision(event, fields)
}

// rejectSetAside answers a request under which replicas ended. It has not run.
func (n *Node) rejectSetAside(w http.ResponseWriter, q *request) {
	n.metrics.refused()
	n.log.Decision("request_refused", decisionlog.Fields{"request": q.id, "cause": "replicas ended under it each time it ran", "key": q.identity().Names().Exact.String(), "retry_after_ms": quarantine.RetryAfter.Milliseconds()})
	writeRefusalFor(w, "not run: replicas ended under this request each time it ran", quarantine.RetryAfter)
}
