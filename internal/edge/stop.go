package edge

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	// addressCacheFactor is how many times longer than asked some callers cache a list of addresses.
	addressCacheFactor = 3
	// leavePropagationTime is the time until the other nodes know that this node is leaving.
	leavePropagationTime = 400 * time.Millisecond
	// The stop time divided by stopReserveDivisor is left unused, so that the process exits by itself before
	// it is killed.
	stopReserveDivisor = 12
	// finalAnswerTime is reserved for the final answers of requests still in flight, before the connections
	// are closed.
	finalAnswerTime = 100 * time.Millisecond
	// flushTimeout bounds the wait for the other nodes to read the last replies.
	flushTimeout = 200 * time.Millisecond
	// delegatedPollInterval is how often a stopping node checks whether it still makes sends for other nodes.
	delegatedPollInterval = 5 * time.Millisecond
)

// stop performs a planned stop. The node leaves the address lists and reports that it is not ready at once,
// but keeps serving callers with cached addresses; each answer asks them to close the connection. It then
// accepts no new connections, finishes the requests in flight and stops. Requests still in flight near the
// end of the stop time are answered as at their time limit: a caller whose connection is cut would not know
// whether its request was read.
func (n *Node) stop(ctx context.Context) error {
	s := n.settings.Load()
	n.stopping.Store(true)
	n.log.Life("node_stopping", decisionlog.Fields{"in_flight": n.inFlight.Load(), "stop_wait_ms": s.StopWait.Milliseconds()})
	limit := s.StopWait - s.StopWait/stopReserveDivisor
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	expiry := time.AfterFunc(limit-finalAnswerTime, func() { close(n.stopExpiring) })
	defer expiry.Stop()
	if n.members != nil {
		n.members.Leave()
	}
	if n.callers != nil {
		wait.For(ctx, min(leavePropagationTime+addressCacheFactor*addressTTLSeconds*time.Second, 2*s.StopWait/addressCacheFactor))
		if err := n.callers.shutdown(ctx); err != nil {
			n.log.Life("stop_cut_short", decisionlog.Fields{"in_flight": n.inFlight.Load()})
		}
		n.finishDelegated(ctx)
	}
	n.close()
	n.logTraffic()
	n.log.Life("node_stopped", decisionlog.Fields{"in_flight": n.inFlight.Load()})
	n.log.Close(logCloseTimeout)
	return nil
}

// finishDelegated finishes the sends that this node makes for other nodes. Further ones are refused: their entry nodes send
// to the replicas themselves. If the links were closed at once, the answers of other nodes would lack the parts.
func (n *Node) finishDelegated(ctx context.Context) {
	n.refusesDelegated.Store(true)
	for n.peerServer.OpenRequests() > 0 && wait.For(ctx, delegatedPollInterval) {
	}
	if remaining := n.delegatedGroups.Load(); remaining > 0 {
		n.log.Life("stop_cut_short", decisionlog.Fields{"delegated_groups": remaining})
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	n.peerServer.FlushReplies(ctx)
}

// close stops all components, also after a start that failed part-way.
func (n *Node) close() {
	n.cancel()
	n.done.Wait()
	for _, server := range n.auxiliary {
		server.close()
	}
	if n.follower != nil {
		n.follower.Close()
	}
	if n.members != nil {
		n.members.Close()
		n.quarantine.Close()
	}
	if n.peerServer != nil {
		_ = n.peerServer.Close()
	}
	if n.peerPool != nil {
		_ = n.peerPool.Close()
	}
	n.replicas.Close()
}
