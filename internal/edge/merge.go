package edge

import (
	"net/http"
	"strconv"

	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
	"github.com/pistachiopier/pistachiopier/internal/core/topk"
	"github.com/pistachiopier/pistachiopier/platform"
)

// answerGathered merges the parts and answers with them. It reports false when they are too few,
// which the result then says.
func (q *request) answerGathered(w http.ResponseWriter, result *scatter.Result) bool {
	body, stamps, taken := q.merge(*result)
	result.Got = len(stamps)
	result.Enough = result.Enough && len(stamps) >= q.plan.Least
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
	groups, excerpts := q.excerpts()
	use := make([]bool, len(groups))
	for i := range use {
		use[i] = true
	}
	for {
		var singles [][]byte
		stamps, taken = q.batched(groups, use)
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
		body, used = topk.Merge(q.route.Gather.TopK, singles, kept(excerpts, use))
		if !q.dropUnused(use, used) {
			return body, stamps, taken
		}
	}
}

// excerpts lists the groups of which replies came, and these.
func (q *request) excerpts() (groups []*group, excerpts [][]topk.Excerpt) {
	seen := map[*group]bool{}
	for _, one := range q.sends {
		if one.group == nil || seen[one.group] {
			continue
		}
		seen[one.group] = true
		var theirs []topk.Excerpt
		for _, reply := range one.group.received() {
			theirs = append(theirs, reply.excerpt)
		}
		groups, excerpts = append(groups, one.group), append(excerpts, theirs)
	}
	return groups, excerpts
}

// batched lists the signatures of the parts of the groups in use, and their services.
func (q *request) batched(groups []*group, use []bool) (stamps []string, taken []bool) {
	taken = make([]bool, len(q.services))
	for i, one := range groups {
		if !use[i] {
			continue
		}
		for _, reply := range one.received() {
			for _, member := range reply.members {
				taken[member.send.Service] = true
				stamps = append(stamps, platform.Stamp(member.response.Header))
			}
		}
	}
	return stamps, taken
}

// kept replaces the excerpts of groups that are not in use by none.
func kept(excerpts [][]topk.Excerpt, use []bool) [][]topk.Excerpt {
	out := make([][]topk.Excerpt, len(excerpts))
	for i, one := range excerpts {
		if use[i] {
			out[i] = one
		}
	}
	return out
}

// dropUnused takes out of use what the merge could not use. It reports whether there was any: a
// part that came by itself may then take the place of one in a batch.
func (q *request) dropUnused(use, used []bool) bool {
	dropped := false
	for i := range use {
		if use[i] && !used[i] {
			use[i] = false
			dropped = true
		}
	}
	if dropped {
		q.node.beliefs.skewed(q.route)
		q.node.metrics.excerptUnused()
		q.note(step{Event: "excerpt_unused", Cause: "records were left out that the answer may hold"})
	}
	return dropped
}
