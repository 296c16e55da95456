package app

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	idlePoll = 5 * time.Millisecond
	// finishLimit bounds the wait for peers to read the last replies.
	finishLimit = time.Second
	// leaveFirst and leaveRound bound how fast the mark of leaving spreads.
	leaveFirst = 300 * time.Millisecond
	leaveRound = 200 * time.Millisecond
	// keepShare is the part of the time given for a stop that may go to callers
	// with old addresses; the rest is for what is in flight.
	keepShare = 2
)

// stop is the planned stop. The order guards against cut-off requests: peers
// stop routing here and entries stop naming this node at once, but callers keep
// the addresses that they got for EntriesTTL, so the node serves on for that
// long; then it takes no new callers, finishes what callers and peers wait for,
// hands over and only then ends the duties. The context bounds it all.
func (n *Node) stop(ctx context.Context) error {
	n.stopping.Store(true)
	if n.ready.Load() {
		n.drain(ctx)
	}
	return n.close(ctx)
}

func (n *Node) drain(ctx context.Context) {
	n.members.Leave()
	n.log.WithField("event", "node_leaving").Info("planned stop: no longer an owner, still serving")
	wait.For(ctx, n.keepAccepting(ctx))
	if err := n.caller.Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("event", "stop_cut_short").Error("callers' requests were cut off: stop_wait is over")
	}
	n.home.Stop(ctx)
	n.owner.DrainSubmits(ctx)
	for ctx.Err() == nil && n.inFlight() > 0 {
		wait.For(ctx, idlePoll)
	}
	n.finishReplies(ctx)
	if left := n.inFlight(); left > 0 {
		n.log.WithFields(logrus.Fields{"event": "stop_cut_short", "in_flight": left}).Error("peers' requests were cut off: stop_wait is over")
	}
}

// finishReplies lets peers read what was answered last. A peer that stands still
// must not hold the stop up, so the wait is short.
func (n *Node) finishReplies(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishLimit)
	defer cancel()
	n.server.FlushReplies(ctx)
}

// keepAccepting is how long callers with old addresses are still served. Another
// entry names this node until the mark of its leaving has reached it, and only
// then do its callers' EntriesTTL begin to run out: a node that counted from its
// own first moment of leaving would refuse those callers' connections.
func (n *Node) keepAccepting(ctx context.Context) time.Duration {
	keep := leaveKnown(len(n.belief.View().Nodes())) + n.settings.EntriesTTL
	if deadline, ok := ctx.Deadline(); ok {
		keep = min(keep, time.Until(deadline)/keepShare)
	}
	return keep
}

// leaveKnown is the time until every node has heard that one leaves. It grows by
// a round of heartbeats each time the fleet doubles; docs/design/membership.md
// has the measured times.
func leaveKnown(nodes int) time.Duration {
	return leaveFirst + time.Duration(bits.Len(uint(nodes)))*leaveRound
}

// inFlight counts the questions being answered here and the requests of peers.
func (n *Node) inFlight() int { return n.entry.InFlight() + n.server.OpenRequests() }

// close ends the duties. It also cleans up after a start that failed half-way,
// when some of them are nil. The home ends last.
func (n *Node) close(ctx context.Context) error {
	var callers error
	if n.caller != nil {
		callers = n.caller.Shutdown(ctx)
	}
	if n.home != nil {
		defer n.home.Close()
	}
	n.closeDuties()
	servers := n.closeServers()
	n.upstream.Close()
	n.platform.Close()
	return errors.Join(callers, servers)
}

func (n *Node) closeDuties() {
	if n.members != nil {
		n.members.Close()
		n.quarantine.Close()
	}
	if n.config != nil {
		n.config.Close()
	}
	n.stopOperating()
	if n.entry != nil {
		n.entry.Close()
	}
	if n.owner != nil {
		n.owner.Close()
	}
}

// closeServers ends the links to peers and the operators' interface.
func (n *Node) closeServers() error {
	var failures []error
	if n.server != nil {
		failures = append(failures, n.server.Close())
	}
	if n.pool != nil {
		failures = append(failures, n.pool.Close())
	}
	if n.operator != nil {
		failures = append(failures, n.operator.Close())
	}
	return errors.Join(failures...)
}

// closeWhenLeaving asks callers to close their connections with the answer. An
// idle connection that the server closes by itself may cross with a caller's
// next request, which would then fail although it could have gone elsewhere.
func (n *Node) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Kill ends the node's connections at once, without a planned stop. Tests of lost
// nodes use it; the application's own stop must follow.
func (n *Node) Kill() {
	n.members.Close()
	_ = n.server.Close()
	_ = n.pool.Close()
	_ = n.caller.Close()
	n.ready.Store(false)
}
