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

// harness is a ledger with helpers to submit requests to it.
type harness struct {
	t      testing.TB
	issuer *Issuer
	ledger *Ledger
	now    core.Time
	waiter WaiterID
}

func newHarness(t testing.TB, limits Limits) *harness {
	issuer := NewIssuer("dc1.vm-1", 11, []byte("secret"))
	return &harness{t: t, issuer: issuer, ledger: NewLedger(issuer, limits)}
}

func (h *harness) key(id string) Key {
	key, err := ParseKey(h.issuer.Prefix(h.now) + "." + id)
	require.NoError(h.t, err)
	return key
}

func (h *harness) submitted(key Key, payload string) Submitted {
	h.waiter++
	return Submitted{Waiter: h.waiter, Key: key, Customer: caller, Service: "invoices", Payload: []byte(payload), Deadline: h.now + time.Second}
}

// step returns the sends and replies that result from one event.
func (h *harness) step(e Event) ([]Send, []Reply) {
	var sends []Send
	var replies []Reply
	for _, action := range h.ledger.Step(h.now, e) {
		switch a := action.(type) {
		case Send:
			sends = append(sends, a)
		case Answer:
			replies = append(replies, a.Reply)
		}
	}
	return sends, replies
}

func (h *harness) replyTo(key Key, payload string) Reply {
	sends, replies := h.step(h.submitted(key, payload))
	require.Empty(h.t, sends)
	require.Len(h.t, replies, 1)
	return replies[0]
}

func (h *harness) send(key Key, payload string) Send {
	sends, _ := h.step(h.submitted(key, payload))
	require.Len(h.t, sends, 1)
	return sends[0]
}

func (h *harness) runOnce(key Key) {
	send := h.send(key, "12")
	_, replies := h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte(`"kept"`)})
	require.Len(h.t, replies, 1)
}

func requireNotRun(t testing.TB, reply Reply, code fault.Code) {
	t.Helper()
	require.Equal(t, core.NotRun, reply.Outcome, reply.Message)
	require.Equal(t, code, reply.Code)
}

// Guards against malformed keys and bare prefixes being parsed: such a key could name
// another entry, or none, and its request could run a second time.
func TestMalformedKeysAreRefused(t *testing.T) {
	h := newHarness(t, DefaultLimits())
	key := h.key("order_7-a")
	require.Equal(t, core.NodeID("dc1.vm-1"), key.Node)
	require.Equal(t, uint64(11), key.Incarnation)
	require.True(t, h.issuer.Authentic(key))
	prefix := h.issuer.Prefix(0)
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

// Guards against running a request whose prefix was not issued by the home, or whose
// timestamp was changed to extend the accept time.
func TestAForgedKeyIsNotRun(t *testing.T) {
	h := newHarness(t, DefaultLimits())
	genuine := h.key("a")
	other := NewIssuer("dc1.vm-1", 11, []byte("guess"))
	forged, err := ParseKey(other.Prefix(0) + ".a")
	require.NoError(t, err)
	requireNotRun(t, h.replyTo(forged, "12"), fault.CodeKeyInvalid)
	later, err := ParseKey(strings.Replace(genuine.Text, ".0.", ".zz.", 1))
	require.NoError(t, err)
	requireNotRun(t, h.replyTo(later, "12"), fault.CodeKeyInvalid)
	require.Zero(t, h.ledger.Entries())
}

// A caller whose reply was lost retries through another entry, while the request runs
// and after it has ended. It must get the one outcome, and another payload with the
// same key is refused.
func TestRetriesJoinAndRepeat(t *testing.T) {
	h := newHarness(t, DefaultLimits())
	key := h.key("a")
	send := h.send(key, "12")
	sends, replies := h.step(h.submitted(key, "12"))
	require.Empty(t, sends)
	require.Empty(t, replies)
	requireNotRun(t, h.replyTo(key, "13"), fault.CodeKeyReused)
	_, replies = h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte("kept")})
	require.Len(t, replies, 2)
	kept := h.replyTo(key, "12")
	require.Equal(t, Reply{Outcome: core.Done, Payload: []byte("kept"), Repeated: true}, kept)
	requireNotRun(t, h.replyTo(key, "13"), fault.CodeKeyReused)
}

// Guards against a wrong "not run" for an old key. Before RetainAge the stored outcome
// is returned; between AcceptAge and RetainAge a key without an entry never ran; after
// RetainAge its entry may have expired, so the outcome is unknown.
func TestAnExpiredKeyIsAnsweredTruthfully(t *testing.T) {
	limits := DefaultLimits()
	h := newHarness(t, limits)
	ran, never := h.key("ran"), h.key("never")
	h.runOnce(ran)
	h.now = limits.AcceptAge + time.Second
	require.Equal(t, core.Done, h.replyTo(ran, "12").Outcome)
	requireNotRun(t, h.replyTo(never, "12"), fault.CodeKeyExpired)
	h.now = limits.RetainAge + time.Second
	h.step(Woken{})
	for _, key := range []Key{ran, never} {
		reply := h.replyTo(key, "12")
		require.Equal(t, core.Unknown, reply.Outcome)
		require.Equal(t, fault.CodeKeyExpired, reply.Code)
	}
	require.Zero(t, h.ledger.Entries())
	require.Zero(t, h.ledger.Bytes())
	require.Empty(t, h.ledger.usages)
}

// Guards against running a key that was refused as "not run" because its customer's
// share was full: after that reply the caller may have used another key, and a delayed
// duplicate may arrive once there is room again.
func TestAFullShareRefusesForGood(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxCustomerEntries = 1
	h := newHarness(t, limits)
	h.runOnce(h.key("a"))
	h.now = limits.RetainAge - time.Minute
	refused := h.key("b")
	reply := h.replyTo(refused, "12")
	requireNotRun(t, reply, fault.CodeOverloaded)
	require.Positive(t, reply.RetryAfter)
	h.now = limits.RetainAge + time.Second
	h.step(Woken{})
	require.Zero(t, h.ledger.Entries())
	requireNotRun(t, h.replyTo(refused, "12"), fault.CodeOverloaded)
	h.runOnce(h.key("c"))
	for _, limit := range []func(*Limits){func(l *Limits) { l.MaxEntries = 0 }, func(l *Limits) { l.MaxBytes = 100 }, func(l *Limits) { l.MaxCustomerBytes = 100 }} {
		limits := DefaultLimits()
		limit(&limits)
		full := newHarness(t, limits)
		requireNotRun(t, full.replyTo(full.key("a"), "12"), fault.CodeOverloaded)
	}
}

// Guards against sending after the deadline when a VM was paused between receiving a
// request and sending it, at the home or at the owner. Retries must get the same
// outcome.
func TestAPausedProcessDoesNotSend(t *testing.T) {
	h := newHarness(t, DefaultLimits())
	key := h.key("a")
	submitted := h.submitted(key, "12")
	h.now = time.Minute
	sends, replies := h.step(submitted)
	require.Empty(t, sends)
	requireNotRun(t, replies[0], fault.CodePastDeadline)
	requireNotRun(t, h.replyTo(key, "12"), fault.CodePastDeadline)

	permit := NewPermit(time.Second)
	_, refusal := permit.Acquire(time.Minute, true)
	require.Equal(t, &Refusal{Outcome: core.NotRun, Reason: core.ReasonDeadline}, refusal)
	require.Equal(t, core.NotRun, permit.ReportableOutcome(core.NotRun))
}

// Guards against a second send by an owner after a first one that may have run, and
// against reporting "not run" for the request then.
func TestAPermitIsSpentByASendThatMayHaveRun(t *testing.T) {
	permit := NewPermit(time.Second)
	left, refusal := permit.Acquire(400*time.Millisecond, true)
	require.Nil(t, refusal)
	require.Equal(t, 600*time.Millisecond, left)
	permit.ReleaseIfNotRun(core.NotRun)
	_, refusal = permit.Acquire(0, true)
	require.Nil(t, refusal, "a send that is proven not run returns the permit")
	permit.ReleaseIfNotRun(core.Unknown)
	_, refusal = permit.Acquire(0, true)
	require.Equal(t, core.Unknown, refusal.Outcome)
	require.Equal(t, core.Unknown, permit.ReportableOutcome(core.NotRun))
}

// If an owner has moved or cannot be reached, the request is rerouted a limited number
// of times, and never after a send that may have arrived.
func TestOnlyWhatIsProvenNotRunIsRoutedAnew(t *testing.T) {
	limits := DefaultLimits()
	h := newHarness(t, limits)
	key := h.key("a")
	send := h.send(key, "12")
	for range limits.MaxSends - 1 {
		sends, replies := h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.NotRun, Reason: core.ReasonPeerUnreached})
		require.Empty(t, sends)
		require.Empty(t, replies)
		h.now += limits.ReroutePause
		sends, _ = h.step(Woken{})
		require.Len(t, sends, 1)
		require.Equal(t, send.Rank+1, sends[0].Rank)
		send = sends[0]
	}
	_, replies := h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Unknown, Reason: core.ReasonPeerLost})
	require.Equal(t, core.Unknown, replies[0].Outcome)
	require.Equal(t, core.Unknown, h.replyTo(key, "12").Outcome)
	_, replies = h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done})
	require.Empty(t, replies)
	require.Equal(t, core.Done, h.replyTo(key, "12").Outcome, "a late reply replaces the unknown outcome")
}

// Guards against running a key of a home that restarted or stopped as planned: a retry
// gets "unknown" from the new process and the stored outcome from the successor.
func TestAGoneHomeIsNeverReplaced(t *testing.T) {
	h := newHarness(t, DefaultLimits())
	key, open := h.key("a"), h.key("b")
	h.runOnce(key)
	h.send(open, "12")
	h.step(Stopping{})
	requireNotRun(t, h.replyTo(h.key("c"), "12"), fault.CodeDraining)

	restarted := &harness{t: t, ledger: NewLedger(NewIssuer("dc1.vm-1", 12, []byte("new")), DefaultLimits())}
	reply := restarted.replyTo(key, "12")
	require.Equal(t, core.Unknown, reply.Outcome)
	require.Equal(t, fault.CodeHomeGone, reply.Code)

	successor := &harness{t: t, ledger: NewLedger(NewIssuer("vm-2", 3, []byte("new")), DefaultLimits())}
	h.now = time.Minute
	require.Equal(t, 2, successor.ledger.Inherit(0, h.ledger.Records(h.now)))
	kept := successor.replyTo(key, "12")
	require.Equal(t, core.Done, kept.Outcome)
	require.True(t, kept.Repeated)
	require.Equal(t, core.Unknown, successor.replyTo(open, "12").Outcome)
	requireNotRun(t, successor.replyTo(key, "13"), fault.CodeKeyReused)
	require.Len(t, successor.ledger.Records(0), 2, "a successor that stops hands them over again")
	successor.now = DefaultLimits().RetainAge - time.Minute + time.Second
	require.Equal(t, core.Unknown, successor.replyTo(key, "12").Outcome)
}

// Guards against the home and the entries choosing different successors, before and
// after the home has left their views: a retry would then not find the outcomes handed
// over.
func TestHomeAndEntriesAgreeOnTheSuccessor(t *testing.T) {
	nodes := []route.Node{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}}
	with, ok := Successor(route.NewView(nodes), "vm-1")
	require.True(t, ok)
	without, _ := Successor(route.NewView(nodes[1:]), "vm-1")
	require.Equal(t, with, without, "the home and the entries agree before and after the home has left")
	_, ok = Successor(route.NewView(nodes[:1]), "vm-1")
	require.False(t, ok)
}

func finishKeys(h *harness, count int) {
	for i := range count {
		key := h.key(fmt.Sprint("id-", i))
		send := h.send(key, "12")
		h.step(SendEnded{Key: key.Text, Send: send.Send, Outcome: core.Done, Payload: []byte(`{"recorded":true}`)})
	}
}

func BenchmarkSubmitThroughTheLedger(b *testing.B) {
	limits := DefaultLimits()
	limits.MaxEntries, limits.MaxBytes, limits.MaxCustomerEntries, limits.MaxCustomerBytes = 1<<30, 1<<50, 1<<30, 1<<50
	h := newHarness(b, limits)
	b.ReportAllocs()
	b.ResetTimer()
	finishKeys(h, b.N)
}

// BenchmarkEntryBytes reports the heap bytes per finished entry.
func BenchmarkEntryBytes(b *testing.B) {
	const entries = 10_000
	var before, after runtime.MemStats
	for b.Loop() {
		h := newHarness(b, DefaultLimits())
		runtime.GC()
		runtime.ReadMemStats(&before)
		finishKeys(h, entries)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/entries, "B/entry")
		b.ReportMetric(float64(h.ledger.Bytes())/entries, "charged/entry")
	}
}
