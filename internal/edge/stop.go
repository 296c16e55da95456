package edge

import (
	"context"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

const (
	// keepFactor is how many times longer than asked some callers keep an address
	// answer.
	keepFactor = 3
	// leaveKnown is the time until the other nodes know that this one leaves.
	leaveKnown = 400 * time.Millisecond
	// lastPart is the share of the time for a stop, one in so many, that is left
	// unused, so that the process ends by itself and is not killed.
	lastPart = 12
)

// stop is the planned stop. The node leaves the address answers and stops being
// ready at once, but serves on for callers that keep old answers; each answer asks
// them to close the connection. Then it takes no new connections, finishes the
// requests in work and ends.
func (n *Node) stop(ctx context.Context) error {
	s := n.settings.Load()
	n.stopping.Store(true)
	n.log.Life("node_stopping", decisionlog.Fields{"in_flight": n.inFlight.Load(), "stop_wait_ms": s.StopWait.Milliseconds()})
	ctx, cancel := context.WithTimeout(ctx, s.StopWait-s.StopWait/lastPart)
	defer cancel()
	if n.members != nil {
		n.members.Leave()
	}
	if n.callers != nil {
		wait.For(ctx, min(leaveKnown+keepFactor*keepSeconds*time.Second, 2*s.StopWait/keepFactor))
		if err := n.callers.shutdown(ctx); err != nil {
			n.log.Life("stop_cut_short", decisionlog.Fields{"in_flight": n.inFlight.Load()})
		}
	}
	n.close()
	n.log.Life("node_stopped", decisionlog.Fields{"in_flight": n.inFlight.Load()})
	n.log.Close(logCloseLimit)
	return nil
}

// close ends the duties, also after a start that failed half-way.
func (n *Node) close() {
	n.cancel()
	n.done.Wait()
	for _, server := range n.others {
		_ = server.Close()
	}
	if n.follower != nil {
		n.follower.Close()
	}
	if n.members != nil {
		n.members.Close()
	}
	if n.server != nil {
		_ = n.server.Close()
	}
	if n.pool != nil {
		_ = n.pool.Close()
	}
	n.replicas.Close()
}
