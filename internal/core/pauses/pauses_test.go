package pauses

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	answerTime    = 7 * time.Millisecond
	pauseInterval = 4500 * time.Millisecond
	pauseDuration = 200 * time.Millisecond
)

// pausingReplica is a replica that pauses at its own phase.
type pausingReplica struct {
	phase  time.Duration
	pauses Phase
	// waiting holds the requests that wait for the end of the pause.
	waiting []delayedRequest
}

// delayedRequest is a request that waited until the end of a pause.
type delayedRequest struct {
	end   core.Time
	delay time.Duration
}

// observeEnded reports the waiting requests that have ended by now to the estimator.
func (p *pausingReplica) observeEnded(e *Estimator, now core.Time) {
	for len(p.waiting) > 0 && p.waiting[0].end <= now {
		e.Observe(&p.pauses, p.waiting[0].end, p.waiting[0].delay)
		p.waiting = p.waiting[1:]
	}
}

// remainingPause returns the remaining time of the pause, 0 if the replica is not paused.
func (p *pausingReplica) remainingPause(now core.Time) time.Duration {
	return max(pauseDuration-(now+p.phase)%pauseInterval, 0)
}

// simulate sends requests to the replicas at random times, at the given rate for each, and reports the delayed ones
// to the estimator. It returns how many requests met a pause, and for how many of them the pause was predicted.
func simulate(e *Estimator, replicas []*pausingReplica, random *rand.Rand, from, until core.Time, perSecond float64) (met, expected int) {
	const step = 5 * time.Millisecond
	for now := from; now < until; now += step {
		for _, p := range replicas {
			p.observeEnded(e, now)
			if random.Float64() >= perSecond*step.Seconds() {
				continue
			}
			delay := p.remainingPause(now)
			if delay > 0 {
				met++
				if e.ExpectsPause(&p.pauses, answerTime, now) {
					expected++
				}
			}
			if delay >= 5*answerTime {
				jitter := time.Duration(random.IntN(8)) * time.Millisecond
				p.waiting = append(p.waiting, delayedRequest{now + delay + jitter, delay})
			}
		}
	}
	return met, expected
}

func newReplicas(random *rand.Rand, count int) []*pausingReplica {
	var all []*pausingReplica
	for range count {
		all = append(all, &pausingReplica{phase: time.Duration(random.Float64() * float64(pauseInterval))})
	}
	return all
}

// trainedEstimator returns an estimator after half a minute of regular pauses, and the interval that it found.
func trainedEstimator(t testing.TB, seed uint64) (*Estimator, time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	var e Estimator
	simulate(&e, newReplicas(random, 90), random, 0, 30*time.Second, 2)
	interval, _ := e.Interval()
	require.NotZero(t, interval)
	return &e, interval
}

// Replicas pause for 200 ms every 4.5 s, each at its own phase, and a node sends two requests a second to each, so that
// it meets one pause in three. The observed pauses must predict most of the later ones, or each query waits for seven
// replicas. Pattern: regular pauses under a light load of each replica.
func TestRegularPausesArePredicted(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var e Estimator
	all := newReplicas(random, 90)
	simulate(&e, all, random, 0, 15*time.Second, 2)
	got, duration := e.Interval()
	require.InDelta(t, pauseInterval.Seconds(), got.Seconds(), 0.015)
	require.InDelta(t, pauseDuration.Seconds(), duration.Seconds(), 0.05)
	met, expected := simulate(&e, all, random, 15*time.Second, 60*time.Second, 2)
	require.Greater(t, float64(expected), 0.8*float64(met))
}

func TestFalsePredictionsAreRare(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var e Estimator
	all := newReplicas(random, 90)
	simulate(&e, all, random, 0, 20*time.Second, 2)
	wrong, checks := 0, 0
	for now := 20 * time.Second; now < 30*time.Second; now += 3 * time.Millisecond {
		for _, p := range all {
			if p.remainingPause(now) == 0 && p.remainingPause(now+answerTime) == 0 {
				checks++
				if e.ExpectsPause(&p.pauses, answerTime, now) {
					wrong++
				}
			}
		}
	}
	require.Less(t, float64(wrong), 0.03*float64(checks))
}

// Replicas are slow or overloaded at random times. An interval inferred from such delays would divert requests from
// replicas that are not paused.
func TestNothingIsExpectedOfRandomDelays(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var e Estimator
	phases := make([]Phase, 90)
	for now := core.Time(0); now < 120*time.Second; now += 10 * time.Millisecond {
		for i := range phases {
			if random.Float64() < 0.004 {
				e.Observe(&phases[i], now, time.Duration(50+random.IntN(200))*time.Millisecond)
			}
		}
		got, _ := e.Interval()
		require.Zero(t, got)
	}
}

// Apart from the pauses, some requests hang for seconds. Their waits must not count towards the duration of pauses, or
// replicas that are not paused would be avoided for much of the time.
func TestHangingRequestsDoNotLengthenThePauses(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	e, _ := trainedEstimator(t, 8)
	phases := make([]Phase, 90)
	for i := range 180 {
		end := 31*time.Second + time.Duration(i/90*9000+random.IntN(8000))*time.Millisecond
		e.Observe(&phases[i%90], end, 900*time.Millisecond)
	}
	_, duration := e.Interval()
	require.Less(t, duration, 2*pauseDuration)
}

// A replica moves to another machine and then pauses at another phase. A single long answer must not change the
// predicted phase, since it may have another cause; a second one at the same phase must.
func TestANewPhaseIsAcceptedWhenItIsObservedAgain(t *testing.T) {
	e, interval := trainedEstimator(t, 4)
	var phase Phase
	first := 31 * time.Second
	e.Observe(&phase, first, pauseDuration)
	at := func(end core.Time) core.Time { return end + interval - pauseDuration/2 }
	require.True(t, e.ExpectsPause(&phase, answerTime, at(first)))
	outlier := first + 2*time.Second
	e.Observe(&phase, outlier, pauseDuration)
	require.True(t, e.ExpectsPause(&phase, answerTime, at(first)))
	require.False(t, e.ExpectsPause(&phase, answerTime, at(outlier)))
	e.Observe(&phase, outlier+interval, pauseDuration)
	require.True(t, e.ExpectsPause(&phase, answerTime, at(outlier+interval)))
	require.False(t, e.ExpectsPause(&phase, answerTime, first+2*interval-pauseDuration/2))
}

func TestAPredictionExpiresUnlessAPauseIsObservedAgain(t *testing.T) {
	e, interval := trainedEstimator(t, 5)
	var phase Phase
	e.Observe(&phase, 31*time.Second, pauseDuration)
	require.True(t, e.ExpectsPause(&phase, answerTime, 31*time.Second+expiryIntervals*interval-pauseDuration/2))
	require.False(t, e.ExpectsPause(&phase, answerTime, 31*time.Second+(expiryIntervals+1)*interval-pauseDuration/2))
}

// A node that has just started has observed no pause; it uses the observation of another node.
func TestAPauseObservedByAnotherNodeIsUsed(t *testing.T) {
	e, interval := trainedEstimator(t, 6)
	var phase Phase
	now := 31 * time.Second
	e.ObserveRemote(&phase, time.Second, now)
	require.True(t, e.ExpectsPause(&phase, answerTime, now-time.Second+interval-pauseDuration/2))
	age, known := phase.Age(now)
	require.True(t, known)
	require.Equal(t, time.Second, age)
	e.ObserveRemote(&phase, 3*time.Second, now)
	age, _ = phase.Age(now)
	require.Equal(t, time.Second, age, "an older pause changes nothing")
}

func BenchmarkObserve(b *testing.B) {
	var e Estimator
	var phase Phase
	now := core.Time(0)
	for b.Loop() {
		now += pauseInterval
		e.Observe(&phase, now, pauseDuration)
	}
}

func BenchmarkExpectsPause(b *testing.B) {
	e, _ := trainedEstimator(b, 7)
	phase := Phase{lastEnd: 29 * time.Second}
	for b.Loop() {
		e.ExpectsPause(&phase, answerTime, 31*time.Second)
	}
}
