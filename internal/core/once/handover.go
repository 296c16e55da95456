package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Record is one stored outcome that a stopping home sends to its successor.
type Record struct {
	Key      string
	Customer core.Customer
	Digest   Digest
	Reply    Reply
	// Age is the age of the key's prefix. The successor uses it to compute the expiry
	// time on its own clock.
	Age time.Duration
}

// Records returns the records for a successor: the outcomes stored here, the inherited
// ones, and "unknown" for each request without an outcome.
func (l *Ledger) Records(now core.Time) []Record {
	records := make([]Record, 0, len(l.entries)+len(l.inherited.outcomes))
	for _, e := range l.entries {
		outcome := e.reply
		if e.run != nil {
			outcome = Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "the home node stopped before the request had an outcome"}
		}
		records = append(records, Record{Key: e.key, Customer: e.customer, Digest: e.digest, Reply: outcome, Age: now - (e.expiresAt - l.limits.RetainAge)})
	}
	for key, kept := range l.inherited.outcomes {
		records = append(records, Record{Key: key, Customer: kept.customer, Digest: kept.digest, Reply: kept.reply, Age: now - (kept.expiresAt - l.limits.RetainAge)})
	}
	return records
}

// Inherit stores the outcomes of a stopping home and returns how many are stored. A
// retry of a key that did not fit is answered "unknown".
func (l *Ledger) Inherit(now core.Time, records []Record) int {
	stored := 0
	for _, record := range records {
		if l.inherited.add(now, record) {
			stored++
		}
	}
	return stored
}

// inheritedOutcomes holds the outcomes of other homes. They are read-only.
type inheritedOutcomes struct {
	limits   Limits
	outcomes map[string]inheritedOutcome
	bytes    int
}

type inheritedOutcome struct {
	customer  core.Customer
	digest    Digest
	reply     Reply
	expiresAt core.Time
}

func newInheritedOutcomes(limits Limits) inheritedOutcomes {
	return inheritedOutcomes{limits: limits, outcomes: map[string]inheritedOutcome{}}
}

func (i *inheritedOutcomes) add(now core.Time, record Record) bool {
	charge := inheritedOutcomeBytes(record.Key, record.Reply)
	i.dropExpired(now, charge)
	_, known := i.outcomes[record.Key]
	if known || len(i.outcomes) >= i.limits.MaxEntries || i.bytes+charge > i.limits.MaxBytes || record.Age >= i.limits.RetainAge {
		return known
	}
	i.bytes += charge
	i.outcomes[record.Key] = inheritedOutcome{
		customer:  record.Customer,
		digest:    record.Digest,
		reply:     record.Reply,
		expiresAt: now + i.limits.RetainAge - record.Age,
	}
	return true
}

func inheritedOutcomeBytes(key string, reply Reply) int {
	return entryOverheadBytes + len(key) + len(reply.Message) + len(reply.Payload)
}

// dropExpired deletes expired outcomes if there is no room for another one of the given
// size.
func (i *inheritedOutcomes) dropExpired(now core.Time, charge int) {
	if len(i.outcomes) < i.limits.MaxEntries && i.bytes+charge <= i.limits.MaxBytes {
		return
	}
	for key, kept := range i.outcomes {
		if kept.expiresAt <= now {
			i.bytes -= inheritedOutcomeBytes(key, kept.reply)
			delete(i.outcomes, key)
		}
	}
}

// lookup returns the reply for a key of another home, or of an earlier incarnation of
// this node. It never runs a request.
func (i *inheritedOutcomes) lookup(now core.Time, e Submitted) Reply {
	kept, found := i.outcomes[e.Key.Text]
	switch {
	case !found || kept.expiresAt <= now:
		return Reply{Outcome: core.Unknown, Code: fault.CodeHomeGone, Message: "the home node that issued this key is no longer running: the request may have run"}
	case kept.digest != DigestOf(e.Customer, e.Service, e.Payload):
		return refusal(fault.CodeKeyReused, "the key was already used for a request with another customer, service or payload", 0)
	}
	outcome := kept.reply
	outcome.Repeated = true
	return outcome
}
