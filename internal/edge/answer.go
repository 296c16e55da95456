package edge

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// answer sends the result of the request to the caller.
func (q *request) answer(w http.ResponseWriter, result scatter.Result) {
	if q.route.Gather != nil && q.answerGathered(w, &result) {
		return
	}
	if !result.Enough {
		q.answerFailure(w, result)
		return
	}
	q.relay(w, q.sends[result.Parts[0]], outcomeWhole, result)
}

// relay passes a replica's answer on unchanged. A long answer is streamed: if the replica cuts it off, the
// caller's connection is aborted as well, so that the answer does not look complete.
func (q *request) relay(w http.ResponseWriter, exchange *exchange, outcome string, result scatter.Result) {
	response := exchange.response
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
	}
	if !q.holdAnswer(len(response.Body)) {
		q.answerWithoutRoom(w, result)
		return
	}
	if response.Rest == nil {
		q.recordOutcome(outcome, response.Status, result)
		writeAnswer(w, response)
		return
	}
	writeAnswer(w, response)
	if _, err := io.Copy(w, response.Rest); err != nil {
		q.addStep(step{Event: "answer_cut", Replica: exchange.send.Replica.ID, Service: exchange.send.Replica.Service, Cause: err.Error()})
		q.recordOutcome(outcomeFailed, response.Status, result)
		panic(http.ErrAbortHandler)
	}
	q.recordOutcome(outcome, response.Status, result)
}

// writeAnswer writes the head of an answer and the part of its body that has been read.
func writeAnswer(w http.ResponseWriter, response *replicaconn.Response) {
	removeHopByHop(response.Header)
	header := w.Header()
	maps.Copy(header, response.Header)
	if header.Get("Content-Type") == "" {
		// A nil entry keeps net/http from guessing a content type.
		header["Content-Type"] = nil
	}
	if allowsBody(response.Status) && response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func allowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// addMissingSteps adds a step for each missing part with the result of its last send.
func (q *request) addMissingSteps(taken []bool) {
	last := make([]*exchange, len(taken))
	for _, exchange := range q.sends {
		if former := last[exchange.send.Service]; former == nil || former.startAt <= exchange.startAt {
			last[exchange.send.Service] = exchange
		}
	}
	added := 0
	for i, have := range taken {
		if have || added >= maxMissingSteps {
			continue
		}
		added++
		q.appendStep(q.missingStep(q.services[i], last[i]))
	}
}

// missingStep returns the step that gives the reason for a missing part, from its last send; nil means that
// none was made.
func (q *request) missingStep(service string, last *exchange) step {
	s := step{Event: "part_missing", Service: service}
	if last == nil {
		s.Cause = "no replica to send to"
		return s
	}
	s.Replica = last.send.Replica.ID
	s.TookMs = (q.node.now() - last.startAt).Milliseconds()
	if last.group != nil {
		s.Via = string(last.group.helper.Node)
	}
	switch {
	case !last.handled:
		s.Cause = "not answered yet"
	case last.err != nil:
		s.Cause = last.err.Error()
	case last.response != nil:
		s.Cause, s.Status = "the answer does not count as a part", last.response.Status
	}
	return s
}

// answerFailure answers a failed request. It states "not run" only if every send proved it.
func (q *request) answerFailure(w http.ResponseWriter, result scatter.Result) {
	if !result.MayHaveRun {
		retryAfter := q.retryAfter(result)
		result.Admission.RetryAfter = retryAfter
		q.recordOutcome(outcomeRefused, http.StatusServiceUnavailable, result)
		writeRefusal(w, retryAfter)
		return
	}
	if exchange := q.failureToRelay(); exchange != nil && !result.PastDeadline {
		q.relay(w, exchange, outcomeFailed, result)
		return
	}
	status := http.StatusBadGateway
	if result.PastDeadline {
		status = http.StatusGatewayTimeout
	}
	q.recordOutcome(outcomeFailed, status, result)
	http.Error(w, http.StatusText(status), status)
}

// retryAfter returns the time to tell the caller of a refused request.
func (q *request) retryAfter(result scatter.Result) time.Duration {
	longest := retryAfterFull
	switch {
	case result.Rejected:
		return result.Admission.RetryAfter
	case result.NoReplica:
		longest = retryAfterNoReplica
	}
	return q.node.state.spreadRetryAfter(longest, q.plan.Deadline-q.node.now())
}

// notRunStatuses are the statuses which state that a request has not run.
var notRunStatuses = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// failureToRelay returns the failed exchange whose answer is passed on to the caller: the last one that
// carries the replica's signature. The failure of a part is not a failure of the whole request, and a status
// that means "not run" is not passed on without the replica's proof.
func (q *request) failureToRelay() *exchange {
	if q.route.Gather != nil {
		return nil
	}
	for i := len(q.sends) - 1; i >= 0; i-- {
		exchange := q.sends[i]
		if !exchange.handled || exchange.response == nil || isSuccess(exchange.response.Status) {
			continue
		}
		if platform.Stamp(exchange.response.Header) != "" && !notRunStatuses[exchange.response.Status] {
			return exchange
		}
	}
	return nil
}
