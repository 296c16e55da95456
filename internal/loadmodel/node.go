package loadmodel

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// One way between processes, as the users' deployments have it, and how long the exchange of a
// send that is not wanted any more may go on.
const (
	nearWay = 100 * time.Microsecond
	farWay  = 900 * time.Microsecond
	linger  = 250 * time.Millisecond
	// onTheWay is what a node leaves for its answer to reach the caller.
	onTheWay = 9 * time.Millisecond
)

// Bound on extra arrivals, and what of it nodes use, as the edge divides that of the users'
// deployments.
const (
	extraWindow    = 10 * time.Second
	extraRatio     = 0.17
	extraAllowance = 23.0
)

// node is one node of the tier, with the product's own decisions.
type node struct {
	world   *world
	place   Place
	outlook *outlook.Outlook
	pools   map[*upstream]*pool
}

// pool is a node's connections to a replica. A send holds one until its exchange ends.
type pool struct {
	free    int
	waiting []*transfer
}

func newNode(w *world, place Place) *node {
	bound := extra.Bound{Window: extraWindow, Ratio: extraRatio, Allowance: extraAllowance / float64(w.nodeCount())}
	if w.options.without(Extra) {
		bound.Ratio, bound.Allowance = 1000, 1000
	}
	n := &node{world: w, place: place, outlook: outlook.New(place.Name, nil, bound, w.random.Float64), pools: map[*upstream]*pool{}}
	n.outlook.Replicas.Pauses.Disabled = w.options.without(Pauses)
	for _, u := range w.upstreams {
		n.outlook.Replicas.Put(u.entry)
		n.pools[u] = &pool{free: w.connections(place.Name, u.entry.DataCentre)}
	}
	return n
}

// request is one caller's request at a node.
type request struct {
	node      *node
	kind      Kind
	route     *policy.Route
	machine   *scatter.Machine
	plan      scatter.Plan
	transfers []*transfer
	over      bool
	ticks     int
	done      func(scatter.Result)
}

// transfer is one send and where it is.
type transfer struct {
	request *request
	send    scatter.Send
	to      *upstream
	// via is the node whose connection it uses.
	via       *node
	way       time.Duration
	began     core.Time
	job       *job
	withdrawn bool
	ended     bool
}

// ask takes a request.
func (n *node) ask(kind Kind, left time.Duration, done func(scatter.Result)) {
	route := n.world.route(kind)
	now := n.world.clock.now
	plan := n.outlook.Plan(outlook.Request{Route: route, Services: n.outlook.Services(route, now), Arrived: now, MaxWait: left, RemainingTime: left, TransitTime: onTheWay})
	n.world.options.change(&plan)
	q := &request{node: n, kind: kind, route: route, plan: plan, done: done}
	var chooser scatter.Chooser = unexpecting{Chooser: n.outlook.Chooser(route), early: n.world.options.without(Early), reach: n.world.options.without(Reach)}
	if n.world.options.Oracle {
		chooser = oracle{Chooser: chooser, node: n, usual: kind.Work}
	}
	q.machine = scatter.New(plan, chooser)
	q.step(scatter.Begin{})
}

func (q *request) step(event scatter.Event) {
	if q.over {
		return
	}
	w := q.node.world
	for _, action := range slices.Clone(q.machine.Step(w.clock.now, event)) {
		switch a := action.(type) {
		case scatter.Send:
			q.send(a)
		case scatter.CancelSend:
			q.transfers[a.ID].withdraw()
		case scatter.SendOverdue:
			one := q.transfers[a.Send]
			if !w.options.without(Overdue) {
				q.node.outlook.Replicas.Overdue(one.send.Replica.Incarnation(), w.clock.now)
			}
		case scatter.Wake:
			q.ticks++
			turn := q.ticks
			w.clock.at(a.At, func() {
				if turn == q.ticks {
					q.step(scatter.Tick{})
				}
			})
		case scatter.Finish:
			q.over = true
			q.countRejection(a.Result)
			q.done(a.Result)
		}
	}
}

// countRejection compares an early rejection with what the replicas could do.
func (q *request) countRejection(result scatter.Result) {
	if !result.Rejected {
		return
	}
	w := q.node.world
	w.report.Rejected++
	inTime := 0
	for _, service := range q.plan.Services {
		if slices.ContainsFunc(w.byService[service], func(u *upstream) bool { return u.wait(w.clock.now, q.kind.Work) <= q.plan.TargetLatency }) {
			inTime++
		}
	}
	if inTime >= q.plan.MinParts {
		w.report.WronglyRejected++
	}
}

// send gets a connection for a send: a first one to another data centre uses one of a node there.
func (q *request) send(a scatter.Send) {
	n := q.node
	one := &transfer{request: q, send: a, to: n.world.byID[a.Replica.ID], via: n, way: nearWay, began: n.world.clock.now}
	q.transfers = append(q.transfers, one)
	if a.Remote {
		one.way = farWay
		if helper := n.world.helper(a.Replica.DataCentre); helper != nil && a.Cause == scatter.First {
			one.via = helper
		}
	}
	n.outlook.Replicas.Sent(a.Replica.Incarnation(), n.world.clock.now)
	p := one.via.pools[one.to]
	if p.free > 0 {
		p.free--
		one.transmit()
		return
	}
	p.waiting = append(p.waiting, one)
}

// transmit sends on a connection.
func (t *transfer) transmit() {
	w := t.request.node.world
	w.clock.after(t.way, func() {
		t.job = &job{work: w.work(t.request.kind), end: func(verdict scatter.Verdict) {
			w.clock.after(t.way, func() { t.end(verdict) })
		}}
		w.report.Arrivals++
		if t.send.Cause == scatter.Hedge {
			w.report.Hedges++
		}
		t.to.arrive(t.job)
	})
}

// end takes the end of an exchange: its connection is free, and the node learns.
func (t *transfer) end(verdict scatter.Verdict) {
	if t.ended {
		return
	}
	t.ended = true
	t.release()
	q, w := t.request, t.request.node.world
	life, now := t.send.Replica.Incarnation(), w.clock.now
	took := now - t.began
	if t.via != q.node {
		t.tell(took, verdict)
	}
	if t.withdrawn {
		if verdict == scatter.Succeeded {
			q.node.outlook.AnsweredLate(q.route, life, took, now)
		}
		return
	}
	book := q.node.outlook.Replicas
	book.Ended(life)
	switch verdict {
	case scatter.Succeeded:
		if w.options.without(Slowness) {
			took = min(took, q.kind.Work)
		}
		q.node.outlook.Answered(q.route, life, took, now)
	case scatter.Refused:
		if !w.options.without(Refusals) {
			book.Refused(life, now)
		}
	case scatter.Failed:
		if !w.options.without(Failures) {
			book.Failed(life, now)
		}
	case scatter.Unreached:
		if !w.options.without(Failures) {
			book.Unreached(life, now)
		}
	}
	q.step(scatter.SendEnded{Send: t.send.ID, Verdict: verdict})
}

// tell lets the node that sent learn from an answer, and the one that asked it from what that one
// knows of the replica's pauses.
func (t *transfer) tell(took time.Duration, verdict scatter.Verdict) {
	q, life, now := t.request, t.send.Replica.Incarnation(), t.request.node.world.clock.now
	if verdict == scatter.Succeeded {
		t.via.outlook.AnsweredLate(q.route, life, took-2*(farWay-nearWay), now)
	}
	if age, known := t.via.outlook.Replicas.PauseAge(life, now); known {
		q.node.outlook.Replicas.ReceivePause(life, age, now)
	}
}

// withdraw ends a send whose answer is not wanted: one that waits leaves, another one may go on
// for a moment.
func (t *transfer) withdraw() {
	if t.ended || t.withdrawn {
		return
	}
	t.withdrawn = true
	n := t.request.node
	n.outlook.Replicas.Ended(t.send.Replica.Incarnation())
	p := t.via.pools[t.to]
	if i := slices.Index(p.waiting, t); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		t.ended = true
		return
	}
	n.world.clock.after(linger, func() {
		if t.ended {
			return
		}
		t.ended = true
		if t.job != nil {
			t.to.drop(t.job)
		}
		t.release()
	})
}

// release hands the connection to the next send that waits for it.
func (t *transfer) release() {
	p := t.via.pools[t.to]
	if len(p.waiting) == 0 {
		p.free++
		return
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	next.transmit()
}

// unexpecting leaves out what is expected of replicas: for early rejections, or for hedges.
type unexpecting struct {
	scatter.Chooser
	early, reach bool
}

// Pick implements scatter.Chooser.
func (u unexpecting) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	choice, ok := u.Chooser.Pick(service, tried, now)
	if u.early {
		choice.Busy, choice.Unreachable = false, false
	}
	if u.reach && len(tried) > 0 {
		choice.ExpectedLatency = 0
	}
	return choice, ok
}

// refusalRounds is how many usual works a replica that refuses everything counts as further away.
const refusalRounds = 5

// oracle chooses by what the replicas really do: a yardstick, not a policy.
type oracle struct {
	scatter.Chooser
	node  *node
	usual time.Duration
}

// Pick implements scatter.Chooser.
func (o oracle) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	var best *upstream
	bestWait := time.Duration(0)
	for _, u := range o.node.world.byService[service] {
		if slices.Contains(tried, u.entry.ID) || u.down {
			continue
		}
		wait := u.wait(now, o.usual) + time.Duration(u.refuses*refusalRounds)*o.usual
		if u.entry.DataCentre != o.node.place.Name {
			wait += 2 * farWay
		}
		if best == nil || wait < bestWait {
			best, bestWait = u, wait
		}
	}
	if best == nil {
		return replica.Choice{}, false
	}
	return replica.Choice{Replica: best.entry, Remote: best.entry.DataCentre != o.node.place.Name, ExpectedLatency: bestWait, Busy: true}, true
}
