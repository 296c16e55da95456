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
	// askGuard is far above every timeout of the texts: a question that runs
	// into it never got its answer.
	askGuard   = 20 * time.Second
	errorPause = 5 * time.Millisecond
	endless    = math.MaxInt
)

// Load asks the Lead service without end from several callers, each with one
// question at a time, and checks every answer.
type Load struct {
	*sender
	tally Tally
	// exempt holds the entries whose lost answers are expected.
	exempt map[string]bool
	// keep is set when the entries come from address answers, kept until keepTo.
	keep   bool
	keepTo time.Time
}

// Tally is what a load has seen.
type Tally struct {
	Complete int
	Partial  int
	// Answered counts each caller's answers, whole or thin.
	Answered []int
	// Failed counts typed failures by code and outcome, such as "lost/unknown".
	Failed map[string]int
	// Unexpected lists failures of entries that were not exempt.
	Unexpected []string
	// Violations lists answers that break a promise, and questions without an end.
	Violations    []string
	Versions map[core.Version]int
	// MissingReasons counts why shards were missing from thin answers.
	MissingReasons map[core.Reason]int
}

// StartLoad begins to ask the entries in turn, until Stop or the test's end.
func StartLoad(t testing.TB, callers int, entries ...string) *Load {
	return startLoad(t, callers, endless, entries)
}

// QueryOnce asks one question from each caller.
func QueryOnce(t testing.TB, callers int, entries ...string) *Load {
	return startLoad(t, callers, 1, entries)
}

func startLoad(t testing.TB, callers, questions int, entries []string) *Load {
	l := &Load{sender: newSender(t, entries), exempt: map[string]bool{}}
	l.tally = Tally{Answered: make([]int, callers), Failed: map[string]int{}, Versions: map[core.Version]int{}, MissingReasons: map[core.Reason]int{}}
	l.start(callers, func(ctx context.Context, caller int) { l.run(ctx, caller, questions) })
	t.Cleanup(func() {
		tally := l.Stop()
		if t.Failed() {
			t.Logf("load: %d whole, %d thin, missing %v, failed %v, versions %v", tally.Complete, tally.Partial, tally.MissingReasons, tally.Failed, tally.Versions)
		}
	})
	return l
}

// CacheAddresses makes the callers do as callers should: they ask an entry that
// they know for the addresses to use, keep the answer for as long as it says, and
// then ask again.
func (l *Load) CacheAddresses() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.keep = true
}

// Exempt says that answers of the entry may be lost from now on.
func (l *Load) Exempt(entry string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.exempt[entry] = true
}

// Stop ends the load, once every question has its answer, and returns the tally.
func (l *Load) Stop() Tally {
	l.end()
	return l.Tally()
}

// Tally returns a copy of what was seen so far.
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

// RequireCorrect fails the test when an answer broke a promise, a question had no
// end, or an entry that is not exempt failed one.
func (l *Load) RequireCorrect() {
	l.t.Helper()
	tally := l.Tally()
	require.Empty(l.t, tally.Violations)
	require.Empty(l.t, tally.Unexpected)
}

// AwaitComplete waits for so many more whole answers.
func (l *Load) AwaitComplete(more int) {
	l.t.Helper()
	from := l.Tally().Complete
	Await(l.t, fmt.Sprintf("%d more whole answers", more), func() bool { return l.Tally().Complete >= from+more })
}

// AwaitEachCaller waits until every caller got so many more answers: a caller whose
// question is held up gets none meanwhile, so that all that were held up at the
// start have ended.
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

func (l *Load) run(ctx context.Context, caller, questions int) {
	for number := 0; number < questions && ctx.Err() == nil; number++ {
		entry := l.entry()
		id := fmt.Sprintf("caller-%d-%d", caller, number)
		reply, err := l.ask(entry, id)
		if l.record(entry, id, caller, reply, err) {
			continue
		}
		time.Sleep(errorPause)
	}
}

func (l *Load) entry() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.keep && time.Now().After(l.keepTo) {
		l.renewAddresses()
	}
	return l.turn()
}

// renewAddresses asks one of the known entries. When that fails the old answer
// is used once more, and the next question asks the next entry.
func (l *Load) renewAddresses() {
	ctx, cancel := context.WithTimeout(context.Background(), readLimit)
	defer cancel()
	answer, err := l.client.Entries(ctx, l.turn())
	if err != nil || len(answer.Entries) == 0 {
		return
	}
	l.entries = nil
	for _, entry := range answer.Entries {
		l.entries = append(l.entries, entry.Address)
	}
	l.keepTo = time.Now().Add(time.Duration(answer.TTLMs) * time.Millisecond)
}

func (l *Load) ask(entry, id string) (api.QueryReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askGuard)
	defer cancel()
	question, err := json.Marshal(id)
	if err != nil {
		return api.QueryReply{}, err
	}
	return l.client.Query(ctx, entry, Lead, api.QueryRequest{Customer: "southern-table", RequestID: id, Question: question})
}

// record tallies the end of one question; false when it failed.
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
		l.tally.Violations = append(l.tally.Violations, "a question to "+entry+" had no end: "+err.Error())
	}
	if !l.exempt[entry] {
		l.tally.Unexpected = append(l.tally.Unexpected, entry+": "+err.Error())
	}
}

// part is what a stand-in upstream puts into its part.
type part struct {
	Service  string         `json:"service"`
	Version  core.Version   `json:"version"`
	Seen     int            `json:"dependencies_seen"`
	Versions []core.Version `json:"dependency_versions"`
}

// CheckReply tests an answer against the promises: it is to this question, its parts
// and their dependencies' parts are of the one version that it states, and its
// coverage counts the parts at hand and names the missing ones.
func CheckReply(id string, reply api.QueryReply) error {
	coverage := reply.Coverage
	switch {
	case reply.RequestID != id:
		return fmt.Errorf("asked as %s, answered as %s", id, reply.RequestID)
	case coverage.Answered != len(reply.Parts):
		return fmt.Errorf("%s: coverage counts %d, the answer holds %d parts", id, coverage.Answered, len(reply.Parts))
	case coverage.Asked != coverage.Answered+len(coverage.Missing):
		return fmt.Errorf("%s: asked %d, answered %d, but %d named missing", id, coverage.Asked, coverage.Answered, len(coverage.Missing))
	case coverage.Thin != (coverage.Answered < coverage.Asked):
		return fmt.Errorf("%s: thin is %t with %d of %d", id, coverage.Thin, coverage.Answered, coverage.Asked)
	}
	for _, one := range reply.Parts {
		if err := checkPart(reply, one); err != nil {
			return fmt.Errorf("%s: %w", id, err)
		}
	}
	return nil
}

func checkPart(reply api.QueryReply, written api.Part) error {
	var p part
	if err := json.Unmarshal(written.Data, &p); err != nil {
		return fmt.Errorf("part of %s: %w", written.Service, err)
	}
	if p.Service != written.Service {
		return fmt.Errorf("the part of %s is one of %s", written.Service, p.Service)
	}
	for _, version := range append(p.Versions, p.Version) {
		if version != reply.Version {
			return fmt.Errorf("version %d in the part of %s of an answer of version %d", version, written.Service, reply.Version)
		}
	}
	if p.Service == Lead && !reply.Coverage.Thin && p.Seen != Services-1 {
		return fmt.Errorf("a whole answer whose lead saw %d dependencies", p.Seen)
	}
	return nil
}
