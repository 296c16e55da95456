package config

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

// Times of following.
const (
	// PollWait is the longest that a relay holds a poll that has nothing new.
	PollWait = 4 * time.Second
	// quietAfter is the time without an answer of any relay after which all
	// count as silent. The polls at two relays end by turns, PollWait/2 apart.
	quietAfter = PollWait/2 + 500*time.Millisecond
	// pollOverdue is when a poll without an answer is given up: the relay or
	// the connection to it is silent.
	pollOverdue = PollWait + time.Second
	// pollRetry is the pause before a relay that failed is polled again.
	pollRetry = time.Second
	// leastPoll is the least time between two polls of one relay: one whose
	// answers cannot be used must not be asked in a tight loop.
	leastPoll = 200 * time.Millisecond
	// WatchWait is how long the service holds a watch that has nothing new.
	WatchWait = 20 * time.Second
	// maxJitter is the largest part of a wait that is added to it at random.
	maxJitter = 0.25
)

// FollowAction is something that a Follower wants done.
type FollowAction interface{ followAction() }

// Poll asks a relay to answer when it has a text above the one at hand, or
// after Wait.
type Poll struct {
	Node route.Node
	Wait time.Duration
}

// CancelPoll withdraws a poll.
type CancelPoll struct{ Node core.NodeID }

// Watch reads the service: with Wait, until it has something new.
type Watch struct{ Wait time.Duration }

// CancelWatch withdraws a waiting watch of the service.
type CancelWatch struct{}

func (Poll) followAction()        {}
func (CancelPoll) followAction()  {}
func (Watch) followAction()       {}
func (CancelWatch) followAction() {}

// Jitter returns a number in [0, 1) from a seeded source.
type Jitter func() float64

// Follower decides whom a node follows: the service when it is a relay or when
// no relay answers, the relays otherwise.
type Follower struct {
	self       core.NodeID
	dataCentre string
	jitter     Jitter
	view       *route.View
	relay      bool
	targets    map[core.NodeID]*target
	order      []core.NodeID
	watching   bool
	// attempted is set once the service was read, shown once it answered.
	attempted bool
	shown     bool
	lastRead  core.Time
	// heard is when a relay answered last, or when a new one was first asked.
	heard core.Time
	// quiet is set while no relay has answered for quietAfter.
	quiet bool
	// share is the part of the gap to keep before the next read, with jitter.
	share float64
}

// target is a relay that is followed.
type target struct {
	node    route.Node
	polling bool
	since   core.Time
	// until is when a live relay answers the open poll at the latest.
	until core.Time
	next  core.Time
	// failed is set from a failure to the next answer.
	failed bool
}

// NewFollower makes the follower of a node that knows no other node yet.
func NewFollower(self core.NodeID, dataCentre string, jitter Jitter) *Follower {
	return &Follower{self: self, dataCentre: dataCentre, jitter: jitter, view: route.NewView(nil), targets: map[core.NodeID]*target{}}
}

// Relay reports whether this node is a relay at present.
func (f *Follower) Relay() bool { return f.relay }

// ReadsService reports whether this node reads the service.
func (f *Follower) ReadsService() bool { return f.relay || !f.followed() }

// View returns the view that the relays were chosen from.
func (f *Follower) View() *route.View { return f.view }

// Targets lists the relays followed, in the order in which they are asked.
func (f *Follower) Targets() []core.NodeID { return f.order }

// SetView takes the present view and revision: both choose the relays. A node with
// nothing in force, revision 0, follows nobody and reads the service.
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
			f.targets[node.ID] = &target{node: node, next: now}
			f.heard = now
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

// PollEnded records the end of a poll; ok is false when no answer came.
func (f *Follower) PollEnded(now core.Time, node core.NodeID, ok bool) []FollowAction {
	known := f.targets[node]
	if known == nil || !known.polling {
		return nil
	}
	known.polling, known.failed = false, !ok
	if !ok {
		known.next = now + f.spread(pollRetry)
		return f.Tick(now)
	}
	known.next = max(now, known.since+leastPoll)
	f.heard = now
	return f.Tick(now)
}

// ReadEnded records the end of a service read; ok is false when it failed.
func (f *Follower) ReadEnded(now core.Time, ok bool) []FollowAction {
	f.watching = false
	f.shown = f.shown || ok
	return f.Tick(now)
}

// Resume starts everything anew after the process was paused: the answers to what
// was asked before the pause may have been lost with their connections.
func (f *Follower) Resume(now core.Time) []FollowAction {
	var actions []FollowAction
	f.heard = now
	for _, id := range f.order {
		if t := f.targets[id]; t.polling {
			t.polling, t.next = false, now
			actions = append(actions, CancelPoll{id})
		}
	}
	if f.watching {
		actions = append(actions, CancelWatch{})
	}
	return append(actions, f.Tick(now)...)
}

// Tick starts what is due.
func (f *Follower) Tick(now core.Time) []FollowAction {
	var actions []FollowAction
	// Both relays of a data centre may go silent at once without their links
	// breaking. Each poll alone shows it only when it is overdue; a pause in the
	// answers of the two, which come by turns, shows it in half that time.
	f.quiet = now-f.heard >= quietAfter
	for _, id := range f.order {
		actions = append(actions, f.poll(now, f.targets[id])...)
	}
	return append(actions, f.watch(now)...)
}

func (f *Follower) poll(now core.Time, t *target) []FollowAction {
	switch {
	case t.polling && now-t.since >= pollOverdue:
		// The relay, or the connection to it, went silent: it shows as a poll
		// that is held longer than any relay holds one.
		t.polling, t.failed = false, true
		t.next = now + f.spread(pollRetry)
		return []FollowAction{CancelPoll{t.node.ID}}
	case t.polling || now < t.next:
		return nil
	}
	wait := f.pollWait(now, t)
	t.polling, t.since, t.until = true, now, now+wait
	return []FollowAction{Poll{t.node, wait}}
}

// pollWait makes the polls at the two relays of a follower end by turns: this
// one ends PollWait/2 after the other, or before it when that is too far away.
func (f *Follower) pollWait(now core.Time, t *target) time.Duration {
	other := f.otherPoll(t)
	if other == nil || other.until <= now {
		return PollWait
	}
	wait := other.until + PollWait/2 - now
	if wait > PollWait {
		wait -= PollWait
	}
	return max(wait, leastPoll)
}

// otherPoll returns the one other target of a follower while it is polled.
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

// watch keeps one read of the service open while this node is a relay or
// follows none. The first read is a plain one, which also shows a text that is
// older than, or differs from, what the peers have.
func (f *Follower) watch(now core.Time) []FollowAction {
	wanted := f.ReadsService() || !f.attempted
	switch {
	case f.watching && !wanted:
		return []FollowAction{CancelWatch{}}
	case f.watching || !wanted || f.attempted && now < f.lastRead+f.gap():
		return nil
	}
	f.watching, f.attempted = true, true
	f.lastRead, f.share = now, 1+f.jitter()*maxJitter
	if !f.shown {
		return []FollowAction{Watch{}}
	}
	return []FollowAction{Watch{Wait: WatchWait}}
}

func (f *Follower) gap() time.Duration {
	return time.Duration(f.share * float64(MinReadInterval(len(f.view.Nodes()))))
}

// followed reports whether a relay is believed to answer.
func (f *Follower) followed() bool {
	if f.quiet {
		return false
	}
	for _, t := range f.targets {
		if !t.failed {
			return true
		}
	}
	return false
}

// spread adds jitter, so that nodes that lost the same relay do not all come at
// the same moment.
func (f *Follower) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(f.jitter()*maxJitter*float64(wait))
}
