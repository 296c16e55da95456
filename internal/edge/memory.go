package edge

import (
	"context"
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
	// requestOverheadBytes is what a request holds beyond its body: its header, goroutines and sends.
	requestOverheadBytes = 16 << 10
	// growStepBytes is the step in which the bytes of a body are counted while it is received.
	growStepBytes = 16 << 10
)

// Causes of answers that callers did not get whole, in the log and in metrics.
const (
	unreadStalled = "stalled"
	unreadGaveWay = "gave way"
	unreadNoRoom  = "no room"
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

// setPriorities sets the priorities of a new configuration.
func (m *callerMemory) setPriorities(config *policy.Config) {
	priorities := make([]int, len(config.Routes))
	for i, route := range config.Routes {
		priorities[i] = route.Priority
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.SetPriorities(priorities)
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
func (m *callerMemory) holdRequest(claim placement.Claim, announcedBytes int64) (*heldRequest, placement.Decision) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	holding, decision := m.budget.Open(m.now(), claim, requestOverheadBytes, announcedBytes)
	if holding == nil {
		return nil, decision
	}
	return &heldRequest{memory: m, holding: holding}, decision
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

// beginAnswer counts an answer that is about to be written, and cuts off the answers that give way to it. It reports
// false if there is no room: the answer must not be written.
func (h *heldRequest) beginAnswer(stream *callerStream, bytes int64) (cut []*callerStream, fits bool) {
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	victims, fits := m.budget.Answer(m.now(), h.holding, bytes)
	for _, victim := range victims {
		if s := m.streams[victim]; s != nil {
			cut = append(cut, s)
		}
		delete(m.streams, victim)
	}
	if fits && stream != nil {
		m.streams[h.holding] = stream
	}
	return cut, fits
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
	held, decision := n.callerMemory.holdRequest(placement.Claim{Priority: route.Priority}, r.ContentLength)
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
	state := n.callerMemory.state()
	n.log.Decision("request_refused", decisionlog.Fields{
		"request": platform.RequestID(r.Header), "route": route.Name, "priority": route.Priority, "cause": errMemoryFull.Error(), "short": string(decision.Short),
		"retry_after_ms": decision.RetryAfter.Milliseconds(), "held_bytes": state.HeldBytes, "limit_bytes": state.LimitBytes, "held_by_priority": state.ByPriority,
	})
	// Otherwise net/http would read the rest of the body before it answers.
	w.Header().Set("Connection", "close")
	writeRefusal(w, decision.RetryAfter)
}

func (q *request) streamRequest() *streamRequest {
	return &streamRequest{id: q.id, route: q.route.Name, caller: q.remote, priority: q.route.Priority, arrived: q.arrived}
}

// attach binds a request to what it holds and to its caller's connection.
func (q *request) attach(held *heldRequest, stream *callerStream) {
	q.held, q.stream = held, stream
	if stream != nil {
		stream.request.Store(q.streamRequest())
	}
}

// writeBody writes the body of an answer that is held whole. If there is no room for it, or it gave way to another one,
// the caller's connection is aborted, so that the answer does not look complete.
func (q *request) writeBody(w http.ResponseWriter, body []byte) {
	q.holdAnswer(len(body))
	_, _ = w.Write(body)
}

// holdAnswer counts the bytes of an answer before it is written.
func (q *request) holdAnswer(bytes int) {
	if q.held == nil {
		return
	}
	cut, fits := q.held.beginAnswer(q.stream, int64(bytes))
	for _, stream := range cut {
		stream.reset()
		q.node.recordUnread(stream.request.Load(), unreadGaveWay, 0)
	}
	if !fits {
		q.node.recordUnread(q.streamRequest(), unreadNoRoom, bytes)
		panic(http.ErrAbortHandler)
	}
}

// recordUnread logs and counts an answer that its caller did not get whole.
func (n *Node) recordUnread(of *streamRequest, cause string, unwritten int) {
	n.metrics.countUnread(cause)
	state := n.callerMemory.state()
	fields := decisionlog.Fields{"cause": cause, "unwritten_bytes": unwritten, "held_bytes": state.HeldBytes, "limit_bytes": state.LimitBytes}
	if of != nil {
		fields["request"], fields["route"], fields["priority"], fields["caller"] = of.id, of.route, of.priority, of.caller
		fields["took_ms"] = (n.now() - of.arrived).Milliseconds()
	}
	n.log.Decision("answer_unread", fields)
}

// callerStalled records a caller that was let go because it did not read.
func (n *Node) callerStalled(stream *callerStream, unwritten int) {
	n.recordUnread(stream.request.Load(), unreadStalled, unwritten)
}

// streamOf returns the caller's connection, or nil in tests without one.
func streamOf(ctx context.Context) *callerStream {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return nil
	}
	return conn.stream
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

// countUnread counts an answer that its caller did not get whole.
func (m *nodeMetrics) countUnread(cause string) {
	observe.Counter(m.reg, observe.Labelled("answers_unread_total", labelCause, cause)).Inc(1)
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
