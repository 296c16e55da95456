package edge

import (
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core/relief"
	"github.com/pistachiopier/pistachiopier/internal/decisionlog"
)

const (
	// loadInterval is the interval at which the node observes its own load.
	loadInterval = 100 * time.Millisecond
	// reliefTTL is how long other nodes heed a request for relief that is not renewed, for example since the node has
	// ended.
	reliefTTL = 10 * time.Second
)

// watchLoad observes the node's load and asks for relief while it is overloaded, until the node ends. Directories hear of
// it by drain marks of the node's caller address, which heartbeats spread.
func (n *Node) watchLoad() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	monitor, last := relief.Monitor{}, n.now()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		late := max(now-last-loadInterval, 0)
		last = now
		n.setRelief(monitor.Observe(relief.Load{Late: late, InProgress: int(n.inFlight.Load() + n.delegatedGroups.Load()), Cores: n.settings.Load().Cores}, now))
		n.timerLateness.Store(monitor.Lateness().Microseconds())
	}
}

// setRelief asks the other nodes for relief, or withdraws that. A mark that holds is renewed each time; the membership
// spreads only what is due.
func (n *Node) setRelief(asks bool) {
	address := n.settings.Load().CallerAddress
	if asks || n.asksRelief.Load() {
		n.members.MarkDraining(address, asks)
	}
	if n.asksRelief.Swap(asks) == asks {
		return
	}
	event := "relief_ended"
	if asks {
		event = "relief_asked"
		n.metrics.countReliefAsked()
	}
	n.log.Life(event, decisionlog.Fields{"address": address, "in_flight": n.inFlight.Load(), "delegated_groups": n.delegatedGroups.Load(), "timers_late_us": n.timerLateness.Load()})
}

// relievedEntries lists the caller addresses of entries that ask for relief, as far as this node has heard.
func (n *Node) relievedEntries() []string {
	addresses := []string{}
	for _, entry := range n.currentEntries() {
		if n.views.Draining(entry.CallerAddress) {
			addresses = append(addresses, entry.CallerAddress)
		}
	}
	return addresses
}
