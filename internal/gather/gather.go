// Package gather collects the problems of all nodes through one of them.
package gather

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

const (
	// batchSize is the number of peers requested at once. Their connections are
	// closed before the next batch, so that the memory for a collection does not
	// grow with the fleet.
	batchSize = 16
	// batchTimeout limits the wait for the replies of a batch.
	batchTimeout = 3 * time.Second
	retryAfter   = time.Second
)

// Collector collects the problems of all nodes. It runs one collection at a time.
type Collector struct {
	Self peer.Identity
	TLS  *tls.Config
	// Nodes returns the known nodes, including those that may not answer.
	Nodes    func() []route.Node
	Problems *observe.Problems
	// Now reads the node's monotonic clock.
	Now func() core.Time
	// busy is locked during a collection.
	busy sync.Mutex
}

// Local lists this node's problems.
func (g *Collector) Local() api.NodeProblems {
	now := g.Now()
	own := api.NodeProblems{Node: g.Self.Node, Problems: []api.Problem{}}
	for _, problem := range g.Problems.List() {
		own.Problems = append(own.Problems, api.Problem{
			Kind:       string(problem.Kind),
			Subject:    problem.Subject,
			Detail:     problem.Detail,
			FirstAgeMs: (now - problem.First).Milliseconds(),
			LastAgeMs:  (now - problem.Last).Milliseconds(),
			Count:      uint64(problem.Count),
		})
	}
	return own
}

// HandleRequest replies to a ProblemsRequest of a peer.
func (g *Collector) HandleRequest(inbound *peer.Inbound) {
	local := g.Local()
	reply := &peerpb.ProblemsReply{Node: string(local.Node)}
	for _, problem := range local.Problems {
		reply.Problems = append(reply.Problems, &peerpb.Problem{
			Kind:       problem.Kind,
			Subject:    problem.Subject,
			Detail:     problem.Detail,
			FirstAgeMs: uint64(problem.FirstAgeMs),
			LastAgeMs:  uint64(problem.LastAgeMs),
			Count:      problem.Count,
		})
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_ProblemsReply{ProblemsReply: reply}}, true)
}

// FleetProblems collects the problems of every node that Nodes returns. The report
// names the nodes that did not answer, because their problems are unknown.
func (g *Collector) FleetProblems(ctx context.Context) (api.ProblemsReport, error) {
	if !g.busy.TryLock() {
		return api.ProblemsReport{}, errBusy()
	}
	defer g.busy.Unlock()
	report := api.ProblemsReport{Nodes: []api.NodeProblems{g.Local()}}
	var peers []route.Node
	for _, node := range g.Nodes() {
		if node.ID != g.Self.Node {
			peers = append(peers, node)
		}
	}
	for start := 0; start < len(peers); start += batchSize {
		if err := g.requestBatch(ctx, peers[start:min(start+batchSize, len(peers))], &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

func errBusy() error {
	return &fault.Error{
		Code:       fault.CodeOverloaded,
		Outcome:    core.NotRun,
		Message:    "a collection of problems is already running on this node",
		Fix:        "retry later or request the report from another node",
		RetryAfter: retryAfter,
	}
}

// result is a peer's reply, or the reason why there is none.
type result struct {
	reply  *peerpb.ProblemsReply
	reason string
}

func (g *Collector) requestBatch(ctx context.Context, nodes []route.Node, report *api.ProblemsReport) error {
	pool, err := peer.NewPool(g.TLS, g.Self, peer.HandlerFunc(g.HandleRequest))
	if err != nil {
		return err
	}
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	results := make([]chan result, len(nodes))
	for i, node := range nodes {
		results[i] = make(chan result, 1)
		requestProblems(pool, node, results[i])
	}
	for i, node := range nodes {
		select {
		case received := <-results[i]:
			addResult(report, node.ID, received)
		case <-ctx.Done():
			addResult(report, node.ID, result{reason: "no reply within the time limit"})
		}
	}
	return nil
}

func requestProblems(pool *peer.Pool, node route.Node, out chan<- result) {
	request := &peerpb.Envelope{Body: &peerpb.Envelope_ProblemsRequest{ProblemsRequest: &peerpb.ProblemsRequest{}}}
	pool.Send(peer.Target{Node: node.ID, Address: node.PeerAddress}, request, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		received := result{reply: reply.GetProblemsReply()}
		switch {
		case failure != nil:
			received.reason = failure.Error()
		case received.reply == nil:
			received.reason = "the node does not support requests for problems"
		}
		select {
		case out <- received:
		default:
		}
	})
}

func addResult(report *api.ProblemsReport, node core.NodeID, received result) {
	if received.reason != "" {
		report.NoAnswer = append(report.NoAnswer, api.NoAnswer{Node: node, Why: received.reason})
		return
	}
	list := api.NodeProblems{Node: node, Problems: []api.Problem{}}
	for _, problem := range received.reply.GetProblems() {
		list.Problems = append(list.Problems, api.Problem{
			Kind:       problem.GetKind(),
			Subject:    problem.GetSubject(),
			Detail:     problem.GetDetail(),
			FirstAgeMs: int64(problem.GetFirstAgeMs()),
			LastAgeMs:  int64(problem.GetLastAgeMs()),
			Count:      problem.GetCount(),
		})
	}
	report.Nodes = append(report.Nodes, list)
}
