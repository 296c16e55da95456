package edge

import (
	"github.com/pistachiopier/pistachiopier/internal/core/quarantine"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
)

// inWork is a send that the connections to replicas hold for its request.
type inWork struct {
	request *request
	send    *exchange
}

// key names the request over all its tries.
func (q *request) key() quarantine.Key {
	return quarantine.Identity{Method: q.template.Method, Host: q.template.Host, Target: q.template.Target, Caller: q.caller.String(), Body: q.template.Body}.Key()
}

// maxEndedRequests bounds the requests that the line on an ended replica names: a replica that runs more
// has very many slots.
const maxEndedRequests = 16

// endedRequest is a request that was in work at a replica that ended, as the log names it.
type endedRequest struct {
	ID     string `json:"id"`
	Key    string `json:"key"`
	Caller string `json:"caller"`
	Route  string `json:"route"`
}

// replicaEnded takes that a replica has ended, with the sends that were in work there.
func (n *Node) replicaEnded(life replica.Incarnation, requests []*replicaconn.Request) {
	var named []endedRequest
	fields := decisionlog.Fields{"replica": life.ID, "born": life.Born, "in_work": len(requests)}
	for _, one := range requests[:min(len(requests), maxEndedRequests)] {
		work, ok := one.Work.(inWork)
		if !ok {
			continue
		}
		q := work.request
		fields["service"] = work.send.send.Replica.Service
		named = append(named, endedRequest{ID: q.id, Key: q.key().String(), Caller: q.caller.String(), Route: q.route.Name})
	}
	fields["requests"] = named
	n.metrics.replicaEnded()
	n.log.Life("replica_ended", fields)
}
