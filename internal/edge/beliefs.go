package edge

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// beliefs is what a node holds for true while it decides on requests, for use by many of them
// at once.
type beliefs struct {
	now    func() core.Time
	config atomic.Pointer[policy.Config]

	mutex   sync.Mutex
	outlook *outlook.Outlook
}

func newBeliefs(dataCentre string, regions map[string]string, bound extra.Bound, now func() core.Time) *beliefs {
	return &beliefs{now: now, outlook: outlook.New(dataCentre, regions, bound, rand.Float64)}
}

// plan names the services of a request and plans it; no service is an empty list.
func (b *beliefs) plan(ask outlook.Request) scatter.Plan {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	ask.Services = b.outlook.Services(ask.Route, ask.Arrived)
	return b.outlook.Plan(ask)
}

// chooser chooses the replicas of one request.
func (b *beliefs) chooser(route *policy.Route) scatter.Chooser {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return &lockedChooser{beliefs: b, chooser: b.outlook.Chooser(route)}
}

// lockedChooser asks a chooser under the mutex of the beliefs.
type lockedChooser struct {
	beliefs *beliefs
	chooser scatter.Chooser
}

// Pick implements scatter.Chooser.
func (c *lockedChooser) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	c.beliefs.mutex.Lock()
	defer c.beliefs.mutex.Unlock()
	return c.chooser.Pick(service, tried, now)
}

// TakeExtra implements scatter.Chooser.
func (c *lockedChooser) TakeExtra(service string, now core.Time) bool {
	c.beliefs.mutex.Lock()
	defer c.beliefs.mutex.Unlock()
	return c.chooser.TakeExtra(service, now)
}

// ExtraScarce implements scatter.Chooser.
func (c *lockedChooser) ExtraScarce(service string, now core.Time) bool {
	c.beliefs.mutex.Lock()
	defer c.beliefs.mutex.Unlock()
	return c.chooser.ExtraScarce(service, now)
}

// answered and answeredLate learn from an answer that was waited for, and from one that was not.
func (b *beliefs) answered(route *policy.Route, life replica.Incarnation, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outlook.Answered(route, life, took, b.now())
}

func (b *beliefs) answeredLate(route *policy.Route, life replica.Incarnation, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outlook.AnsweredLate(route, life, took, b.now())
}

// excerptParts and skewed ask and tell how the records of a route lie over its parts.
func (b *beliefs) excerptParts(route *policy.Route) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.outlook.ExcerptParts(route, b.now())
}

func (b *beliefs) skewed(route *policy.Route) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.outlook.RecordSkew(route, b.now())
}

// pauseAge tells how long ago a pause of a replica ended that this node knows of.
func (b *beliefs) pauseAge(life replica.Incarnation) (time.Duration, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.outlook.Replicas.PauseAge(life, b.now())
}

// note changes the book under the mutex.
func (b *beliefs) note(change func(book *replica.Table, now core.Time)) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	change(b.outlook.Replicas, b.now())
}
