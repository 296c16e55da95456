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
	// batch is how many peers are asked at once. Their connections are closed
	// before the next batch, so that a gathering in a fleet of any size holds
	// the memory of one batch.
	batch = 16
	// answerTimeout is how long a peer may take.
	answerTimeout = 3 * time.Second
	retryPause    = time.Second
)

// Collector asks peers for their problems. It runs one gathering at a time.
type Collector struct {
	Self peer.Identity
	TLS  *tls.Config
	// Nodes lists whom to ask, also those that may not answer.
	Nodes    func() []route.Node
	Problems *observe.Problems
	// Now reads the node's monotonic clock.
	Now func() core.Time
	// busy is held by the gathering under way.
	busy sync.Mutex
}

// Local lists this node's problems.
func (g *Collector) Local() api.NodeProblems {
	now := g.Now()
	own := api.NodeProblems{Node: g.Self.Node, Problems: []api.Problem{}}
	for _, one := range g.Problems.List() {
		own.Problems = append(own.Problems, api.Problem{
			Kind:       string(one.Kind),
			Subject:    one.Subject,
			Detail:     one.Detail,
			FirstAgeMs: (now - one.First).Milliseconds(),
			LastAgeMs:  (now - one.Last).Milliseconds(),
			Count:      uint64(one.Count),
		})
	}
	return own
}

// HandleRequest replies to a peer's ProblemsRequest.
func (g *Collector) HandleRequest(inbound *peer.Inbound) {
	own := g.Local()
	reply := &peerpb.ProblemsReply{Node: string(own.Node)}
	for _, one := range own.Problems {
		reply.Problems = append(reply.Problems, &peerpb.Problem{
			Kind:       one.Kind,
			Subject:    one.Subject,
			Detail:     one.Detail,
			FirstAgeMs: uint64(one.FirstAgeMs),
			LastAgeMs:  uint64(one.LastAgeMs),
			Count:      one.Count,
		})
	}
	inbound.Reply(&peerpb.Envelope{Body: &peerpb.Envelope_ProblemsReply{ProblemsReply: reply}}, true)
}

// FleetProblems asks every node that Nodes lists. A node that does not answer is listed
// as such: it may have any problem.
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
	for start := 0; start < len(peers); start += batch {
		if err := g.askBatch(ctx, peers[start:min(start+batch, len(peers))], &report); err != nil {
			return report, err
		}
	}
	return report, nil
}

func errBusy() error {
	return &fault.Error{
		Code:       fault.CodeOverloaded,
		Outcome:    core.NotRun,
		Message:    "a gathering is under way on this node",
		Fix:        "come back later or ask another node",
		RetryAfter: retryPause,
	}
}

// answer is one peer's reply, or why there is none.
type answer struct {
	reply *peerpb.ProblemsReply
	why   string
}

func (g *Collector) askBatch(ctx context.Context, nodes []route.Node, report *api.ProblemsReport) error {
	pool, err := peer.NewPool(g.TLS, g.Self, peer.HandlerFunc(g.HandleRequest))
	if err != nil {
		return err
	}
	defer func() { _ = pool.Close() }()
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answers := make([]chan answer, len(nodes))
	for i, node := range nodes {
		answers[i] = make(chan answer, 1)
		ask(pool, node, answers[i])
	}
	for i, node := range nodes {
		select {
		case got := <-answers[i]:
			add(report, node.ID, got)
		case <-ctx.Done():
			add(report, node.ID, answer{why: "no answer in time"})
		}
	}
	return nil
}

func ask(pool *peer.Pool, node route.Node, out chan<- answer) {
	request := &peerpb.Envelope{Body: &peerpb.Envelope_ProblemsRequest{ProblemsRequest: &peerpb.ProblemsRequest{}}}
	pool.Ask(peer.Target{Node: node.ID, Address: node.PeerAddress}, request, func(reply *peerpb.Envelope, failure *peer.LinkError) {
		got := answer{reply: reply.GetProblemsReply()}
		switch {
		case failure != nil:
			got.why = failure.Error()
		case got.reply == nil:
			got.why = "the node does not know the question"
		}
		select {
		case out <- got:
		default:
		}
	})
}

func add(report *api.ProblemsReport, node core.NodeID, got answer) {
	if got.why != "" {
		report.NoAnswer = append(report.NoAnswer, api.NoAnswer{Node: node, Why: got.why})
		return
	}
	list := api.NodeProblems{Node: node, Problems: []api.Problem{}}
	for _, one := range got.reply.GetProblems() {
		list.Problems = append(list.Problems, api.Problem{
			Kind:       one.GetKind(),
			Subject:    one.GetSubject(),
			Detail:     one.GetDetail(),
			FirstAgeMs: int64(one.GetFirstAgeMs()),
			LastAgeMs:  int64(one.GetLastAgeMs()),
			Count:      one.GetCount(),
		})
	}
	report.Nodes = append(report.Nodes, list)
}
