package edge

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/extra"
	"github.com/pistachiopier/pistachiopier/internal/core/outlook"
	"github.com/pistachiopier/pistachiopier/internal/core/placement"
	"github.com/pistachiopier/pistachiopier/internal/core/policy"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// sharedState holds the configuration and the outlook that the node's decisions are based on. It is safe for
// concurrent use.
type sharedState struct {
	now    func() core.Time
	config atomic.Pointer[policy.Config]

	mutex   sync.Mutex
	outlook *outlook.Outlook
}

func newSharedState(dataCentre string, regions map[string]string, bound extra.Bound, now func() core.Time) *sharedState {
	s := &sharedState{now: now, outlook: outlook.New(dataCentre, regions, bound, rand.Float64)}
	s.outlook.Refusals.Offset = rand.Float64()
	return s
}

// plan chooses the services of a request and plans it. The plan has no services if none of the route has a
// positive weight.
func (s *sharedState) plan(request outlook.Request) scatter.Plan {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request.Services = s.outlook.Services(request.Route, request.Arrived)
	return s.outlook.Plan(request)
}

// chooser returns a chooser for the replicas of one request.
func (s *sharedState) chooser(route *policy.Route) scatter.Chooser {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return &lockedChooser{state: s, chooser: s.outlook.Chooser(route)}
}

// lockedChooser calls a chooser under the mutex of the shared state.
type lockedChooser struct {
	state   *sharedState
	chooser scatter.Chooser
}

// Pick implements scatter.Chooser.
func (c *lockedChooser) Pick(service string, tried []string, now core.Time) (replica.Choice, bool) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.chooser.Pick(service, tried, now)
}

// Admit implements scatter.Chooser.
func (c *lockedChooser) Admit(request placement.Request, forecast placement.Forecast, now core.Time) placement.Outcome {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.chooser.Admit(request, forecast, now)
}

// TakeExtra implements scatter.Chooser.
func (c *lockedChooser) TakeExtra(service string, now core.Time) bool {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.chooser.TakeExtra(service, now)
}

// ReturnExtra implements scatter.Chooser.
func (c *lockedChooser) ReturnExtra(service string, now core.Time) {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	c.chooser.ReturnExtra(service, now)
}

// ExtraScarce implements scatter.Chooser.
func (c *lockedChooser) ExtraScarce(service string, now core.Time) bool {
	c.state.mutex.Lock()
	defer c.state.mutex.Unlock()
	return c.chooser.ExtraScarce(service, now)
}

// recordAnswer and recordLateAnswer record the latency of an answer that was awaited, and of an
// answer that was not.
func (s *sharedState) recordAnswer(route *policy.Route, incarnation replica.Incarnation, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outlook.Answered(route, incarnation, latency, s.now())
}

func (s *sharedState) recordLateAnswer(route *policy.Route, incarnation replica.Incarnation, latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outlook.AnsweredLate(route, incarnation, latency, s.now())
}

// excerptParts and recordSkew read and update how the records of a route are distributed over its parts.
func (s *sharedState) excerptParts(route *policy.Route) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.ExcerptParts(route, s.now())
}

func (s *sharedState) recordSkew(route *policy.Route) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outlook.RecordSkew(route, s.now())
}

// pauseAge returns the time since the last known pause of a replica ended; false means that none is known.
func (s *sharedState) pauseAge(incarnation replica.Incarnation) (time.Duration, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.Replicas.PauseAge(incarnation, s.now())
}

// slots returns the number of requests that a replica runs concurrently, 0 if it is not listed here.
func (s *sharedState) slots(incarnation replica.Incarnation) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, _ := s.outlook.Replicas.Get(incarnation.ID)
	return known.Slots
}

// spreadRetryAfter returns the time to tell a caller that is refused for a reason other than load.
func (s *sharedState) spreadRetryAfter(usual, remaining time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.Refusals.Spread(usual, remaining)
}

// callersOverShare and returnsExpected tell operators which callers have more than their share, and about how many
// rejected ones were told to return later.
func (s *sharedState) callersOverShare() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.Callers.OverShare(s.now())
}

// isOverShare reports whether a caller has more than its share.
func (s *sharedState) isOverShare(caller string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.Callers.IsOver(caller, s.now())
}

func (s *sharedState) returnsExpected() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.outlook.ReturnsExpected(s.now())
}

// withReplicas gives access to the replica table under the mutex.
func (s *sharedState) withReplicas(access func(table *replica.Table, now core.Time)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	access(s.outlook.Replicas, s.now())
}
