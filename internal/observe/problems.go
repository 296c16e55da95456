// Package observe holds the data shown to operators: typed problems with the time
// of their first and last report, and the metrics of the process.
package observe

import (
	"sort"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Kind is a kind of problem. The texts are part of the operators' interface;
// docs/OPERATIONS.md describes the remedy for each.
type Kind string

// Kinds of problems.
const (
	KindThinService      Kind = "thin_service"
	KindStalledService   Kind = "stalled_service"
	KindReplicaDown      Kind = "replica_down"
	KindSilentConnection Kind = "silent_connection"
	KindConfigRefused    Kind = "config_refused"
	KindConfigConflict   Kind = "config_conflict"
	KindConfigStale      Kind = "config_stale"
	KindConfigReverted   Kind = "config_older_offered"
	KindSplitView        Kind = "split_view"
	KindPeerUnreachable  Kind = "peer_unreachable"
	KindVMListStale      Kind = "vm_list_stale"
	KindPaused           Kind = "process_paused"
	KindCrossedReply     Kind = "crossed_reply"
	KindOverloaded       Kind = "overloaded"
	KindOutcomeUnknown   Kind = "outcome_unknown"
	KindCertificate      Kind = "certificate_expiry"
)

// ReplicaSubject returns the subject for problems of one replica. All reports on
// replicas use it, so that a dead replica is listed only once.
func ReplicaSubject(ref core.ShardRef, address string) string {
	return ref.String() + " at " + address
}

// Problem is a condition of one subject that needs an operator's attention.
type Problem struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	// First and Last are the times of the first and last report, on the clock of this node.
	First core.Time `json:"first_ns"`
	Last  core.Time `json:"last_ns"`
	Count int       `json:"count"`
	// expiresAt is the time when the problem ends without a call of Clear; 0 means never.
	expiresAt core.Time
}

func (p *Problem) expired(at core.Time) bool { return p.expiresAt != 0 && at >= p.expiresAt }

const maxProblems = 1024

type problemKey struct {
	kind    Kind
	subject string
}

// Problems is the register of a node's current problems. It is safe for concurrent
// use and holds at most maxProblems; Overflow counts reports above that limit.
type Problems struct {
	now      func() core.Time
	mutex    sync.Mutex
	present  map[problemKey]*Problem
	overflow int
}

// NewProblems returns an empty register that uses the given clock.
func NewProblems(now func() core.Time) *Problems {
	return &Problems{now: now, present: map[problemKey]*Problem{}}
}

// Report adds or renews a problem. The problem stays until it is cleared.
func (p *Problems) Report(kind Kind, subject, detail string) {
	p.report(kind, subject, detail, 0)
}

// ReportWithTTL adds or renews a problem. The problem stays until it is cleared or has
// not been renewed for ttl. It is for problems that only traffic can detect: without
// traffic, no event would show that such a problem is over.
func (p *Problems) ReportWithTTL(kind Kind, subject, detail string, ttl time.Duration) {
	p.report(kind, subject, detail, ttl)
}

func (p *Problems) report(kind Kind, subject, detail string, ttl time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.now()
	key := problemKey{kind, subject}
	existing := p.present[key]
	if existing != nil && existing.expired(at) {
		delete(p.present, key)
		existing = nil
	}
	if existing == nil && len(p.present) >= maxProblems {
		p.dropExpired(at)
	}
	if existing == nil && len(p.present) >= maxProblems {
		p.overflow++
		return
	}
	if existing == nil {
		existing = &Problem{Kind: kind, Subject: subject, First: at}
		p.present[key] = existing
	}
	existing.Detail = detail
	existing.Last = at
	existing.Count++
	existing.expiresAt = 0
	if ttl > 0 {
		existing.expiresAt = at + ttl
	}
}

func (p *Problems) dropExpired(at core.Time) {
	for key, problem := range p.present {
		if problem.expired(at) {
			delete(p.present, key)
		}
	}
}

// Clear removes a problem that is over.
func (p *Problems) Clear(kind Kind, subject string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.present, problemKey{kind, subject})
}

// List returns the current problems, sorted by kind and subject.
func (p *Problems) List() []Problem {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dropExpired(p.now())
	list := make([]Problem, 0, len(p.present))
	for _, problem := range p.present {
		list = append(list, *problem)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Subject < list[j].Subject
	})
	return list
}

// Overflow returns the number of reports that were dropped because the register was full.
func (p *Problems) Overflow() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.overflow
}

// Kinds returns all kinds of problems.
func Kinds() []Kind {
	return []Kind{
		KindThinService, KindStalledService, KindReplicaDown, KindSilentConnection,
		KindConfigRefused, KindConfigConflict, KindConfigStale, KindConfigReverted,
		KindSplitView, KindPeerUnreachable, KindVMListStale, KindPaused,
		KindCrossedReply, KindOverloaded, KindOutcomeUnknown, KindCertificate,
	}
}
