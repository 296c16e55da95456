package edge

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/platform"
)

// answerGathered merges the parts and answers with them. It reports false when they are too few,
// which the result then says.
func (q *request) answerGathered(w http.ResponseWriter, result *scatter.Result) bool {
	body, stamps, taken := q.merge(*result)
	result.Received = len(stamps)
	result.Enough = result.Enough && len(stamps) >= q.plan.MinParts
	missing := len(q.services) - len(stamps)
	outcome := outcomeWhole
	if missing > 0 && !result.Rejected {
		outcome = outcomePartial
		q.noteMissing(taken)
	}
	if !result.Enough {
		return false
	}
	q.tell(outcome, http.StatusOK, *result)
	platform.SetCoverage(w.Header(), stamps, missing)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
	return true
}

// merge makes the answer of what came. The records of a batch cannot be told apart any more, so
// that each counts as a whole, and a part of the same shard that came by itself, from a hedge,
// does not. The batches of a node whose excerpts turn out not to be enough are left out.
//
// It returns the records, the signatures of their parts, and which services have a part.
func (q *request) merge(result scatter.Result) (body []byte, stamps []string, taken []bool) {
	replies, excerpts := q.received()
	for {
		var singles [][]byte
		stamps, taken = q.batched(replies)
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
		// A part that came by itself may now take the place of one in a batch.
		q.noteSkewed()
		replies, excerpts = only(replies, used), only(excerpts, used)
	}
}

// received lists the merged replies of each node that was asked, and their excerpts.
func (q *request) received() (replies [][]*batch, excerpts [][]topk.Excerpt) {
	seen := map[*group]bool{}
	for _, one := range q.sends {
		if one.group == nil || seen[one.group] {
			continue
		}
		seen[one.group] = true
		theirs := one.group.received()
		var theirExcerpts []topk.Excerpt
		for _, reply := range theirs {
			theirExcerpts = append(theirExcerpts, reply.excerpt)
		}
		replies, excerpts = append(replies, theirs), append(excerpts, theirExcerpts)
	}
	return replies, excerpts
}

// batched lists the signatures of the parts of merged replies, and their services.
func (q *request) batched(replies [][]*batch) (stamps []string, taken []bool) {
	taken = make([]bool, len(q.services))
	for _, reply := range slices.Concat(replies...) {
		for _, member := range reply.members {
			taken[member.send.Service] = true
			stamps = append(stamps, platform.Stamp(member.response.Header))
		}
	}
	return stamps, taken
}

// only keeps those of a list that are used.
func only[T any](list []T, used []bool) []T {
	var kept []T
	for i, one := range list {
		if used[i] {
			kept = append(kept, one)
		}
	}
	return kept
}

// noteSkewed notes that excerpts were left out which are too short for the answer.
func (q *request) noteSkewed() {
	q.node.beliefs.skewed(q.route)
	q.node.metrics.excerptUnused()
	q.note(step{Event: "excerpt_unused", Cause: "records were left out that the answer may hold"})
}
