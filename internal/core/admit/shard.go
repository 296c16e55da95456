package admit

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/latency"
)

const (
	// maxTries bounds the upstream requests for one request, of all kinds.
	maxTries = 3
	// maxIdle bounds the customers remembered without a waiting request.
	maxIdle = 64
	// lastHedge is the part of the time left that a try runs alone at most. When
	// more tries go silent than hedgeQuantile leaves out, they are learnt as long
	// as their deadlines, and a hedge at that quantile would come too late for
	// every request.
	lastHedge = 2
	// hedgeQuantile is the learnt latency after which a second replica is
	// asked: of the first tries, one in twenty gets there.
	hedgeQuantile = 0.95
	// quickQuantile is the latency that a request needs at least: with less
	// time left it cannot make its deadline.
	quickQuantile  = 0.05
	slowQuantile   = 0.95
	medianQuantile = 0.5
	// meanGain is the weight of a new sample in the mean service time.
	meanGain  = 0.05
	leastWait = time.Millisecond
	// textPause is the advice while only another text or the end of a drain can
	// bring a replica. It is longer than most questions last, so that they answer
	// without the shard at once rather than ask for it in vain.
	textPause = 5 * time.Second
)

// Shard is the state of one shard's queue. It is not safe for concurrent use.
type Shard struct {
	config   Config
	replicas []*replica
	queue    fairQueue
	// returned are requests to be tried again, oldest first. They have paid for
	// their turn and go before the queue.
	returned []*request
	requests map[RequestID]*request
	running  map[TryID]*try
	// deadlines orders the requests that wait or are returned.
	deadlines indexedHeap[*request]
	hedges    indexedHeap[*try]
	// overdue are the tries whose hedge waits for a slot or the budget.
	overdue []*try
	service *latency.Histogram
	// mean is the smoothed service time in nanoseconds; 0 is not known.
	mean    float64
	nextTry TryID
	wake    core.Time
	actions []Action
}

// request is one offered request until its end.
type request struct {
	Offered
	flow           *flow
	previous, next *request
	deadlinePlace  int
	tries          int
	// next try's kind, once it is returned.
	kind Kind
	// live are the running tries, at most two.
	live []*try
	// avoid are the replicas that this request is not sent to again.
	avoid []*replica
	// shedBy is the replica that shed it last; it is asked again only when no
	// other one is free.
	shedBy *replica
	// best is the try whose result is reported when no other is better.
	best        TryID
	bestOutcome core.Outcome
	ended       bool
}

// try is one upstream request until its end.
type try struct {
	id         TryID
	request    *request
	replica    *replica
	started    core.Time
	hedgeAt    core.Time
	hedgePlace int
	// inFlight is the replica's count with this try, when it was sent.
	inFlight int
	aborted  bool
}

// NewShard makes an idle shard.
func NewShard(config Config) *Shard {
	shard := &Shard{
		queue:     newFairQueue(),
		requests:  map[RequestID]*request{},
		running:   map[TryID]*try{},
		deadlines: indexedHeap[*request]{before: dueBefore, place: func(r *request) *int { return &r.deadlinePlace }},
		hedges:    indexedHeap[*try]{before: hedgedBefore, place: func(t *try) *int { return &t.hedgePlace }},
	}
	shard.configure(0, config)
	return shard
}

func dueBefore(a, b *request) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}

func hedgedBefore(a, b *try) bool {
	if a.hedgeAt != b.hedgeAt {
		return a.hedgeAt < b.hedgeAt
	}
	return a.id < b.id
}

// Step takes one event and returns what to do. The slice is valid until the
// next Step.
func (s *Shard) Step(now core.Time, event Event) []Action {
	s.actions = s.actions[:0]
	s.endHolds(now)
	switch e := event.(type) {
	case Offered:
		s.offered(now, e)
	case Withdrawn:
		s.withdrawn(e)
	case TryEnded:
		s.tryEnded(now, e)
	case DrainSeen:
		s.seen(now, e.Address, eventDrainSeen)
	case ProbeSucceeded:
		s.seen(now, e.Address, eventProbed)
	case Reconfigured:
		s.configure(now, e.Config)
	}
	s.expire(now)
	s.dispatch(now)
	s.refuseUnserved(now)
	s.hedge(now)
	s.planWake(now)
	return s.actions
}

// Waiting is the number of requests that wait for a replica.
func (s *Shard) Waiting() int { return s.queue.waiting + len(s.returned) }

// Idle reports whether nothing waits or runs.
func (s *Shard) Idle() bool { return len(s.requests) == 0 && len(s.running) == 0 }

// configure takes over the text's replicas. One that is running work keeps its
// state, so that what it runs stays counted.
func (s *Shard) configure(now core.Time, config Config) {
	s.config = config
	if config.Latency != nil {
		s.service = config.Latency
	}
	if s.service == nil {
		s.service = &latency.Histogram{}
	}
	for _, existing := range s.replicas {
		existing.written = false
	}
	for _, written := range config.Replicas {
		s.write(now, written)
	}
	for _, existing := range s.replicas {
		if !existing.written {
			s.fire(existing, eventRemoved, incident{now: now})
		}
	}
	s.forgetGone()
}

// write takes over one replica as the text has it.
func (s *Shard) write(now core.Time, written ReplicaConfig) {
	r := s.replica(written.Address)
	if r == nil {
		r = &replica{}
		r.restart()
		s.replicas = append(s.replicas, r)
	}
	undrained := r.Draining && !written.Draining
	r.ReplicaConfig = written
	r.written = true
	r.remote = s.config.DataCentre != "" && written.DataCentre != s.config.DataCentre
	r.bounds(s.config.Slots, s.config.Share)
	s.fire(r, eventRestored, incident{now: now})
	switch {
	case written.Draining:
		s.fire(r, eventDrainSeen, incident{now: now})
	case undrained:
		s.fire(r, eventUndrained, incident{now: now})
	}
}

func (s *Shard) replica(address string) *replica {
	for _, r := range s.replicas {
		if r.Address == address {
			return r
		}
	}
	return nil
}

func (s *Shard) seen(now core.Time, address string, event chart.Event) {
	if r := s.replica(address); r != nil {
		s.fire(r, event, incident{now: now})
	}
}

// endHolds lets replicas whose drain the text does not confirm be probed again.
func (s *Shard) endHolds(now core.Time) {
	for _, r := range s.replicas {
		if r.state == stateDraining && !r.Draining && now-r.drainedAt >= drainHold {
			s.fire(r, eventHoldOver, incident{now: now})
		}
	}
}

func (s *Shard) forgetGone() {
	s.replicas = slices.DeleteFunc(s.replicas, func(r *replica) bool {
		forget := r.state == stateGone && r.inFlight == 0
		if forget {
			s.actions = append(s.actions, Forgotten{Address: r.Address})
		}
		return forget
	})
}

func (s *Shard) offered(now core.Time, e Offered) {
	if e.Deadline <= now {
		s.refuse(e.ID, core.ReasonDeadline, 0)
		return
	}
	if !s.serves(now, &e) {
		s.refuse(e.ID, core.ReasonNoReplica, s.untilProbe(now))
		return
	}
	r := &request{Offered: e}
	s.requests[e.ID] = r
	s.queue.push(r)
	s.deadlines.fix(r)
	if late := s.tooLate(now, r); late > 0 {
		s.drop(r, core.ReasonOverloaded, late)
		return
	}
	if s.queue.waiting > s.config.MaxQueue && s.choose(now, r) == nil {
		// The customer that fills the queue pays for it with its own newest
		// request, whichever request found the queue full.
		over := s.queue.furthestOver()
		s.drop(over, core.ReasonOverloaded, max(leastWait, s.queueWait(now, over)))
	}
}

// serves reports whether any replica may get the request, now or later.
func (s *Shard) serves(now core.Time, e *Offered) bool {
	for _, r := range s.replicas {
		if r.usable() || !e.Once && r.probeDue(now) {
			return true
		}
	}
	return false
}

// untilProbe is the time until some replica may get work again, for the advice
// when to come back.
func (s *Shard) untilProbe(now core.Time) time.Duration {
	least := time.Duration(0)
	for _, r := range s.replicas {
		at := core.Time(0)
		switch {
		case r.state == stateDown:
			at = r.probeAt
		case r.state == stateDraining && !r.Draining:
			at = r.drainedAt + drainHold
		default:
			continue
		}
		if wait := max(leastWait, at-now); least == 0 || wait < least {
			least = wait
		}
	}
	if least == 0 {
		return textPause
	}
	return least
}

// tooLate is by how much the request will miss its deadline, given the learnt
// service time and what is ahead of it; 0 when it can make it or that is not
// known.
func (s *Shard) tooLate(now core.Time, r *request) time.Duration {
	needs := s.quickest()
	if r.flow.length > 1 {
		needs = s.usual()
	}
	late := now + s.queueWait(now, r) + needs - r.Deadline
	if late <= 0 {
		return 0
	}
	return max(late, leastWait)
}

// queueWait is the expected time until a queued request is dispatched. While
// all replicas pause, each takes about one request a pause.
func (s *Shard) queueWait(now core.Time, r *request) time.Duration {
	capacity, pausing := 0, 0
	var soonest, pause time.Duration
	for _, candidate := range s.replicas {
		rest := candidate.pausedUntil - now
		switch {
		case !candidate.usable():
		case candidate.free(now):
			return 0
		case rest <= 0:
			capacity += candidate.slots()
		default:
			pausing++
			pause = max(pause, candidate.pause)
			if soonest == 0 || rest < soonest {
				soonest = rest
			}
		}
	}
	ahead := s.queue.ahead(r.flow) + float64(len(s.returned))
	switch {
	case capacity > 0:
		return max(time.Duration(ahead*s.mean/float64(capacity)), r.flow.wait())
	case pausing > 0:
		return soonest + time.Duration(ahead*float64(pause)/float64(pausing))
	default:
		return 0
	}
}

// drop takes a waiting request out and refuses it.
func (s *Shard) drop(r *request, reason core.Reason, retryAfter time.Duration) {
	s.unqueue(r)
	delete(s.requests, r.ID)
	s.refuse(r.ID, reason, retryAfter)
}

// unqueue takes a request out of whatever it waits in.
func (s *Shard) unqueue(r *request) {
	s.deadlines.remove(r)
	if r.flow != nil {
		s.queue.remove(r)
		return
	}
	if at := slices.Index(s.returned, r); at >= 0 {
		s.returned = slices.Delete(s.returned, at, at+1)
	}
}

func (s *Shard) withdrawn(e Withdrawn) {
	r := s.requests[e.ID]
	if r == nil {
		return
	}
	s.unqueue(r)
	s.end(r, nil)
}

// end closes a request and aborts its tries but the one given.
func (s *Shard) end(r *request, but *try) {
	r.ended = true
	delete(s.requests, r.ID)
	for _, t := range r.live {
		if t != but {
			t.aborted = true
			s.hedges.remove(t)
			s.actions = append(s.actions, Abort{Try: t.id})
		}
	}
}

func (s *Shard) tryEnded(now core.Time, e TryEnded) {
	t := s.running[e.Try]
	if t == nil {
		return
	}
	delete(s.running, e.Try)
	s.hedges.remove(t)
	s.observe(now, t, e)
	t.replica.inFlight--
	s.forgetGone()
	r := t.request
	r.live = slices.DeleteFunc(r.live, func(other *try) bool { return other == t })
	if r.ended {
		return
	}
	r.note(e)
	switch {
	case e.Outcome == core.Done:
		s.settle(r)
	case len(r.live) > 0:
		// The other try may still answer.
	case s.again(now, t, e):
		s.returned = append(s.returned, r)
		s.deadlines.fix(r)
	default:
		s.settle(r)
	}
}

// note keeps the result to report: done before unknown before not run. A
// request of which one try may have run is never reported as not run.
func (r *request) note(e TryEnded) {
	if r.best == 0 || strength(e.Outcome) >= strength(r.bestOutcome) {
		r.best, r.bestOutcome = e.Try, e.Outcome
	}
}

func strength(outcome core.Outcome) int {
	switch outcome {
	case core.Done:
		return 2
	case core.NotRun:
		return 0
	default:
		return 1
	}
}

func (s *Shard) settle(r *request) {
	s.end(r, nil)
	s.actions = append(s.actions, Settle{Request: r.ID, Try: r.best, Tries: r.tries})
}

// again decides whether the request is tried on another replica.
func (s *Shard) again(now core.Time, t *try, e TryEnded) bool {
	r := t.request
	if r.tries >= maxTries || now >= r.Deadline {
		return false
	}
	if !byReplica(e) {
		return false
	}
	if e.Reason == core.ReasonOverloaded {
		r.shedBy = t.replica
	} else {
		r.avoid = append(r.avoid, t.replica)
	}
	if !s.hasOther(r) {
		return false
	}
	if e.Outcome == core.NotRun {
		r.kind = KindRedispatch
		return true
	}
	r.kind = KindRetry
	return !r.Once && s.extra(r)
}

// byReplica reports whether another replica may do better. Other reasons are the
// request's own or this node's: no time left, nobody waiting, not the owner.
func byReplica(e TryEnded) bool {
	switch e.Reason {
	case core.ReasonOverloaded, core.ReasonDraining, core.ReasonVersionGone, core.ReasonUpstreamFailed, core.ReasonCrossedReply:
		return true
	}
	return false
}

// hasOther reports whether a usable replica is left for the request.
func (s *Shard) hasOther(r *request) bool {
	return slices.ContainsFunc(s.replicas, func(other *replica) bool {
		return other.usable() && !slices.Contains(r.avoid, other)
	})
}

// extra takes an extra try from the budget.
func (s *Shard) extra(r *request) bool {
	return s.config.Budget != nil && s.config.Budget.TryExtra(s.config.Service, r.Customer)
}

// expire ends the waiting requests that have no time left to be served.
func (s *Shard) expire(now core.Time) {
	for s.deadlines.len() > 0 {
		r := s.deadlines.first()
		if now < r.Deadline-s.quickest() {
			return
		}
		if r.tries > 0 {
			s.unqueue(r)
			s.settle(r)
			continue
		}
		wait := time.Duration(0)
		if now < r.Deadline {
			wait = max(leastWait, s.quickest()-(r.Deadline-now))
		}
		s.drop(r, core.ReasonDeadline, wait)
	}
}

// quickest is the time that a waiting request needs at least to be served. It
// is 0 while nothing runs: a service that was slow for a while would otherwise
// have all its requests refused for ever, since nothing new would be learnt.
func (s *Shard) quickest() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	quick, _ := s.service.Quantile(quickQuantile)
	return quick
}

// usual is the time in which most requests are served, by the rule of quickest.
func (s *Shard) usual() time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	usual, _ := s.service.Quantile(slowQuantile)
	return usual
}

// dropStale refuses the oldest request of a customer that has newer ones when
// it would probably end past its deadline. A customer over its share would
// otherwise have its slots spent on answers that nobody waits for.
func (s *Shard) dropStale(now core.Time) {
	for s.queue.waiting > 0 {
		r := s.queue.peek()
		late := now + s.usual() - r.Deadline
		if r.flow.length < 2 || late <= 0 {
			return
		}
		s.drop(r, core.ReasonOverloaded, max(leastWait, late))
	}
}

// dispatch uses every free slot that some waiting request may use.
func (s *Shard) dispatch(now core.Time) {
	for i := 0; i < len(s.returned); {
		r := s.returned[i]
		chosen := s.choose(now, r)
		switch {
		case chosen != nil:
			s.returned = slices.Delete(s.returned, i, i+1)
			s.send(now, r, chosen, r.kind)
		case !s.hasOther(r):
			s.unqueue(r)
			s.settle(r)
		default:
			i++
		}
	}
	for s.dropStale(now); s.queue.waiting > 0; s.dropStale(now) {
		chosen := s.choose(now, s.queue.peek())
		if chosen == nil {
			return
		}
		s.send(now, s.queue.pop(now), chosen, KindFirst)
	}
}

// choose returns the replica with the least expected wait that may get the
// request now, or nil. A down replica whose probe is due comes first: with the
// least expected wait it would never be asked again.
func (s *Shard) choose(now core.Time, r *request) *replica {
	var best *replica
	bestWait := 0.0
	for _, candidate := range s.replicas {
		if !r.Once && r.tries == 0 && candidate.probeDue(now) {
			return candidate
		}
		if !candidate.free(now) || slices.Contains(r.avoid, candidate) {
			continue
		}
		wait := candidate.expectedWait(now)
		if candidate == r.shedBy {
			wait += shedPenalty
		}
		if best == nil || wait < bestWait {
			best, bestWait = candidate, wait
		}
	}
	return best
}

func (s *Shard) send(now core.Time, r *request, chosen *replica, kind Kind) {
	s.deadlines.remove(r)
	s.nextTry++
	t := &try{id: s.nextTry, request: r, replica: chosen, started: now}
	r.tries++
	r.live = append(r.live, t)
	s.running[t.id] = t
	chosen.inFlight++
	t.inFlight = chosen.inFlight
	chosen.began(chosen.inFlight)
	if kind == KindFirst && s.config.Budget != nil {
		s.config.Budget.FirstTry(s.config.Service, r.Customer, 1)
	}
	if delay, known := s.hedgeDelay(chosen); known && kind != KindHedge && !r.Once {
		t.hedgeAt = now + min(delay, (r.Deadline-now)/lastHedge)
		s.hedges.fix(t)
	}
	s.actions = append(s.actions, Dispatch{Try: t.id, Request: r.ID, Address: chosen.Address, TimeLeft: r.Deadline - now, Kind: kind})
}

// hedgeDelay is how long a try runs alone: the service's hedgeQuantile, or its
// median on a replica that is usually slower than that.
func (s *Shard) hedgeDelay(chosen *replica) (time.Duration, bool) {
	delay, known := s.service.Quantile(hedgeQuantile)
	if known && chosen.latency > float64(delay) {
		return s.service.Quantile(medianQuantile)
	}
	return delay, known
}

// hedge sends a second try for the requests that have run longer than usual,
// in slots that no waiting request can use. One that finds no slot or no budget
// is looked at again at every step, so that it gets the next free slot.
func (s *Shard) hedge(now core.Time) {
	for s.hedges.len() > 0 && s.hedges.first().hedgeAt <= now {
		t := s.hedges.first()
		s.hedges.remove(t)
		s.overdue = append(s.overdue, t)
	}
	s.overdue = slices.DeleteFunc(s.overdue, func(t *try) bool {
		r := t.request
		if r.ended || s.running[t.id] != t || len(r.live) > 1 || r.tries >= maxTries || now+s.quickest() >= r.Deadline {
			return true
		}
		chosen := s.chooseHedge(now, t)
		if chosen == nil || !s.extra(r) {
			return false
		}
		s.send(now, r, chosen, KindHedge)
		return true
	})
}

func (s *Shard) chooseHedge(now core.Time, t *try) *replica {
	r := t.request
	avoid := r.avoid
	r.avoid = append(slices.Clip(avoid), t.replica)
	chosen := s.choose(now, r)
	r.avoid = avoid
	return chosen
}

// refuseUnserved refuses what waits when no replica is left that could take it.
func (s *Shard) refuseUnserved(now core.Time) {
	if s.queue.waiting == 0 || slices.ContainsFunc(s.replicas, (*replica).usable) {
		return
	}
	for s.queue.waiting > 0 {
		s.drop(s.queue.peek(), core.ReasonNoReplica, s.untilProbe(now))
	}
}

func (s *Shard) refuse(id RequestID, reason core.Reason, retryAfter time.Duration) {
	s.actions = append(s.actions, Refuse{Request: id, Reason: reason, RetryAfter: retryAfter})
}

// learn takes an answer's latency.
func (s *Shard) learn(elapsed time.Duration) {
	s.service.Record(elapsed)
	if s.mean == 0 {
		s.mean = float64(elapsed)
		return
	}
	s.mean += meanGain * (float64(elapsed) - s.mean)
}

// planWake asks to be woken at the next deadline, hedge or end of a pause.
func (s *Shard) planWake(now core.Time) {
	wake := core.Time(0)
	earliest := func(at core.Time) {
		if wake == 0 || at < wake {
			wake = at
		}
	}
	if s.deadlines.len() > 0 {
		earliest(max(now+1, s.deadlines.first().Deadline-s.quickest()))
	}
	if s.hedges.len() > 0 {
		earliest(s.hedges.first().hedgeAt)
	}
	if s.Waiting() > 0 {
		for _, r := range s.replicas {
			if r.usable() && r.pausedUntil > now {
				earliest(r.pausedUntil)
			}
		}
	}
	if wake != 0 && wake != s.wake {
		s.actions = append(s.actions, WakeAt{At: wake})
	}
	s.wake = wake
}
