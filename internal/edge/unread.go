package edge

import (
	"net/http"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// Causes of answers that callers did not get whole, in the log and in metrics.
const (
	unreadStalled = "stalled"
	unreadGaveWay = "gave way"
	unreadNoRoom  = "no room"
)

// beginAnswer counts an answer that is about to be written, and resets the connections of the answers that give way to
// it. It reports false if there is no room: the answer must not be written.
func (h *heldRequest) beginAnswer(stream *callerStream, bytes int64) (cut []*streamRequest, fits bool) {
	m := h.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	victims, fits := m.budget.Answer(m.now(), h.holding, bytes)
	for _, victim := range victims {
		if s := m.streams[victim]; s != nil {
			cut = append(cut, s.request.Load())
			// The victim's request ends with its release, which awaits the mutex, so that no later request on the
			// connection is hit.
			s.reset()
		}
		delete(m.streams, victim)
	}
	if fits && stream != nil {
		m.streams[h.holding] = stream
	}
	return cut, fits
}

// streamRequest identifies the request on its connection.
func (q *request) streamRequest() *streamRequest {
	return &streamRequest{id: decisionlog.Clip(q.id), route: q.route.Name, caller: q.remote, priority: q.route.Priority, arrived: q.arrived}
}

// holdAnswer counts the bytes of an answer before it is written. It reports false if there is no room for them.
func (q *request) holdAnswer(bytes int) bool {
	if q.held == nil {
		return true
	}
	cut, fits := q.held.beginAnswer(q.stream, int64(bytes))
	for _, of := range cut {
		q.node.recordUnread(of, unreadGaveWay, 0)
	}
	if !fits {
		q.node.recordUnread(q.streamRequest(), unreadNoRoom, bytes)
	}
	return fits
}

// answerWithoutRoom answers a request that has run, and for whose answer there is no room.
func (q *request) answerWithoutRoom(w http.ResponseWriter, result scatter.Result) {
	q.recordOutcome(outcomeFailed, http.StatusBadGateway, result)
	http.Error(w, "no memory for the answer", http.StatusBadGateway)
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

// countUnread counts an answer that its caller did not get whole.
func (m *nodeMetrics) countUnread(cause string) {
	observe.Counter(m.reg, observe.Labelled("answers_unread_total", labelCause, cause)).Inc(1)
}
