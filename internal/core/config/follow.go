package config

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Timing of polls and reads.
const (
	// PollWait is the longest time for which a relay holds a poll without a newer text.
	PollWait = 4 * time.Second
	// relaySilenceTimeout is the time without a reply of any relay after which all count as silent.
	// The polls at two relays end alternately, PollWait/2 apart.
	relaySilenceTimeout = PollWait/2 + 500*time.Millisecond
	// pollTimeout is when an unanswered poll is cancelled: the relay, or the connection to it, does
	// not respond.
	pollTimeout = PollWait + time.Second
	// pollRetryDelay is the pause before a relay that failed is polled again.
	pollRetryDelay = time.Second
	// minPollInterval is the least time between two polls of one relay, so that a relay with
	// unusable replies is not polled in a tight loop.
	minPollInterval = 200 * time.Millisecond
	// WatchWait is how long the service holds a watch without a newer text.
	WatchWait = 20 * time.Second
	// maxJitterRatio is the largest part of a wait that is added to it at random.
	maxJitterRatio = 0.25
)

// FollowAction is an output of a Follower, for its caller to carry out.
type FollowAction interface{ followAction() }

// Poll asks a relay to reply once it has a text that supersedes the one at hand, or after Wait.
type Poll struct {
	Node route.Node
	Wait time.Duration
}

// CancelPoll cancels a poll.
type CancelPoll struct{ Node core.NodeID }

// Watch reads the service. With Wait, the service replies once it has a newer text.
type Watch struct{ Wait time.Duration }

// CancelWatch cancels a watch of the service.
type CancelWatch struct{}

func (Poll) followAction()        {}
func (CancelPoll) followAction()  {}
func (Watch) followAction()       {}
func (CancelWatch) followAction() {}

// Jitter returns a number in [0, 1) from a seeded source.
type Jitter func() float64

// Follower decides which source a node follows: the service when the node is a relay or no relay
// answers, the relays otherwise.
type Follower struct {
	self       core.NodeID
	dataCentre string
	jitter     Jitter
	view       *route.View
	relay      bool
	targets    map[core.NodeID]*target
	order      []core.NodeID
	watching   bool
	// readStarted is set once a read of the service was started, serviceAnswered once it answered.
	readStarted     bool
	serviceAnswered bool
	lastReadAt      core.Time
	// lastAnswerAt is when a relay last answered, or when a new relay was added.
	lastAnswerAt core.Time
	// relaysSilent is set while no relay has answered for relaySilenceTimeout.
	relaysSilent bool
	// intervalFactor is the jittered factor applied to the interval before the next read.
	intervalFactor float64
}

// target is a relay that is polled.
type target struct {
	node      route.Node
	polling   bool
	startedAt core.Time
	// answerDueAt is the latest time at which a live relay answers the open poll.
	answerDueAt core.Time
	nextPollAt  core.Time
	// failed is set from a failure to the next answer.
	failed bool
}

// NewFollower returns the follower of a node that knows no other node yet.
func NewFollower(self core.NodeID, dataCentre string, jitter Jitter) *Follower {
	return &Follower{self: self, dataCentre: dataCentre, jitter: jitter, view: route.NewView(nil), targets: map[core.NodeID]*target{}}
}

// Relay reports whether this node is a relay at present.
func (f *Follower) Relay() bool { return f.relay }

// ReadsService reports whether this node reads the service.
func (f *Follower) ReadsService() bool { return f.relay || !f.relayAnswers() }

// View returns the view that the relays were chosen from.
func (f *Follower) View() *route.View { return f.view }

// Targets lists the relays followed, in the order in which they are polled.
func (f *Follower) Targets() []core.NodeID { return f.order }

// SetView applies the current view and revision, which determine the relays. A node with nothing in
// force, revision 0, polls no relay and reads the service.
func (f *Follower) SetView(now core.Time, view *route.View, revision uint64) []FollowAction {
	f.view = view
	var nodes []route.Node
	f.relay = false
	if revision != 0 {
		nodes, f.relay = PollTargets(view, f.self, f.dataCentre, revision)
	}
	wanted := map[core.NodeID]bool{}
	f.order = f.order[:0]
	for _, node := range nodes {
		wanted[node.ID] = true
		f.order = append(f.order, node.ID)
		known := f.targets[node.ID]
		if known == nil || known.node != node {
			f.targets[node.ID] = &target{node: node, nextPollAt: now}
			f.lastAnswerAt = now
		}
	}
	var actions []FollowAction
	for id, known := range f.targets {
		if !wanted[id] {
			delete(f.targets, id)
			if known.polling {
				actions = append(actions, CancelPoll{id})
			}
		}
	}
	return append(actions, f.Tick(now)...)
}

// PollEnded records the end of a poll; ok is false when it got no reply.
func (f *Follower) PollEnded(now core.Time, node core.NodeID, ok bool) []FollowAction {
	known := f.targets[node]
	if known == nil || !known.polling {
		return nil
	}
	known.polling, known.failed = false, !ok
	if !ok {
		known.nextPollAt = now + f.withJitter(pollRetryDelay)
		return f.Tick(now)
	}
	known.nextPollAt = max(now, known.startedAt+minPollInterval)
	f.lastAnswerAt = now
	return f.Tick(now)
}

// ReadEnded records the end of a service read; ok is false when it failed.
func (f *Follower) ReadEnded(now core.Time, ok bool) []FollowAction {
	f.watching = false
	f.serviceAnswered = f.serviceAnswered || ok
	return f.Tick(now)
}

// Resume restarts all polls and reads after the process was paused: the replies to earlier ones may
// have been lost with their connections.
func (f *Follower) Resume(now core.Time) []FollowAction {
	var actions []FollowAction
	f.lastAnswerAt = now
	for _, id := range f.order {
		if t := f.targets[id]; t.polling {
			t.polling, t.nextPollAt = false, now
			actions = append(actions, CancelPoll{id})
		}
	}
	if f.watching {
		actions = append(actions, CancelWatch{})
	}
	return append(actions, f.Tick(now)...)
}

// Tick starts the polls and reads that are due.
func (f *Follower) Tick(now core.Time) []FollowAction {
	var actions []FollowAction
	// Both relays of a data centre may stop responding at once without their links failing. Each
	// poll alone reveals it only by its timeout. The replies of the two relays alternate, so that a
	// gap in them reveals it in half that time.
	f.relaysSilent = now-f.lastAnswerAt >= relaySilenceTimeout
	for _, id := range f.order {
		actions = append(actions, f.poll(now, f.targets[id])...)
	}
	return append(actions, f.watch(now)...)
}

func (f *Follower) poll(now core.Time, t *target) []FollowAction {
	switch {
	case t.polling && now-t.startedAt >= pollTimeout:
		// The relay, or the connection to it, does not respond: the poll is open for longer than
		// any relay holds one.
		t.polling, t.failed = false, true
		t.nextPollAt = now + f.withJitter(pollRetryDelay)
		return []FollowAction{CancelPoll{t.node.ID}}
	case t.polling || now < t.nextPollAt:
		return nil
	}
	wait := f.pollWait(now, t)
	t.polling, t.startedAt, t.answerDueAt = true, now, now+wait
	return []FollowAction{Poll{t.node, wait}}
}

// pollWait makes the polls at the two relays of a follower end alternately: this one ends
// PollWait/2 after the other, or before it when that exceeds PollWait.
func (f *Follower) pollWait(now core.Time, t *target) time.Duration {
	other := f.otherPoll(t)
	if other == nil || other.answerDueAt <= now {
		return PollWait
	}
	wait := other.answerDueAt + PollWait/2 - now
	if wait > PollWait {
		wait -= PollWait
	}
	return max(wait, minPollInterval)
}

// otherPoll returns the other relay of a follower while it is polled.
func (f *Follower) otherPoll(t *target) *target {
	if f.relay || len(f.order) != activeRelays {
		return nil
	}
	for _, id := range f.order {
		if other := f.targets[id]; other != t && other.polling {
			return other
		}
	}
	return nil
}

// watch keeps one read of the service open while this node is a relay or no relay answers. The
// first read returns at once, and so also shows a text that is older than, or differs from, that of
// the peers.
func (f *Follower) watch(now core.Time) []FollowAction {
	wanted := f.ReadsService() || !f.readStarted
	switch {
	case f.watching && !wanted:
		return []FollowAction{CancelWatch{}}
	case f.watching || !wanted || f.readStarted && now < f.lastReadAt+f.readInterval():
		return nil
	}
	f.watching, f.readStarted = true, true
	f.lastReadAt, f.intervalFactor = now, 1+f.jitter()*maxJitterRatio
	if !f.serviceAnswered {
		return []FollowAction{Watch{}}
	}
	return []FollowAction{Watch{Wait: WatchWait}}
}

func (f *Follower) readInterval() time.Duration {
	return time.Duration(f.intervalFactor * float64(MinReadInterval(len(f.view.Nodes()))))
}

// relayAnswers reports whether at least one relay is expected to answer.
func (f *Follower) relayAnswers() bool {
	if f.relaysSilent {
		return false
	}
	for _, t := range f.targets {
		if !t.failed {
			return true
		}
	}
	return false
}

// withJitter adds jitter, so that nodes that lost the same relay do not all poll at the same
// moment.
func (f *Follower) withJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.jitter()*maxJitterRatio*float64(wait))
}
