// Package observe keeps what operators look at: typed problems with their first
// and last time, and the process's metrics.
package observe

import (
	"sort"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Kind is a kind of problem. The texts are part of the operators' interface;
// docs/OPERATIONS.md says what to do about each.
type Kind string

// The kinds of problem.
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

// ReplicaSubject is the subject of problems of one replica. Whoever reports on a
// replica uses it, so that one dead replica is listed once.
func ReplicaSubject(ref core.ShardRef, address string) string {
	return ref.String() + " at " + address
}

// Problem is one condition of one subject.
type Problem struct {
	Kind    Kind   `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
	// First and Last are when it was seen, on this node's clock.
	First core.Time `json:"first_ns"`
	Last  core.Time `json:"last_ns"`
	Count int       `json:"count"`
	// lapses is when the problem ends by itself; 0 is never.
	lapses core.Time
}

func (p *Problem) lapsed(at core.Time) bool { return p.lapses != 0 && at >= p.lapses }

const maxProblems = 1024

type problemKey struct {
	kind    Kind
	subject string
}

// Problems is a node's register of present problems. It is safe for concurrent
// use and holds at most maxProblems; the rest are counted.
type Problems struct {
	now      func() core.Time
	mutex    sync.Mutex
	present  map[problemKey]*Problem
	overflow int
}

// NewProblems makes an empty register on the given clock.
func NewProblems(now func() core.Time) *Problems {
	return &Problems{now: now, present: map[problemKey]*Problem{}}
}

// Report adds a problem or renews it. It stands until it is cleared.
func (p *Problems) Report(kind Kind, subject, detail string) {
	p.report(kind, subject, detail, 0)
}

// ReportFor adds a problem or renews it. It stands until it is cleared, or until
// it was not renewed for the quiet time: it suits what only traffic shows, since
// without traffic nothing would ever show that it is over.
func (p *Problems) ReportFor(kind Kind, subject, detail string, quiet time.Duration) {
	p.report(kind, subject, detail, quiet)
}

func (p *Problems) report(kind Kind, subject, detail string, quiet time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	at := p.now()
	key := problemKey{kind, subject}
	existing := p.present[key]
	if existing != nil && existing.lapsed(at) {
		delete(p.present, key)
		existing = nil
	}
	if existing == nil && len(p.present) >= maxProblems {
		p.dropLapsed(at)
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
	existing.lapses = 0
	if quiet > 0 {
		existing.lapses = at + quiet
	}
}

func (p *Problems) dropLapsed(at core.Time) {
	for key, one := range p.present {
		if one.lapsed(at) {
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

// List returns the present problems by kind and subject.
func (p *Problems) List() []Problem {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.dropLapsed(p.now())
	list := make([]Problem, 0, len(p.present))
	for _, one := range p.present {
		list = append(list, *one)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Subject < list[j].Subject
	})
	return list
}

// Overflow counts the problems that found the register full.
func (p *Problems) Overflow() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.overflow
}

// Kinds lists every kind of problem.
func Kinds() []Kind {
	return []Kind{
		KindThinService, KindStalledService, KindReplicaDown, KindSilentConnection,
		KindConfigRefused, KindConfigConflict, KindConfigStale, KindConfigReverted,
		KindSplitView, KindPeerUnreachable, KindVMListStale, KindPaused,
		KindCrossedReply, KindOverloaded, KindOutcomeUnknown, KindCertificate,
	}
}
