package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// stepper is a machine under test; several of them make a service.
type stepper interface {
	Step(now core.Time, event Event) []Action
}

// world runs machines and modelled replicas in virtual time.
type world struct {
	now      core.Time
	events   timeline
	sequence int
	rand     *rand.Rand
	shards   []stepper
	upstream map[string]*modelReplica
	tries    []map[AttemptID]*modelTry
	ends     []map[RequestID]func(done, notRun bool)
	wakes    []core.Time
	next     RequestID
	sent     int
	extra    int
	lastDone bool
	// failures is the share of all requests that end in an error.
	failures float64
	// refused, when set, hears of each request that is refused.
	refused func(Refuse)
}

// modelReplica sheds above its slots, or always, or fails. A lost one takes no
// connection and loses what runs; of every silentOf requests the last meets a connection that has gone silent.
type modelReplica struct {
	slots, running int
	mean           time.Duration
	failing        bool
	lost           bool
	silentOf       int
	received       int
}

type modelTry struct {
	replica *modelReplica
	started bool
	ended   bool
}

func newWorld(seed uint64) *world {
	return &world{rand: rand.New(rand.NewPCG(seed, 1)), upstream: map[string]*modelReplica{}}
}

func (w *world) add(shard stepper) {
	w.shards = append(w.shards, shard)
	w.wakes = append(w.wakes, 0)
	w.tries = append(w.tries, map[AttemptID]*modelTry{})
	w.ends = append(w.ends, map[RequestID]func(bool, bool){})
}

func (w *world) at(when core.Time, do func()) {
	w.sequence++
	heap.Push(&w.events, happening{at: max(when, w.now), sequence: w.sequence, do: do})
}

func (w *world) run(until core.Time) {
	for len(w.events) > 0 && w.events[0].at <= until {
		next := heap.Pop(&w.events).(happening)
		w.now = next.at
		next.do()
	}
}

// offer asks one shard; end hears once how the request ended.
func (w *world) offer(shard int, customer core.Customer, timeout time.Duration, end func(done, notRun bool)) {
	w.next++
	w.ends[shard][w.next] = end
	w.step(shard, Offered{ID: w.next, Customer: customer, Weight: 1, Deadline: w.now + timeout})
}

func (w *world) step(shard int, event Event) {
	for _, action := range slices.Clone(w.shards[shard].Step(w.now, event)) {
		switch a := action.(type) {
		case Dispatch:
			w.dispatch(shard, a)
		case Abort:
			w.finish(shard, a.Try, TryEnded{Try: a.Try, Reason: core.ReasonCancelled, Load: -1})
		case Settle:
			w.end(shard, a.Request, true, false)
		case Refuse:
			if w.refused != nil {
				w.refused(a)
			}
			w.end(shard, a.Request, false, true)
		case WakeAt:
			w.wakeAt(shard, a.At)
		}
	}
}

// wakeAt replaces the shard's alarm.
func (w *world) wakeAt(shard int, when core.Time) {
	w.wakes[shard] = when
	w.at(when, func() {
		if w.wakes[shard] == when {
			w.wakes[shard] = 0
			w.step(shard, Woken{})
		}
	})
}

func (w *world) end(shard int, id RequestID, settled, refused bool) {
	end := w.ends[shard][id]
	delete(w.ends[shard], id)
	if end != nil {
		end(settled && w.lastDone, refused)
	}
}

const modelHop = time.Millisecond

func (w *world) dispatch(shard int, a Dispatch) {
	r := w.upstream[a.Address]
	r.received++
	w.sent++
	if a.Kind == KindHedge || a.Kind == KindRetry {
		w.extra++
	}
	t := &modelTry{replica: r}
	w.tries[shard][a.Try] = t
	reply := TryEnded{Try: a.Try, Outcome: core.Done, Load: -1}
	took := modelHop
	switch {
	case r.lost:
		reply.Outcome, reply.Reason, reply.Refused = core.NotRun, core.ReasonUpstreamFailed, true
	case r.silentOf > 0 && r.received%r.silentOf == 0:
		t.started = true
		r.running++
		took = a.TimeLeft + modelHop
	case r.running >= r.slots:
		reply.Outcome, reply.Reason = core.NotRun, core.ReasonOverloaded
	case r.failing || w.failures > 0 && w.rand.Float64() < w.failures:
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonUpstreamFailed
	default:
		t.started = true
		r.running++
		took += r.mean/2 + time.Duration(w.rand.ExpFloat64()*float64(r.mean/2))
	}
	if took > a.TimeLeft {
		took = a.TimeLeft
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonDeadline
	}
	w.at(w.now+took, func() { w.finish(shard, a.Try, reply) })
}

func (w *world) finish(shard int, id AttemptID, reply TryEnded) {
	t := w.tries[shard][id]
	if t == nil || t.ended {
		return
	}
	t.ended = true
	delete(w.tries[shard], id)
	if t.started {
		t.replica.running--
	}
	if t.started && t.replica.lost && reply.Outcome == core.Done {
		reply.Outcome, reply.Reason = core.Unknown, core.ReasonUpstreamFailed
	}
	w.at(w.now, func() {
		w.lastDone = reply.Outcome == core.Done
		w.step(shard, reply)
	})
}

// poisson calls do at the given rate until the end.
func (w *world) poisson(perSecond float64, end core.Time, do func()) {
	var next func()
	next = func() {
		gap := time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second))
		if w.now+gap > end {
			return
		}
		w.at(w.now+gap, func() {
			do()
			next()
		})
	}
	next()
}

// percentile returns the value below which the share of the samples lies.
func percentile(samples []time.Duration, share float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(math.Ceil(share*float64(len(samples))))-1)]
}

type happening struct {
	at       core.Time
	sequence int
	do       func()
}

type timeline []happening

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].sequence < t[j].sequence
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(happening)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// fifoShard is the policy that the figures are compared with: one queue for all
// customers, fixed slots, the freest replica, no second try.
type fifoShard struct {
	slots    int
	maxQueue int
	names    []string
	inFlight map[string]int
	waiting  []Offered
	running  map[AttemptID]Dispatch
	next     AttemptID
	actions  []Action
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
		f.next++
		f.inFlight[freest]++
		d := Dispatch{Try: f.next, Request: f.waiting[0].ID, Address: freest, TimeLeft: f.waiting[0].Deadline - now}
		f.waiting = f.waiting[1:]
		f.running[f.next] = d
		f.actions = append(f.actions, d)
	}
	if len(f.waiting) > 0 {
		f.actions = append(f.actions, WakeAt{At: f.waiting[0].Deadline})
	}
	return f.actions
}
