package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// stepper is a state machine under test, one per shard of a service.
type stepper interface {
	Step(now core.Time, event Event) []Action
}

// simulation runs state machines and simulated replicas in virtual time.
type simulation struct {
	now             core.Time
	events          eventQueue
	sequence        int
	rand            *rand.Rand
	shards          []stepper
	replicas        map[string]*modelReplica
	running         []map[AttemptID]*modelAttempt
	onEnd           []map[RequestID]func(done, notRun bool)
	alarms          []core.Time
	lastRequest     RequestID
	attempts        int
	extraAttempts   int
	lastAttemptDone bool
	// failureRate is the fraction of all requests that end in an error.
	failureRate float64
	// onRefuse, if set, is called for each refused request.
	onRefuse func(Refuse)
}

// modelReplica sheds requests above its slots, or fails all requests. A lost replica refuses
// connections and fails the requests in flight. Every silentEvery-th request gets no reply.
type modelReplica struct {
	slots, running int
	mean           time.Duration
	failing        bool
	lost           bool
	silentEvery    int
	received       int
}

type modelAttempt struct {
	replica *modelReplica
	started bool
	ended   bool
}

func newSimulation(seed uint64) *simulation {
	return &simulation{rand: rand.New(rand.NewPCG(seed, 1)), replicas: map[string]*modelReplica{}}
}

func (sim *simulation) addShard(shard stepper) {
	sim.shards = append(sim.shards, shard)
	sim.alarms = append(sim.alarms, 0)
	sim.running = append(sim.running, map[AttemptID]*modelAttempt{})
	sim.onEnd = append(sim.onEnd, map[RequestID]func(bool, bool){})
}

func (sim *simulation) schedule(when core.Time, do func()) {
	sim.sequence++
	heap.Push(&sim.events, scheduledEvent{at: max(when, sim.now), sequence: sim.sequence, do: do})
}

func (sim *simulation) run(until core.Time) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		next := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.do()
	}
}

// offer submits a request to one shard; end is called once, when the request has ended.
func (sim *simulation) offer(shard int, customer core.Customer, timeout time.Duration, end func(done, notRun bool)) {
	sim.lastRequest++
	sim.onEnd[shard][sim.lastRequest] = end
	sim.step(shard, Offered{ID: sim.lastRequest, Customer: customer, Weight: 1, Deadline: sim.now + timeout})
}

func (sim *simulation) step(shard int, event Event) {
	for _, action := range slices.Clone(sim.shards[shard].Step(sim.now, event)) {
		switch a := action.(type) {
		case Dispatch:
			sim.dispatch(shard, a)
		case Abort:
			sim.endAttempt(shard, a.Try, TryEnded{Try: a.Try, Reason: core.ReasonCancelled, Load: -1})
		case Settle:
			sim.endRequest(shard, a.Request, true, false)
		case Refuse:
			if sim.onRefuse != nil {
				sim.onRefuse(a)
			}
			sim.endRequest(shard, a.Request, false, true)
		case WakeAt:
			sim.wakeAt(shard, a.At)
		}
	}
}

// wakeAt replaces the timer of the shard.
func (sim *simulation) wakeAt(shard int, when core.Time) {
	sim.alarms[shard] = when
	sim.schedule(when, func() {
		if sim.alarms[shard] == when {
			sim.alarms[shard] = 0
			sim.step(shard, Woken{})
		}
	})
}

func (sim *simulation) endRequest(shard int, id RequestID, settled, refused bool) {
	end := sim.onEnd[shard][id]
	delete(sim.onEnd[shard], id)
	if end != nil {
		end(settled && sim.lastAttemptDone, refused)
	}
}

const modelHopLatency = time.Millisecond

func (sim *simulation) dispatch(shard int, a Dispatch) {
	r := sim.replicas[a.Address]
	r.received++
	sim.attempts++
	if a.Kind == KindHedge || a.Kind == KindRetry {
		sim.extraAttempts++
	}
	t := &modelAttempt{replica: r}
	sim.running[shard][a.Try] = t
	reply := TryEnded{Try: a.Try, Outcome: core.Done, Load: -1}
	took := modelHopLatency
	switch {
	case r.lost:
		reply.Outcome, reply.Reason, reply.Refused = core.NotRun, core.ReasonUpstreamFailed, true
	case r.silentEvery > 0 && r.received%r.silentEvery == 0:
		t.started = true
		r.running++
		took = a.TimeLeft + modelHopLatency
	case r.running >= r.slots:
		reply.Outcome, reply.Reason = core.NotRun, core.ReasonOverloaded
	case r.failing || sim.failureRate > 0 && sim.rand.Float64() < sim.failureRate:
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonUpstreamFailed
	default:
		t.started = true
		r.running++
		took += r.mean/2 + time.Duration(sim.rand.ExpFloat64()*float64(r.mean/2))
	}
	if took > a.TimeLeft {
		took = a.TimeLeft
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonDeadline
	}
	sim.schedule(sim.now+took, func() { sim.endAttempt(shard, a.Try, reply) })
}

func (sim *simulation) endAttempt(shard int, id AttemptID, reply TryEnded) {
	t := sim.running[shard][id]
	if t == nil || t.ended {
		return
	}
	t.ended = true
	delete(sim.running[shard], id)
	if t.started {
		t.replica.running--
	}
	if t.started && t.replica.lost && reply.Outcome == core.Done {
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonUpstreamFailed
	}
	sim.schedule(sim.now, func() {
		sim.lastAttemptDone = reply.Outcome == core.Done
		sim.step(shard, reply)
	})
}

// poissonArrivals calls do at the given mean rate until the end.
func (sim *simulation) poissonArrivals(perSecond float64, end core.Time, do func()) {
	var next func()
	next = func() {
		gap := time.Duration(sim.rand.ExpFloat64() / perSecond * float64(time.Second))
		if sim.now+gap > end {
			return
		}
		sim.schedule(sim.now+gap, func() {
			do()
			next()
		})
	}
	next()
}

// percentile returns the value below which the given fraction of the samples lies.
func percentile(samples []time.Duration, share float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(math.Ceil(share*float64(len(samples))))-1)]
}

type scheduledEvent struct {
	at       core.Time
	sequence int
	do       func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// fifoShard is the baseline for comparison: one queue for all customers, fixed slots, the replica with
// the fewest requests in flight, and no second attempt.
type fifoShard struct {
	slots       int
	maxQueue    int
	names       []string
	inFlight    map[string]int
	waiting     []Offered
	running     map[AttemptID]Dispatch
	lastAttempt AttemptID
	actions     []Action
}

func newFIFO(slots, maxQueue int, names []string) *fifoShard {
	return &fifoShard{slots: slots, maxQueue: maxQueue, names: names, inFlight: map[string]int{}, running: map[AttemptID]Dispatch{}}
}

func (f *fifoShard) Step(now core.Time, event Event) []Action {
	f.actions = f.actions[:0]
	switch e := event.(type) {
	case Offered:
		if len(f.waiting) >= f.maxQueue {
			f.actions = append(f.actions, Refuse{Request: e.ID, Reason: core.ReasonOverloaded})
		} else {
			f.waiting = append(f.waiting, e)
		}
	case TryEnded:
		ended := f.running[e.Try]
		delete(f.running, e.Try)
		f.inFlight[ended.Address]--
		f.actions = append(f.actions, Settle{Request: ended.Request, Try: e.Try, Tries: 1})
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(r Offered) bool {
		if r.Deadline <= now {
			f.actions = append(f.actions, Refuse{Request: r.ID, Reason: core.ReasonDeadline})
		}
		return r.Deadline <= now
	})
	for len(f.waiting) > 0 {
		freest := slices.MinFunc(f.names, func(a, b string) int { return f.inFlight[a] - f.inFlight[b] })
		if f.inFlight[freest] >= f.slots {
			break
		}
		f.lastAttempt++
		f.inFlight[freest]++
		d := Dispatch{Try: f.lastAttempt, Request: f.waiting[0].ID, Address: freest, TimeLeft: f.waiting[0].Deadline - now}
		f.waiting = f.waiting[1:]
		f.running[f.lastAttempt] = d
		f.actions = append(f.actions, d)
	}
	if len(f.waiting) > 0 {
		f.actions = append(f.actions, WakeAt{At: f.waiting[0].Deadline})
	}
	return f.actions
}
