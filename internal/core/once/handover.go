package once

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// Record is one kept outcome as a home hands it to a successor.
type Record struct {
	Key      string
	Customer core.Customer
	Digest   Digest
	Reply    Reply
	// Age is the age of the key's prefix, from which the successor tells how
	// long to keep the record on its own clock.
	Age time.Duration
}

// Records returns all that a successor needs: the outcomes kept here, those
// inherited, and an "unknown" for each request that still has no outcome.
func (l *Ledger) Records(now core.Time) []Record {
	records := make([]Record, 0, len(l.entries)+len(l.inherited.kept))
	for _, e := range l.entries {
		outcome := e.reply
		if e.run != nil {
			outcome = Reply{Outcome: core.Unknown, Code: fault.CodeLost, Message: "the home stopped while the request ran"}
		}
		records = append(records, Record{Key: e.key, Customer: e.customer, Digest: e.digest, Reply: outcome, Age: now - (e.forgetAt - l.limits.RetainAge)})
	}
	for key, kept := range l.inherited.kept {
		records = append(records, Record{Key: key, Customer: kept.customer, Digest: kept.digest, Reply: kept.reply, Age: now - (kept.until - l.limits.RetainAge)})
	}
	return records
}

// Inherit takes over the outcomes of a home that stops. It returns how many had
// room; a retry of one without room is answered "unknown".
func (l *Ledger) Inherit(now core.Time, records []Record) int {
	taken := 0
	for _, record := range records {
		if l.inherited.add(now, record) {
			taken++
		}
	}
	return taken
}

// inheritance is the read-only outcomes of other homes.
type inheritance struct {
	limits Limits
	kept   map[string]inheritedRecord
	bytes  int
}

type inheritedRecord struct {
	customer core.Customer
	digest   Digest
	reply    Reply
	until    core.Time
}

func newInheritance(limits Limits) inheritance {
	return inheritance{limits: limits, kept: map[string]inheritedRecord{}}
}

func (i *inheritance) add(now core.Time, record Record) bool {
	charge := inheritedCharge(record.Key, record.Reply)
	i.expire(now, charge)
	_, known := i.kept[record.Key]
	if known || len(i.kept) >= i.limits.MaxEntries || i.bytes+charge > i.limits.MaxBytes || record.Age >= i.limits.RetainAge {
		return known
	}
	i.bytes += charge
	i.kept[record.Key] = inheritedRecord{
		customer: record.Customer,
		digest:   record.Digest,
		reply:    record.Reply,
		until:    now + i.limits.RetainAge - record.Age,
	}
	return true
}

func inheritedCharge(key string, reply Reply) int {
	return entryBytes + len(key) + len(reply.Message) + len(reply.Payload)
}

// expire drops what is past its time, once there is no room for charge.
func (i *inheritance) expire(now core.Time, charge int) {
	if len(i.kept) < i.limits.MaxEntries && i.bytes+charge <= i.limits.MaxBytes {
		return
	}
	for key, kept := range i.kept {
		if kept.until <= now {
			i.bytes -= inheritedCharge(key, kept.reply)
			delete(i.kept, key)
		}
	}
}

// lookup answers for a key of another home, or of an earlier incarnation here.
// It never runs anything.
func (i *inheritance) lookup(now core.Time, e Submitted) Reply {
	kept, found := i.kept[e.Key.Text]
	switch {
	case !found || kept.until <= now:
		return Reply{Outcome: core.Unknown, Code: fault.CodeHomeGone, Message: "the home that issued this key is gone: the request may have run"}
	case kept.digest != DigestOf(e.Customer, e.Service, e.Payload):
		return refusal(fault.CodeKeyReused, "the key belongs to a request of another customer, service or payload", 0)
	}
	outcome := kept.reply
	outcome.Repeated = true
	return outcome
}
