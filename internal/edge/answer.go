package edge

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/replicaconn"
	"github.com/pistachiopier/pistachiopier/platform"
)

// answer gives the caller what came of the request.
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

// relay passes a replica's answer on unchanged. A long one is passed on as it comes: when
// the replica cuts it, the caller's connection is cut too, so that it does not look whole.
func (q *request) relay(w http.ResponseWriter, one *exchange, outcome string, result scatter.Result) {
	response := one.response
	if response.Rest == nil {
		q.tell(outcome, response.Status, result)
		writeAnswer(w, response)
		return
	}
	defer func() { _ = response.Rest.Close() }()
	writeAnswer(w, response)
	if _, err := io.Copy(w, response.Rest); err != nil {
		q.note(step{Event: "answer_cut", Replica: one.send.Replica.ID, Service: one.send.Replica.Service, Cause: err.Error()})
		q.tell(outcomeFailed, response.Status, result)
		panic(http.ErrAbortHandler)
	}
	q.tell(outcome, response.Status, result)
}

// writeAnswer writes the head of an answer and what is there of its body.
func writeAnswer(w http.ResponseWriter, response *replicaconn.Response) {
	header := w.Header()
	for name, values := range forwardable(response.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		// A nil entry keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if bodyAllowed(response.Status) && response.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// noteMissing notes for each missing part what its last send came to.
func (q *request) noteMissing(taken []bool) {
	last := make([]*exchange, len(taken))
	for _, one := range q.sends {
		last[one.send.Service] = one
	}
	noted := 0
	for i, have := range taken {
		if have || noted >= maxMissing {
			continue
		}
		noted++
		q.noteLast(q.missing(q.services[i], last[i]))
	}
}

// missing says why a part is missing, from the last send for it; nil is none.
func (q *request) missing(service string, last *exchange) step {
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
	case !last.over:
		s.Cause = "not answered yet"
	case last.err != nil:
		s.Cause = last.err.Error()
	case last.response != nil:
		s.Cause, s.Status = "not a part", last.response.Status
	}
	return s
}

// answerFailure says what is certain: "not run" only when every send proved it.
func (q *request) answerFailure(w http.ResponseWriter, result scatter.Result) {
	if !result.MayHaveRun {
		retryAfter := retryFull
		switch {
		case result.Rejected:
			retryAfter = result.RetryAfter
		case result.NoReplica:
			retryAfter = retryNoReplica
		}
		q.tell(outcomeRefused, http.StatusServiceUnavailable, result)
		writeRefusal(w, retryAfter)
		return
	}
	if one := q.replicasFailure(); one != nil && !result.PastDeadline {
		q.relay(w, one, outcomeFailed, result)
		return
	}
	status := http.StatusBadGateway
	if result.PastDeadline {
		status = http.StatusGatewayTimeout
	}
	q.tell(outcomeFailed, status, result)
	http.Error(w, http.StatusText(status), status)
}

// promises are the statuses that tell a caller that its request has not run.
var promises = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// replicasFailure finds a replica's own failure to pass on: the last one with its
// signature. A failure of a part is not one of the whole, and a status that would
// promise "not run" is not passed on without the replica's proof.
func (q *request) replicasFailure() *exchange {
	if q.route.Gather != nil {
		return nil
	}
	for i := len(q.sends) - 1; i >= 0; i-- {
		one := q.sends[i]
		if !one.over || one.response == nil || success(one.response.Status) {
			continue
		}
		if platform.Stamp(one.response.Header) != "" && !promises[one.response.Status] {
			return one
		}
	}
	return nil
}
