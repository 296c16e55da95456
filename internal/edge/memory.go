package edge

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/memory"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/platform"
)

const (
	// requestOverheadBytes is what a request holds beyond its body: its goroutines and buffers, and its tries at one service.
	requestOverheadBytes = 48 << 10
	// sendOverheadBytes is what a gathered request holds for each further service.
	sendOverheadBytes = 6 << 10
	// growStepBytes is the step in which the bytes of a body are counted while it is received.
	growStepBytes = 16 << 10
)

// errMemoryFull ends the receiving of a body for which there is no memory.
var errMemoryFull = errors.New("the memory for callers' requests is full")

// callerMemory carries out the decisions on the memory that callers have the node hold.
type callerMemory struct {
	now    func() core.Time
	mutex  sync.Mutex
	budget *memory.Budget
	// streams holds the connections of the requests whose answers are being written.
	streams map[*memory.Holding]*callerStream
}

func newCallerMemory(vmBytes int64, now func() core.Time) *callerMemory {
	return &callerMemory{now: now, budget: memory.New(memory.LimitBytes(vmBytes)), streams: map[*memory.Holding]*callerStream{}}
}

// setLimit sets the limit from the memory of the VM.
func (m *callerMemory) setLimit(vmBytes int64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.SetLimit(memory.LimitBytes(vmBytes))
}

// setRoutes sets the routes and priorities of a new configuration.
func (m *callerMemory) setRoutes(config *policy.Config) {
	priorities := make([]int, len(config.Routes))
	for i, route := range config.Routes {
		priorities[i] = route.Priority
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.SetPriorities(priorities)
	m.budget.SetRoutes(len(config.Routes))
}

// memoryState describes the budget for operators.
type memoryState struct {
	LimitBytes int64         `json:"limit_bytes"`
	HeldBytes  int64         `json:"held_bytes"`
	ByPriority map[int]int64 `json:"held_by_priority"`
	Unread     int           `json:"answers_being_written"`
}

func (m *callerMemory) state() memoryState {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	state := memoryState{LimitBytes: m.budget.Limit(), HeldBytes: m.budget.Used(), ByPriority: map[int]int64{}, Unread: len(m.streams)}
	m.budget.EachPriority(func(priority int, bytes int64) { state.ByPriority[priority] = bytes })
	return state
}

// heldRequest is what a caller's request holds of the node's memory. It must be released.
type heldRequest struct {
	memory  *callerMemory
	holding *memory.Holding
	// uncounted is how much of the last step of the body has not been received yet.
	uncounted int64
	// rejection is the decision on a body for which there was no room.
	rejection placement.Decision
}

// holdRequest begins the holding of a request. It is nil if the request is rejected.
func (m *callerMemory) holdRequest(claim placement.Claim, overheadBytes, announcedBytes int64) (*heldRequest, placement.Decision) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	holding, decision := m.budget.Open(m.now(), claim, overheadBytes, announcedBytes)
	if holding == nil {
		return nil, decision
	}
	return &heldRequest{memory: m, holding: holding}, decision
}

// overheadBytes returns what a request of a route holds beyond its body.
func overheadBytes(route *policy.Route) int64 {
	if route.Gather == nil {
		return requestOverheadBytes
	}
	return requestOverheadBytes + sendOverheadBytes*int64(len(route.Gather.Shards))
}

// release gives all bytes back.
func (h *heldRequest) release() {
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.Release(m.now(), h.holding)
	delete(m.streams, h.holding)
}

// grow counts received bytes of the body. It reports false if there is no room for them.
func (h *heldRequest) grow(bytes int64) bool {
	h.uncounted -= bytes
	if h.uncounted >= 0 {
		return true
	}
	steps := (-h.uncounted + growStepBytes - 1) / growStepBytes
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	decision := m.budget.Grow(m.now(), h.holding, steps*growStepBytes)
	if decision.Verdict != placement.Send {
		h.rejection = decision
		return false
	}
	h.uncounted += steps * growStepBytes
	return true
}

// countedBody counts a request body while it is received.
type countedBody struct {
	io.ReadCloser
	held *heldRequest
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.held.grow(int64(n)) {
		return n, errMemoryFull
	}
	return n, err
}

// hold begins the holding of a request and counts its body. It returns nil after it has rejected the request.
func (n *Node) hold(w http.ResponseWriter, r *http.Request, route *policy.Route) *heldRequest {
	claim := placement.Claim{Priority: route.Priority, Route: route.Name, OverShare: n.state.isOverShare(addressOf(r.RemoteAddr))}
	held, decision := n.callerMemory.holdRequest(claim, overheadBytes(route), r.ContentLength)
	if held == nil {
		n.rejectForMemory(w, r, route, decision)
		return nil
	}
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = countedBody{r.Body, held}
	}
	return held
}

// rejectForMemory answers that a request has not run for lack of memory.
func (n *Node) rejectForMemory(w http.ResponseWriter, r *http.Request, route *policy.Route, decision placement.Decision) {
	n.metrics.countRefused()
	n.metrics.countMemoryRejection()
	decision.RetryAfter = n.state.spreadRetryAfter(decision.RetryAfter, statedWait(r))
	state := n.callerMemory.state()
	n.log.Decision("request_refused", decisionlog.Fields{
		"request": platform.RequestID(r.Header), "route": route.Name, "priority": route.Priority, "cause": errMemoryFull.Error(), "short": string(decision.Short),
		"retry_after_ms": decision.RetryAfter.Milliseconds(), "held_bytes": state.HeldBytes, "limit_bytes": state.LimitBytes, "held_by_priority": state.ByPriority,
	})
	if r.ContentLength != 0 {
		// Otherwise net/http would read the rest of the body before it answers.
		w.Header().Set("Connection", "close")
	}
	writeRefusal(w, decision.RetryAfter)
}

// attach binds a request to what it holds and to its caller's connection.
func (q *request) attach(held *heldRequest, stream *callerStream) {
	q.held, q.stream = held, stream
	if stream != nil {
		stream.request.Store(q.streamRequest())
	}
}

// replicaBodyBytes bounds the bodies that one replica holds for all nodes: with its slots and queue full of the longest
// bodies of 256 KB it holds about as much.
const replicaBodyBytes = 4 << 20

// maxReplicaBodyBytes returns this node's part of replicaBodyBytes, which is shared out like the replica's connections.
func (q *request) maxReplicaBodyBytes(to replica.Replica, connections int) int64 {
	limit := q.config.Services[to.Service].MaxConnections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	usable := max(outlook.UsableConnectionShare*float64(limit), 1)
	return max(int64(replicaBodyBytes*min(float64(connections)/usable, 1)), 1)
}

// countMemoryRejection counts a request that was rejected for lack of memory.
func (m *nodeMetrics) countMemoryRejection() {
	observe.Counter(m.reg, "requests_rejected_memory_total").Inc(1)
}

// registerMemoryGauges registers the gauges of the memory that callers have the node hold.
func (n *Node) registerMemoryGauges() {
	watch := func(name string, read func(memoryState) int64) {
		observe.GaugeFunc(n.metrics.reg, name, func() int64 { return read(n.callerMemory.state()) })
	}
	watch("caller_memory_bytes", func(s memoryState) int64 { return s.HeldBytes })
	watch("caller_memory_limit_bytes", func(s memoryState) int64 { return s.LimitBytes })
	watch("answers_being_written", func(s memoryState) int64 { return int64(s.Unread) })
	bodies := func() int64 { total, _ := n.replicas.BodyBytes(); return total }
	observe.GaugeFunc(n.metrics.reg, "replica_body_bytes", bodies)
	observe.GaugeFunc(n.metrics.reg, "replica_body_waiters", func() int64 { return int64(n.replicas.WaitingBodies()) })
}
