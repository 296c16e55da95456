package once

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const caller = core.Customer("ham house")

// desk is a ledger with what a test needs to ask it.
type desk struct {
	t      testing.TB
	issuer *Issuer
	ledger *Ledger
	now    core.Time
	waiter WaiterID
}

func newDesk(t testing.TB, limits Limits) *desk {
	issuer := NewIssuer("dc1.vm-1", 11, []byte("secret"))
	return &desk{t: t, issuer: issuer, ledger: NewLedger(issuer, limits)}
}

func (d *desk) key(id string) Key {
	key, err := ParseKey(d.issuer.Prefix(d.now) + "." + id)
	require.NoError(d.t, err)
	return key
}

func (d *desk) asked(key Key, payload string) Submitted {
	d.waiter++
	return Submitted{Waiter: d.waiter, Key: key, Customer: caller, Service: "invoices", Payload: []byte(payload), Deadline: d.now + time.Second}
}

// step returns the sends and the replies of one event.
func (d *desk) step(e Event) ([]Send, []Reply) {
	var sends []Send
	var replies []Reply
	for _, action := range d.ledger.Step(d.now, e) {
		switch a := action.(type) {
		case Send:
			sends = append(sends, a)
		case Answer:
			replies = append(replies, a.Reply)
		}
	}
	return sends, replies
}

func (d *desk) ask(key Key, payload string) Reply {
	sends, replies := d.step(d.asked(key, payload))
	require.Empty(d.t, sends)
	require.Len(d.t, replies, 1)
	return replies[0]
}

func (d *desk) send(key Key, payload string) Send {
	sends, _ := d.step(d.asked(key, payload))
	require.Len(d.t, sends, 1)
	return sends[0]
}

func (d *desk) runOnce(key Key) {
	send := d.send(key, "12")
	_, replies := d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte(`"kept"`)})
	require.Len(d.t, replies, 1)
}

func requireNotRun(t testing.TB, reply Reply, code fault.Code) {
	t.Helper()
	require.Equal(t, core.NotRun, reply.Outcome, reply.Message)
	require.Equal(t, code, reply.Code)
}

// A caller mistypes its key or sends the bare prefix. A key that parses wrongly could
// name another key's entry, or none, and its request would run a second time.
func TestKeysAreChecked(t *testing.T) {
	d := newDesk(t, DefaultLimits())
	key := d.key("order_7-a")
	require.Equal(t, core.NodeID("dc1.vm-1"), key.Node)
	require.Equal(t, uint64(11), key.Incarnation)
	require.True(t, d.issuer.Authentic(key))
	prefix := d.issuer.Prefix(0)
	faulty := map[string]fault.Code{
		"":              fault.CodeKeyMissing,
		prefix:          fault.CodeKeyInvalid,
		prefix + ".":    fault.CodeKeyInvalid,
		prefix + ".a b": fault.CodeKeyInvalid,
		prefix + "." + strings.Repeat("a", MaxCallerID+1): fault.CodeKeyInvalid,
		"x.1.-1.mac.id":                    fault.CodeKeyInvalid,
		strings.Repeat("x", maxKeyBytes+1): fault.CodeKeyInvalid,
	}
	for text, code := range faulty {
		_, err := ParseKey(text)
		require.Equal(t, code, fault.As(err).Code, text)
		require.Equal(t, core.NotRun, fault.As(err).Outcome)
	}
}

// Someone sends a fee quote under a prefix that no home issued, or with a tick
// of its own to outlive the window. It must not run.
func TestAForgedKeyIsNotRun(t *testing.T) {
	d := newDesk(t, DefaultLimits())
	genuine := d.key("a")
	other := NewIssuer("dc1.vm-1", 11, []byte("guess"))
	forged, err := ParseKey(other.Prefix(0) + ".a")
	require.NoError(t, err)
	requireNotRun(t, d.ask(forged, "12"), fault.CodeKeyInvalid)
	later, err := ParseKey(strings.Replace(genuine.Text, ".0.", ".zz.", 1))
	require.NoError(t, err)
	requireNotRun(t, d.ask(later, "12"), fault.CodeKeyInvalid)
	require.Zero(t, d.ledger.Entries())
}

// A client's answer is lost, and it retries through another entry: first while
// the invoice is being recorded, then after. It is told the one outcome, and an
// invoice with another total under the same key is refused.
func TestRetriesJoinAndRepeat(t *testing.T) {
	d := newDesk(t, DefaultLimits())
	key := d.key("a")
	send := d.send(key, "12")
	sends, replies := d.step(d.asked(key, "12"))
	require.Empty(t, sends)
	require.Empty(t, replies)
	requireNotRun(t, d.ask(key, "13"), fault.CodeKeyReused)
	_, replies = d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte("kept")})
	require.Len(t, replies, 2)
	kept := d.ask(key, "12")
	require.Equal(t, Reply{Outcome: core.Done, Payload: []byte("kept"), Repeated: true}, kept)
	requireNotRun(t, d.ask(key, "13"), fault.CodeKeyReused)
}

// An agency's client repeats a key long after. While the outcome is kept it gets
// it; between the two ages a key without an entry provably never ran; after that
// the entry may have been forgotten, and "not run" would be a guess.
func TestAnExpiredKeyIsAnsweredTruthfully(t *testing.T) {
	limits := DefaultLimits()
	d := newDesk(t, limits)
	ran, never := d.key("ran"), d.key("never")
	d.runOnce(ran)
	d.now = limits.AcceptAge + time.Second
	require.Equal(t, core.Done, d.ask(ran, "12").Outcome)
	requireNotRun(t, d.ask(never, "12"), fault.CodeKeyExpired)
	d.now = limits.RetainAge + time.Second
	d.step(Woken{})
	for _, key := range []Key{ran, never} {
		reply := d.ask(key, "12")
		require.Equal(t, core.Unknown, reply.Outcome)
		require.Equal(t, fault.CodeKeyExpired, reply.Code)
	}
	require.Zero(t, d.ledger.Entries())
	require.Zero(t, d.ledger.Bytes())
	require.Empty(t, d.ledger.accounts)
}

// A customer's share is full, a fee quote is refused as not run, and the agency
// sends it anew under another key. A delayed duplicate of the first arrives when
// there is room again: it must not run, since its caller was told so.
func TestAFullShareRefusesForGood(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxCustomerEntries = 1
	d := newDesk(t, limits)
	d.runOnce(d.key("a"))
	d.now = limits.RetainAge - time.Minute
	refused := d.key("b")
	reply := d.ask(refused, "12")
	requireNotRun(t, reply, fault.CodeOverloaded)
	require.Positive(t, reply.RetryAfter)
	d.now = limits.RetainAge + time.Second
	d.step(Woken{})
	require.Zero(t, d.ledger.Entries())
	requireNotRun(t, d.ask(refused, "12"), fault.CodeOverloaded)
	d.runOnce(d.key("c"))
	for _, limit := range []func(*Limits){func(l *Limits) { l.MaxEntries = 0 }, func(l *Limits) { l.MaxBytes = 100 }, func(l *Limits) { l.MaxCustomerBytes = 100 }} {
		limits := DefaultLimits()
		limit(&limits)
		full := newDesk(t, limits)
		requireNotRun(t, full.ask(full.key("a"), "12"), fault.CodeOverloaded)
	}
}

// A VM is paused between taking an invoice and sending it; when it wakes the
// caller's time is over. Nothing is sent, at the home or at the owner, and what
// was told stays so under retries.
func TestAPausedProcessDoesNotSend(t *testing.T) {
	d := newDesk(t, DefaultLimits())
	key := d.key("a")
	asked := d.asked(key, "12")
	d.now = time.Minute
	sends, replies := d.step(asked)
	require.Empty(t, sends)
	requireNotRun(t, replies[0], fault.CodePastDeadline)
	requireNotRun(t, d.ask(key, "12"), fault.CodePastDeadline)

	permit := NewPermit(time.Second)
	_, refusal := permit.Acquire(time.Minute, true)
	require.Equal(t, &Refusal{Outcome: core.NotRun, Reason: core.ReasonDeadline}, refusal)
	require.Equal(t, core.NotRun, permit.ReportableOutcome(core.NotRun))
}

// An owner is asked to send an invoice again although its first send may have
// run. It must not, and cannot call the whole "not run" any more.
func TestAPermitIsSpentByASendThatMayHaveRun(t *testing.T) {
	permit := NewPermit(time.Second)
	left, refusal := permit.Acquire(400*time.Millisecond, true)
	require.Nil(t, refusal)
	require.Equal(t, 600*time.Millisecond, left)
	permit.ReleaseIfNotRun(core.NotRun)
	_, refusal = permit.Acquire(0, true)
	require.Nil(t, refusal, "a send that is proven not run gives the right back")
	permit.ReleaseIfNotRun(core.Unknown)
	_, refusal = permit.Acquire(0, true)
	require.Equal(t, core.Unknown, refusal.Outcome)
	require.Equal(t, core.Unknown, permit.ReportableOutcome(core.NotRun))
}

// An owner has moved or cannot be reached. The invoice is routed anew a few
// times, and never after a send that may have arrived.
func TestOnlyWhatIsProvenNotRunIsRoutedAnew(t *testing.T) {
	limits := DefaultLimits()
	d := newDesk(t, limits)
	key := d.key("a")
	send := d.send(key, "12")
	for range limits.MaxSends - 1 {
		sends, replies := d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.NotRun, Reason: core.ReasonPeerUnreached})
		require.Empty(t, sends)
		require.Empty(t, replies)
		d.now += limits.ReroutePause
		sends, _ = d.step(Woken{})
		require.Len(t, sends, 1)
		require.Equal(t, send.Rank+1, sends[0].Rank)
		send = sends[0]
	}
	_, replies := d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Unknown, Reason: core.ReasonPeerLost})
	require.Equal(t, core.Unknown, replies[0].Outcome)
	require.Equal(t, core.Unknown, d.ask(key, "12").Outcome)
	_, replies = d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done})
	require.Empty(t, replies)
	require.Equal(t, core.Done, d.ask(key, "12").Outcome, "a late reply amends the tombstone")
}

// A home restarts under its address, or stops as planned: a retry of a key that
// it ran is told "unknown" by the new process and the kept outcome by the
// successor, and neither runs it.
func TestAGoneHomeIsNeverReplaced(t *testing.T) {
	d := newDesk(t, DefaultLimits())
	key, open := d.key("a"), d.key("b")
	d.runOnce(key)
	d.send(open, "12")
	d.step(Stopping{})
	requireNotRun(t, d.ask(d.key("c"), "12"), fault.CodeDraining)

	restarted := &desk{t: t, ledger: NewLedger(NewIssuer("dc1.vm-1", 12, []byte("new")), DefaultLimits())}
	reply := restarted.ask(key, "12")
	require.Equal(t, core.Unknown, reply.Outcome)
	require.Equal(t, fault.CodeHomeGone, reply.Code)

	successor := &desk{t: t, ledger: NewLedger(NewIssuer("vm-2", 3, []byte("new")), DefaultLimits())}
	d.now = time.Minute
	require.Equal(t, 2, successor.ledger.Inherit(0, d.ledger.Records(d.now)))
	kept := successor.ask(key, "12")
	require.Equal(t, core.Done, kept.Outcome)
	require.True(t, kept.Repeated)
	require.Equal(t, core.Unknown, successor.ask(open, "12").Outcome)
	requireNotRun(t, successor.ask(key, "13"), fault.CodeKeyReused)
	require.Len(t, successor.ledger.Records(0), 2, "a successor that stops passes them on")
	successor.now = DefaultLimits().RetainAge - time.Minute + time.Second
	require.Equal(t, core.Unknown, successor.ask(key, "12").Outcome)
}

// A home stops and hands its outcomes over; entries ask before and after their view
// lacks it. Were the two to choose different nodes, a retry would find nothing.
func TestTheSuccessorFollowsFromTheView(t *testing.T) {
	nodes := []route.Node{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}}
	with, ok := Successor(route.NewView(nodes), "vm-1")
	require.True(t, ok)
	without, _ := Successor(route.NewView(nodes[1:]), "vm-1")
	require.Equal(t, with, without, "the home and the entries agree before and after it has left")
	_, ok = Successor(route.NewView(nodes[:1]), "vm-1")
	require.False(t, ok)
}

func fill(d *desk, count int) {
	for i := range count {
		key := d.key(fmt.Sprint("id-", i))
		send := d.send(key, "12")
		d.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte(`{"recorded":true}`)})
	}
}

func BenchmarkSubmitThroughTheLedger(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxEntries, limits.MaxBytes, limits.MaxCustomerEntries, limits.MaxCustomerBytes = 1<<30, 1<<50, 1<<30, 1<<50
	d := newDesk(b, limits)
	b.ReportAllocs()
	b.ResetTimer()
	fill(d, b.N)
}

// BenchmarkEntryBytes reports the heap that a finished entry keeps.
func BenchmarkEntryBytes(b *testing.B) {
	const entries = 10_000
	var before, after runtime.MemStats
	for b.Loop() {
		d := newDesk(b, DefaultLimits())
		runtime.GC()
		runtime.ReadMemStats(&before)
		fill(d, entries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		b.ReportMetric(float64(d.ledger.Bytes())/entries, "charged/entry")
	}
}
