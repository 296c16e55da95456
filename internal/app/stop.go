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
	idlePollInterval = 5 * time.Millisecond
	// finishRepliesTimeout limits the wait for peers to read the last replies.
	finishRepliesTimeout = time.Second
	// leaveSpreadBase and leaveSpreadPerRound bound the time that the leaving mark takes to spread.
	leaveSpreadBase     = 300 * time.Millisecond
	leaveSpreadPerRound = 200 * time.Millisecond
	// keepAcceptingDivisor sets the fraction of the stop's remaining time, 1/2, that may be
	// spent on accepting callers with old addresses; the rest is for requests in flight.
	keepAcceptingDivisor = 2
)

// stop performs the planned stop, in an order that cuts off no requests. Peers
// stop routing here and entries stop listing this node immediately, but callers
// keep addresses for EntriesTTL, so the node continues to serve for that time. It
// then accepts no new callers, finishes the requests of callers and peers, hands
// over stored outcomes and stops the components last. The context bounds the whole stop.
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
	wait.For(ctx, n.keepAcceptingTime(ctx))
	if err := n.caller.Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("event", "stop_cut_short").Error("requests of callers were cut off: stop_wait has expired")
	}
	n.home.Stop(ctx)
	n.owner.DrainSubmits(ctx)
	for ctx.Err() == nil && n.inFlight() > 0 {
		wait.For(ctx, idlePollInterval)
	}
	n.finishReplies(ctx)
	if remaining := n.inFlight(); remaining > 0 {
		n.log.WithFields(logrus.Fields{"event": "stop_cut_short", "in_flight": remaining}).Error("requests of peers were cut off: stop_wait has expired")
	}
}

// finishReplies waits until peers have read the last replies. The wait is short, so
// that a peer whose process is paused does not delay the stop.
func (n *Node) finishReplies(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishRepliesTimeout)
	defer cancel()
	n.server.FlushReplies(ctx)
}

// keepAcceptingTime returns how long callers with old addresses are still served. An
// entry lists this node until the leaving mark reaches it, and callers keep that answer
// for EntriesTTL from then on. If EntriesTTL were counted from the start of the stop
// instead, the connections of such callers would be refused.
func (n *Node) keepAcceptingTime(ctx context.Context) time.Duration {
	keep := leaveSpreadTime(len(n.belief.View().Nodes())) + n.settings.EntriesTTL
	if deadline, ok := ctx.Deadline(); ok {
		keep = min(keep, time.Until(deadline)/keepAcceptingDivisor)
	}
	return keep
}

// leaveSpreadTime returns the time until every node has received the leaving mark. It
// grows by one round of heartbeats each time the fleet doubles;
// docs/design/membership.md has the measured times.
func leaveSpreadTime(nodes int) time.Duration {
	return leaveSpreadBase + time.Duration(bits.Len(uint(nodes)))*leaveSpreadPerRound
}

// inFlight returns the number of queries of callers and requests of peers in flight.
func (n *Node) inFlight() int { return n.entry.InFlight() + n.server.OpenRequests() }

// close stops the components. It also cleans up after a failed start, when some of
// them are nil. The home is closed last.
func (n *Node) close(ctx context.Context) error {
	var callers error
	if n.caller != nil {
		callers = n.caller.Shutdown(ctx)
	}
	if n.home != nil {
		defer n.home.Close()
	}
	n.closeComponents()
	servers := n.closeServers()
	n.upstream.Close()
	n.platform.Close()
	return errors.Join(callers, servers)
}

func (n *Node) closeComponents() {
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

// closeServers closes the links to peers and the operator interface.
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

// closeConnectionsWhenStopping makes answers ask callers to close their connections. If the
// server closed an idle connection itself, that could coincide with the caller's next
// request, which would fail although another node could have served it.
func (n *Node) closeConnectionsWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Kill closes the node's connections immediately, without a planned stop. Tests use it
// to simulate a lost node; the application must still be stopped afterwards.
func (n *Node) Kill() {
	n.members.Close()
	_ = n.server.Close()
	_ = n.pool.Close()
	_ = n.caller.Close()
	n.ready.Store(false)
}
