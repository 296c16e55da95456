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
	// lastAnswers is the time for giving the requests that are still in work their final
	// answers, before the connections close.
	lastAnswers = 100 * time.Millisecond
)

// stop is the planned stop. The node leaves the address answers and stops being
// ready at once, but serves on for callers that keep old answers; each answer asks
// them to close the connection. Then it takes no new connections, finishes the
// requests in work and ends. What a replica has not answered by then ends as at its time
// limit: a caller whose connection is cut could not tell whether its request was read.
func (n *Node) stop(ctx context.Context) error {
	s := n.settings.Load()
	n.stopping.Store(true)
	n.log.Life("node_stopping", decisionlog.Fields{"in_flight": n.inFlight.Load(), "stop_wait_ms": s.StopWait.Milliseconds()})
	limit := s.StopWait - s.StopWait/lastPart
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	calling := time.AfterFunc(limit-lastAnswers, func() { close(n.lastCall) })
	defer calling.Stop()
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
	n.tellTraffic()
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
		n.quarantine.Close()
	}
	if n.server != nil {
		_ = n.server.Close()
	}
	if n.pool != nil {
		_ = n.pool.Close()
	}
	n.replicas.Close()
}
