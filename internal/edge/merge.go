package edge

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/platform"
)

// answerGathered merges the parts and answers with them. It returns false, with the result updated, if there
// are too few parts.
func (q *request) answerGathered(w http.ResponseWriter, result *scatter.Result) bool {
	body, stamps, taken := q.merge(*result)
	result.Received = len(stamps)
	result.Enough = result.Enough && len(stamps) >= q.plan.MinParts
	missing := len(q.services) - len(stamps)
	outcome := outcomeWhole
	if missing > 0 && !result.Rejected {
		outcome = outcomePartial
		q.addMissingSteps(taken)
	}
	if !result.Enough {
		return false
	}
	q.recordOutcome(outcome, http.StatusOK, *result)
	platform.SetCoverage(w.Header(), stamps, missing)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	q.writeBody(w, body)
	return true
}

// merge merges the received parts. The records of a batch cannot be assigned to parts, so a batch counts as a whole,
// and a single part of the same shard, from a hedge, is ignored. The batches of a helper whose excerpts prove
// insufficient are left out.
//
// It returns the records, the signatures of their parts, and for each service whether it has a part.
func (q *request) merge(result scatter.Result) (body []byte, stamps []string, taken []bool) {
	replies, excerpts := q.receivedBatches()
	for {
		var singles [][]byte
		stamps, taken = q.batchedParts(replies)
		for i, send := range result.Parts {
			if taken[i] || send < 0 || q.sends[send].batch != nil {
				continue
			}
			part := q.sends[send].response
			singles = append(singles, part.Body)
			taken[i] = true
			stamps = append(stamps, platform.Stamp(part.Header))
		}
		var used []bool
		body, used = topk.Merge(q.route.Gather.TopK, singles, excerpts)
		if !slices.Contains(used, false) {
			return body, stamps, taken
		}
		// A single part may now replace one of a batch that was left out.
		q.recordUnusedExcerpt()
		replies, excerpts = filterUsed(replies, used), filterUsed(excerpts, used)
	}
}

// receivedBatches lists the merged replies of each helper, and their excerpts.
func (q *request) receivedBatches() (replies [][]*batch, excerpts [][]topk.Excerpt) {
	seen := map[*group]bool{}
	for _, exchange := range q.sends {
		if exchange.group == nil || seen[exchange.group] {
			continue
		}
		seen[exchange.group] = true
		batches := exchange.group.handledBatches()
		var batchExcerpts []topk.Excerpt
		for _, reply := range batches {
			batchExcerpts = append(batchExcerpts, reply.excerpt)
		}
		replies, excerpts = append(replies, batches), append(excerpts, batchExcerpts)
	}
	return replies, excerpts
}

// batchedParts returns the signatures of the parts in merged replies, and for each service whether it has a
// part.
func (q *request) batchedParts(replies [][]*batch) (stamps []string, taken []bool) {
	taken = make([]bool, len(q.services))
	for _, reply := range slices.Concat(replies...) {
		for _, member := range reply.members {
			taken[member.send.Service] = true
			stamps = append(stamps, platform.Stamp(member.response.Header))
		}
	}
	return stamps, taken
}

// filterUsed returns the elements of a list that are marked as used.
func filterUsed[T any](list []T, used []bool) []T {
	var kept []T
	for i, element := range list {
		if used[i] {
			kept = append(kept, element)
		}
	}
	return kept
}

// recordUnusedExcerpt records that excerpts were left out because they are too short for the answer.
func (q *request) recordUnusedExcerpt() {
	q.node.state.recordSkew(q.route)
	q.node.metrics.countUnusedExcerpt()
	q.addStep(step{Event: "excerpt_unused", Cause: "the excerpt omits records that may belong to the answer"})
}
