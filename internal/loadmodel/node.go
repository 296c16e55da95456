package loadmodel

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/comeback"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// One-way delays between processes of the same and of different data centres, as in production
// deployments, and the time for which the exchange of a withdrawn send may continue.
const (
	localDelay             = 100 * time.Microsecond
	remoteDelay            = 900 * time.Microsecond
	withdrawnExchangeLimit = 250 * time.Millisecond
	// replyTransitTime is the time that a node reserves for its answer to reach the caller.
	replyTransitTime = 9 * time.Millisecond
)

// The bound on extra sends that nodes use, as the edge derives it from that of production
// deployments. The allowance is divided among the nodes.
const (
	extraWindow    = 10 * time.Second
	extraRatio     = 0.17
	extraAllowance = 23.0
)

// node is one node of the forwarding tier. It uses the production code for its decisions.
type node struct {
	simulation *simulation
	dataCentre DataCentre
	outlook    *outlook.Outlook
	pools      map[*upstream]*pool
	places     map[*upstream]*places
	// id names the node among those that share the places at replicas; ended is set once it has ended.
	id    core.NodeID
	ended bool
	// inFlight counts the requests in flight by replica, held are the requests that wait for a replica.
	inFlight map[*upstream]int
	held     []func()
}

// pool holds a node's connections to a replica. A send holds a connection until its exchange ends.
type pool struct {
	free    int
	waiting []*transfer
}

func newNode(s *simulation, dataCentre DataCentre) *node {
	bound := extra.Bound{Window: extraWindow, Ratio: extraRatio, Allowance: extraAllowance / float64(s.nodeCount())}
	if s.options.without(ExtraSendBound) {
		bound.Ratio, bound.Allowance = 1000, 1000
	}
	n := &node{simulation: s, dataCentre: dataCentre, id: nodeID(dataCentre.Name, len(s.nodes)), places: map[*upstream]*places{}, outlook: outlook.New(dataCentre.Name, nil, bound, s.random.Float64), pools: map[*upstream]*pool{}, inFlight: map[*upstream]int{}}
	n.outlook.Replicas.Pauses.Disabled = s.options.without(Pauses)
	for _, u := range s.upstreams {
		n.outlook.Replicas.Put(u.replica)
		n.pools[u] = &pool{free: s.connections(dataCentre.Name, u.replica.DataCentre)}
	}
	return n
}

// request is one attempt of a caller's request at a node.
type request struct {
	node         *node
	kind         Kind
	route        *policy.Route
	machine      *scatter.Machine
	plan         scatter.Plan
	arrived      core.Time
	transfers    []*transfer
	finished     bool
	wakeSequence int
	done         func(scatter.Result)
}

// transfer is one send with its state.
type transfer struct {
	request *request
	send    scatter.Send
	to      *upstream
	// via is the node whose connection it uses; it may be in the replica's data centre.
	via   *node
	delay time.Duration
	began core.Time
	// placeID is the send's claim to a place, place its place while placed is set.
	placeID uint64
	place   placement.Place
	placed  bool
	// placedAt is when the send got its place.
	placedAt core.Time
	// ahead is the number of claims that went first when there was no place.
	ahead     int
	connected bool
	job       *job
	withdrawn bool
	ended     bool
}

// handleRequest plans a request and begins its state machine.
func (n *node) handleRequest(c *callerRequest, remaining time.Duration, done func(scatter.Result)) {
	kind := c.kind
	route := n.simulation.route(kind)
	now := n.simulation.clock.now
	plan := n.outlook.Plan(outlook.Request{Route: route, Services: n.outlook.Services(route, now), Arrived: now, MaxWait: remaining, RemainingTime: remaining, TransitTime: replyTransitTime, Key: func() comeback.Key { return c.key }, Caller: c.address()})
	n.simulation.options.apply(&plan)
	q := &request{node: n, kind: kind, route: route, plan: plan, arrived: now, done: done}
	var chooser scatter.Chooser = withoutExpectations{Chooser: n.outlook.Chooser(route), early: n.simulation.options.without(EarlyRejection), hedges: n.simulation.options.without(SelectiveHedges)}
	if n.simulation.options.Oracle || n.simulation.options.OracleOfSpeeds {
		chooser = oracle{Chooser: chooser, node: n, meanWork: kind.MeanWork, speedsOnly: n.simulation.options.OracleOfSpeeds}
	}
	q.machine = scatter.New(plan, chooser)
	if kind.Once && n.isFull() {
		n.held = append(n.held, func() { q.step(scatter.Begin{}) })
		return
	}
	q.step(scatter.Begin{})
}

func (q *request) step(event scatter.Event) {
	if q.finished {
		return
	}
	s := q.node.simulation
	for _, action := range slices.Clone(q.machine.Step(s.clock.now, event)) {
		switch a := action.(type) {
		case scatter.Send:
			q.send(a)
		case scatter.CancelSend:
			q.transfers[a.ID].withdraw()
		case scatter.SendOverdue:
			overdue := q.transfers[a.Send]
			if !s.options.without(OverdueMarks) {
				q.node.outlook.Replicas.Overdue(overdue.send.Replica.Incarnation(), s.clock.now)
			}
		case scatter.Wake:
			q.wakeSequence++
			sequence := q.wakeSequence
			s.clock.at(a.At, func() {
				if sequence == q.wakeSequence {
					q.step(scatter.Tick{})
				}
			})
		case scatter.Finish:
			q.finished = true
			q.countRejection(a.Result)
			q.done(a.Result)
		}
	}
}

// countRejection counts an early rejection, and as wrong if the replicas could have served the request in time.
func (q *request) countRejection(result scatter.Result) {
	if !result.Rejected {
		return
	}
	s := q.node.simulation
	s.report.Rejected++
	inTime := 0
	for _, service := range q.plan.Services {
		if slices.ContainsFunc(s.byService[service], func(u *upstream) bool {
			return s.clock.now+u.completionDelay(s.clock.now, q.kind.MeanWork) <= q.plan.Admission.TargetAt
		}) {
			inTime++
		}
	}
	if inTime >= q.plan.MinParts {
		s.report.WronglyRejected++
	}
}

// send acquires a connection for a send. A send to another data centre may use a connection of a node there.
func (q *request) send(a scatter.Send) {
	n := q.node
	t := &transfer{request: q, send: a, to: n.simulation.byID[a.Replica.ID], via: n, delay: localDelay, began: n.simulation.clock.now}
	q.transfers = append(q.transfers, t)
	if a.Remote {
		t.delay = remoteDelay
		if helper := n.simulation.helper(a.Replica.DataCentre); helper != nil && n.usesHelper(a.Cause) {
			t.via = helper
		}
	}
	n.outlook.Replicas.Sent(a.Replica.Incarnation(), n.simulation.clock.now)
	n.inFlight[t.to]++
	t.acquirePlace()
}

// usesHelper reports whether a send to another data centre goes through a node there. Without places only first sends do, as in
// the model that earlier figures rest on.
func (n *node) usesHelper(cause scatter.Cause) bool {
	return cause == scatter.First || cause == scatter.Hedge && !n.simulation.options.without(Places)
}

// acquireConnection takes a connection for a send that has a place, or waits for one.
func (t *transfer) acquireConnection() {
	if t.ended {
		return
	}
	p := t.via.pools[t.to]
	if p.free > 0 {
		p.free--
		t.transmit()
		return
	}
	p.waiting = append(p.waiting, t)
}

// transmit sends the request on an acquired connection.
func (t *transfer) transmit() {
	s := t.request.node.simulation
	t.connected = true
	s.clock.after(t.delay, func() {
		t.job = &job{work: s.drawWork(t.request.kind), end: func(verdict scatter.Verdict) {
			s.clock.after(t.delay, func() { t.end(verdict) })
		}}
		s.report.Arrivals++
		if t.send.Cause == scatter.Hedge {
			s.report.Hedges++
		}
		t.to.arrive(t.job)
	})
}

// end handles the end of an exchange: it releases the connection and records the result.
func (t *transfer) end(verdict scatter.Verdict) {
	if t.ended {
		return
	}
	t.ended = true
	t.release()
	t.releasePlace(verdict)
	q, s := t.request, t.request.node.simulation
	incarnation, now := t.send.Replica.Incarnation(), s.clock.now
	took := now - max(t.began, t.placedAt)
	if t.via != q.node {
		t.shareObservations(took, verdict)
	}
	if t.withdrawn {
		if verdict == scatter.Succeeded {
			q.node.outlook.AnsweredLate(q.route, incarnation, took, now)
		}
		return
	}
	replicas := q.node.outlook.Replicas
	replicas.Ended(incarnation)
	switch verdict {
	case scatter.Succeeded:
		if s.options.without(Slowness) {
			took = min(took, q.kind.MeanWork)
		}
		q.node.outlook.Answered(q.route, incarnation, took, now)
	case scatter.Refused:
		s.report.RefusedArrivals++
		if !s.options.without(Refusals) {
			replicas.Refused(incarnation, now)
		}
	case scatter.Failed:
		if !s.options.without(Failures) {
			replicas.Failed(incarnation, now)
		}
	case scatter.NoPlace:
		replicas.NoPlace(incarnation, t.ahead, now)
	case scatter.Unreached:
		if !s.options.without(Failures) {
			replicas.Unreached(incarnation, now)
		}
	}
	q.step(scatter.SendEnded{Send: t.send.ID, Verdict: verdict})
	q.node.countEnd(t.to)
}

// shareObservations records an answer at the node that sent the request, and passes that node's
// observation of the replica's pauses to the node of the caller's request.
func (t *transfer) shareObservations(took time.Duration, verdict scatter.Verdict) {
	q, incarnation, now := t.request, t.send.Replica.Incarnation(), t.request.node.simulation.clock.now
	if verdict == scatter.Succeeded {
		t.via.outlook.AnsweredLate(q.route, incarnation, took-2*(remoteDelay-localDelay), now)
	}
	if age, known := t.via.outlook.Replicas.PauseAge(incarnation, now); known {
		q.node.outlook.Replicas.ReceivePause(incarnation, age, now)
	}
}

// withdraw cancels a send. A send that waits for a connection leaves the queue; an exchange in
// progress may continue for withdrawnExchangeLimit.
func (t *transfer) withdraw() {
	if t.ended || t.withdrawn {
		return
	}
	t.withdrawn = true
	n := t.request.node
	n.outlook.Replicas.Ended(t.send.Replica.Incarnation())
	if t.leavePlace() {
		t.ended = true
		return
	}
	p := t.via.pools[t.to]
	if i := slices.Index(p.waiting, t); i >= 0 || !t.connected {
		if i >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
		}
		t.ended = true
		t.releasePlace(scatter.Unreached)
		return
	}
	n.simulation.clock.after(withdrawnExchangeLimit, func() {
		if t.ended {
			return
		}
		t.ended = true
		if t.job != nil {
			t.to.cancel(t.job)
		}
		t.release()
		t.releasePlace(scatter.Failed)
	})
}

// release passes the connection to the next waiting send, or frees it.
func (t *transfer) release() {
	if !t.connected {
		return
	}
	t.connected = false
	p := t.via.pools[t.to]
	if len(p.waiting) == 0 {
		p.free++
		return
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	next.transmit()
}

// withoutExpectations removes the expected state of replicas from choices: for early rejections, or for hedges.
type withoutExpectations struct {
	scatter.Chooser
	early, hedges bool
}

// Pick implements scatter.Chooser.
func (u withoutExpectations) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	choice, ok := u.Chooser.Pick(service, tried, now)
	if u.early {
		choice.Busy, choice.Unreachable = false, false
	}
	if u.hedges && len(tried) > 0 {
		choice.ExpectedLatency = 0
	}
	return choice, ok
}
