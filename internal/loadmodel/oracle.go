package loadmodel

import (
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// refusalPenalty is the penalty of a replica that refuses all requests, in units of the mean work.
const refusalPenalty = 5

// oracle chooses replicas by their actual state. It is a reference for comparison, not a possible policy.
type oracle struct {
	scatter.Chooser
	node     *node
	meanWork time.Duration
	// speedsOnly leaves out the noise of the moment and pauses.
	speedsOnly bool
}

// Pick implements scatter.Chooser.
func (o oracle) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	var best *upstream
	bestWait := time.Duration(0)
	for _, u := range o.node.simulation.byService[service] {
		if slices.Contains(tried, u.replica.ID) || u.down {
			continue
		}
		wait := u.completionDelay(now, o.meanWork) + time.Duration(u.refuseShare*refusalPenalty)*o.meanWork
		if o.speedsOnly {
			wait = u.expectedCompletion(o.meanWork)
		}
		if u.replica.DataCentre != o.node.dataCentre.Name {
			wait += 2 * remoteDelay
		}
		if best == nil || wait < bestWait {
			best, bestWait = u, wait
		}
	}
	if best == nil {
		return replica.Choice{}, false
	}
	return replica.Choice{Replica: best.replica, Remote: best.replica.DataCentre != o.node.dataCentre.Name, ExpectedLatency: bestWait, Busy: true}, true
}
