package harness

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const (
	// queryClientTimeout is far above every timeout in the configuration texts: a
	// query that reaches it was never answered.
	queryClientTimeout = 20 * time.Second
	failurePause       = 5 * time.Millisecond
	unlimited          = math.MaxInt
)

// Load queries the Lead service continuously from several callers, each with one
// query at a time, and checks every answer.
type Load struct {
	*sender
	tally Tally
	// exempt holds the entries that may fail queries.
	exempt map[string]bool
	// cacheAddresses is set if callers fetch the entries and cache them until
	// cachedUntil.
	cacheAddresses bool
	cachedUntil    time.Time
}

// Tally counts the results of a load.
type Tally struct {
	Complete int
	Partial  int
	// Answered counts each caller's answers, complete or partial.
	Answered []int
	// Failed counts typed failures by code and outcome, such as "lost/unknown".
	Failed map[string]int
	// Unexpected lists failures of entries that were not exempt.
	Unexpected []string
	// Violations lists answers that fail CheckReply, and queries that were never answered.
	Violations []string
	Versions   map[core.Version]int
	// MissingReasons counts the reasons for missing shards in partial answers.
	MissingReasons map[core.Reason]int
}

// StartLoad sends queries to the entries in turn, until Stop or the test's end.
func StartLoad(t testing.TB, callers int, entries ...string) *Load {
	return startLoad(t, callers, unlimited, entries)
}

// QueryOnce sends one query from each caller.
func QueryOnce(t testing.TB, callers int, entries ...string) *Load {
	return startLoad(t, callers, 1, entries)
}

func startLoad(t testing.TB, callers, queries int, entries []string) *Load {
	l := &Load{sender: newSender(t, entries), exempt: map[string]bool{}}
	l.tally = Tally{Answered: make([]int, callers), Failed: map[string]int{}, Versions: map[core.Version]int{}, MissingReasons: map[core.Reason]int{}}
	l.start(callers, func(ctx context.Context, caller int) { l.run(ctx, caller, queries) })
	t.Cleanup(func() {
		tally := l.Stop()
		if t.Failed() {
			t.Logf("load: %d complete, %d partial, missing %v, failed %v, versions %v", tally.Complete, tally.Partial, tally.MissingReasons, tally.Failed, tally.Versions)
		}
	})
	return l
}

// CacheAddresses makes the callers follow the documented procedure: they fetch the
// addresses to use from a known entry, cache them for the TTL of the answer, and
// then fetch them again.
func (l *Load) CacheAddresses() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cacheAddresses = true
}

// Exempt allows queries to the entry to fail from now on.
func (l *Load) Exempt(entry string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.exempt[entry] = true
}

// Stop ends the load after the queries in flight and returns the tally.
func (l *Load) Stop() Tally {
	l.stopAndWait()
	return l.Tally()
}

// Tally returns a copy of the current tally.
func (l *Load) Tally() Tally {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	tally := l.tally
	tally.Answered = slices.Clone(tally.Answered)
	tally.Failed = maps.Clone(tally.Failed)
	tally.Versions = maps.Clone(tally.Versions)
	tally.MissingReasons = maps.Clone(tally.MissingReasons)
	return tally
}

// RequireCorrect fails the test if an answer failed CheckReply, a query was never
// answered, or an entry that is not exempt failed a query.
func (l *Load) RequireCorrect() {
	l.t.Helper()
	tally := l.Tally()
	require.Empty(l.t, tally.Violations)
	require.Empty(l.t, tally.Unexpected)
}

// AwaitComplete waits for the given number of further complete answers.
func (l *Load) AwaitComplete(more int) {
	l.t.Helper()
	from := l.Tally().Complete
	Await(l.t, fmt.Sprintf("%d more complete answers", more), func() bool { return l.Tally().Complete >= from+more })
}

// AwaitEachCaller waits until every caller got the given number of further answers.
// A caller with a blocked query gets none, so that every query which was blocked
// at the start has then ended.
func (l *Load) AwaitEachCaller(more int) {
	l.t.Helper()
	from := l.Tally().Answered
	Await(l.t, fmt.Sprintf("%d more answers for each caller", more), func() bool {
		for caller, answered := range l.Tally().Answered {
			if answered < from[caller]+more {
				return false
			}
		}
		return true
	})
}

func (l *Load) run(ctx context.Context, caller, queries int) {
	for number := 0; number < queries && ctx.Err() == nil; number++ {
		entry := l.nextEntry()
		id := fmt.Sprintf("caller-%d-%d", caller, number)
		reply, err := l.query(entry, id)
		if l.record(entry, id, caller, reply, err) {
			continue
		}
		time.Sleep(failurePause)
	}
}

func (l *Load) nextEntry() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cacheAddresses && time.Now().After(l.cachedUntil) {
		l.refreshAddresses()
	}
	return l.nextEntryLocked()
}

// refreshAddresses fetches the entries from a known entry. On failure the old
// entries stay in use, and the next query tries the next entry.
func (l *Load) refreshAddresses() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	answer, err := l.client.Entries(ctx, l.nextEntryLocked())
	if err != nil || len(answer.Entries) == 0 {
		return
	}
	l.entries = nil
	for _, entry := range answer.Entries {
		l.entries = append(l.entries, entry.Address)
	}
	l.cachedUntil = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
}

func (l *Load) query(entry, id string) (api.QueryReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryClientTimeout)
	defer cancel()
	payload, err := json.Marshal(id)
	if err != nil {
		return api.QueryReply{}, err
	}
	return l.client.Query(ctx, entry, Lead, api.QueryRequest{Customer: "southern-table", RequestID: id, Question: payload})
}

// record counts the result of one query; false if the query failed.
func (l *Load) record(entry, id string, caller int, reply api.QueryReply, err error) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.recordFailure(entry, err)
		return false
	}
	if problem := CheckReply(id, reply); problem != nil {
		l.tally.Violations = append(l.tally.Violations, problem.Error())
	}
	l.tally.Answered[caller]++
	l.tally.Versions[reply.Version]++
	if !reply.Coverage.Thin {
		l.tally.Complete++
		return true
	}
	l.tally.Partial++
	for _, missing := range reply.Coverage.Missing {
		l.tally.MissingReasons[missing.Reason]++
	}
	return true
}

func (l *Load) recordFailure(entry string, err error) {
	typed := fault.As(err)
	name := string(typed.Code) + "/" + typed.Outcome.String()
	l.tally.Failed[name]++
	if errors.Is(err, context.DeadlineExceeded) {
		l.tally.Violations = append(l.tally.Violations, "a query to "+entry+" was not answered: "+err.Error())
	}
	if !l.exempt[entry] {
		l.tally.Unexpected = append(l.tally.Unexpected, entry+": "+err.Error())
	}
}

// part is the content of a stand-in replica's part.
type part struct {
	Service  string         `json:"service"`
	Version  core.Version   `json:"version"`
	Seen     int            `json:"dependencies_seen"`
	Versions []core.Version `json:"dependency_versions"`
}

// CheckReply checks that an answer belongs to this query, that its parts and their
// dependencies' parts are of the version that it states, and that its coverage
// counts the parts returned and names the missing ones.
func CheckReply(id string, reply api.QueryReply) error {
	coverage := reply.Coverage
	switch {
	case reply.RequestID != id:
		return fmt.Errorf("query %s got the answer to %s", id, reply.RequestID)
	case coverage.Answered != len(reply.Parts):
		return fmt.Errorf("%s: coverage counts %d parts, the answer has %d", id, coverage.Answered, len(reply.Parts))
	case coverage.Asked != coverage.Answered+len(coverage.Missing):
		return fmt.Errorf("%s: coverage has %d parts asked, %d answered, but %d missing", id, coverage.Asked, coverage.Answered, len(coverage.Missing))
	case coverage.Thin != (coverage.Answered < coverage.Asked):
		return fmt.Errorf("%s: thin is %t with %d of %d parts", id, coverage.Thin, coverage.Answered, coverage.Asked)
	}
	for _, replyPart := range reply.Parts {
		if err := checkPart(reply, replyPart); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
	}
	return nil
}

func checkPart(reply api.QueryReply, replyPart api.Part) error {
	var p part
	if err := json.Unmarshal(replyPart.Data, &p); err != nil {
		return fmt.Errorf("part of %s: %w", replyPart.Service, err)
	}
	if p.Service != replyPart.Service {
		return fmt.Errorf("the part listed for %s is from %s", replyPart.Service, p.Service)
	}
	for _, version := range append(p.Versions, p.Version) {
		if version != reply.Version {
			return fmt.Errorf("version %d in the part of %s, in an answer of version %d", version, replyPart.Service, reply.Version)
		}
	}
	if p.Service == Lead && !reply.Coverage.Thin && p.Seen != Services-1 {
		return fmt.Errorf("complete answer, but the lead service received %d dependencies", p.Seen)
	}
	return nil
}
