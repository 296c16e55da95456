package pauses

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	work   = 7 * time.Millisecond
	every  = 4500 * time.Millisecond
	length = 200 * time.Millisecond
)

// machine is a replica that pauses at its own phase.
type machine struct {
	phase time.Duration
	clock Phase
	// waiting are the requests that stand until the pause is over.
	waiting []seen
}

// seen is a request that stood for a time until the end of a pause.
type seen struct {
	end   core.Time
	stood time.Duration
}

// tell lets the requests that stood end.
func (m *machine) tell(r *Estimator, now core.Time) {
	for len(m.waiting) > 0 && m.waiting[0].end <= now {
		r.Observe(&m.clock, m.waiting[0].end, m.waiting[0].stood)
		m.waiting = m.waiting[1:]
	}
}

// paused is how long the machine stands still from a moment on; 0 while it works.
func (m *machine) paused(now core.Time) time.Duration {
	return max(length-(now+m.phase)%every, 0)
}

// watch lets requests come to machines at random, so many a second to each, and tells the rhythm those
// that stood. It returns how many came into a pause, and how many of them were expected to.
func watch(r *Estimator, machines []*machine, random *rand.Rand, from, until core.Time, perSecond float64) (met, expected int) {
	const step = 5 * time.Millisecond
	for now := from; now < until; now += step {
		for _, m := range machines {
			m.tell(r, now)
			if random.Float64() >= perSecond*step.Seconds() {
				continue
			}
			stood := m.paused(now)
			if stood > 0 {
				met++
				if r.ExpectsPause(&m.clock, work, now) {
					expected++
				}
			}
			if stood >= 5*work {
				jitter := time.Duration(random.IntN(8)) * time.Millisecond
				m.waiting = append(m.waiting, seen{now + stood + jitter, stood})
			}
		}
	}
	return met, expected
}

func machines(random *rand.Rand, count int) []*machine {
	var all []*machine
	for range count {
		all = append(all, &machine{phase: time.Duration(random.Float64() * float64(every))})
	}
	return all
}

// learnt is a rhythm after half a minute of regular pauses, and the interval that it found.
func learnt(t testing.TB, seed uint64) (*Estimator, time.Duration) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, seed))
	var r Estimator
	watch(&r, machines(random, 90), random, 0, 30*time.Second, 2)
	interval, _ := r.Interval()
	require.NotZero(t, interval)
	return &r, interval
}

// Replicas stand still for 200 ms each 4.5 s, each at its own time, and a node sends each two
// requests a second: it meets one pause in three. What it met must tell most of the later ones, or each
// question waits for seven replicas anew.
// Pattern: regular pauses under a light load of each replica.
func TestRegularPausesAreExpected(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var r Estimator
	all := machines(random, 90)
	watch(&r, all, random, 0, 15*time.Second, 2)
	got, lasts := r.Interval()
	require.InDelta(t, every.Seconds(), got.Seconds(), 0.015)
	require.InDelta(t, length.Seconds(), lasts.Seconds(), 0.05)
	met, expected := watch(&r, all, random, 15*time.Second, 60*time.Second, 2)
	require.Greater(t, float64(expected), 0.8*float64(met))
}

func TestAWorkingReplicaIsSeldomExpectedToPause(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	var r Estimator
	all := machines(random, 90)
	watch(&r, all, random, 0, 20*time.Second, 2)
	wrong, asked := 0, 0
	for now := 20 * time.Second; now < 30*time.Second; now += 3 * time.Millisecond {
		for _, m := range all {
			if m.paused(now) == 0 && m.paused(now+work) == 0 {
				asked++
				if r.ExpectsPause(&m.clock, work, now) {
					wrong++
				}
			}
		}
	}
	require.Less(t, float64(wrong), 0.03*float64(asked))
}

// Long answers come at random: replicas are slow or overloaded now and then. An interval read into
// them would send requests away from replicas that work.
func TestNothingIsExpectedOfRandomDelays(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var r Estimator
	clocks := make([]Phase, 90)
	for now := core.Time(0); now < 120*time.Second; now += 10 * time.Millisecond {
		for i := range clocks {
			if random.Float64() < 0.004 {
				r.Observe(&clocks[i], now, time.Duration(50+random.IntN(200))*time.Millisecond)
			}
		}
		got, _ := r.Interval()
		require.Zero(t, got)
	}
}

// Beside the pauses, some requests hang for seconds. Their times say nothing of how long a pause lasts: taken for
// it, replicas that work would be left alone for a good part of the time.
func TestHangingRequestsDoNotStretchThePauses(t *testing.T) {
	random := rand.New(rand.NewPCG(8, 8))
	r, _ := learnt(t, 8)
	clocks := make([]Phase, 90)
	for i := range 180 {
		end := 31*time.Second + time.Duration(i/90*9000+random.IntN(8000))*time.Millisecond
		r.Observe(&clocks[i%90], end, 900*time.Millisecond)
	}
	_, lasts := r.Interval()
	require.Less(t, lasts, 2*length)
}

// One replica's machine is moved and pauses at another phase since. A single long answer with another
// cause must not move the expectation, a second one at the same phase must.
func TestAMovedPauseIsBelievedWhenItIsSeenAgain(t *testing.T) {
	r, interval := learnt(t, 4)
	var c Phase
	first := 31 * time.Second
	r.Observe(&c, first, length)
	at := func(end core.Time) core.Time { return end + interval - length/2 }
	require.True(t, r.ExpectsPause(&c, work, at(first)))
	stray := first + 2*time.Second
	r.Observe(&c, stray, length)
	require.True(t, r.ExpectsPause(&c, work, at(first)))
	require.False(t, r.ExpectsPause(&c, work, at(stray)))
	r.Observe(&c, stray+interval, length)
	require.True(t, r.ExpectsPause(&c, work, at(stray+interval)))
	require.False(t, r.ExpectsPause(&c, work, first+2*interval-length/2))
}

func TestAnExpectationEndsWhenItIsNotSeenAgain(t *testing.T) {
	r, interval := learnt(t, 5)
	var c Phase
	r.Observe(&c, 31*time.Second, length)
	require.True(t, r.ExpectsPause(&c, work, 31*time.Second+lastsFor*interval-length/2))
	require.False(t, r.ExpectsPause(&c, work, 31*time.Second+(lastsFor+1)*interval-length/2))
}

// A node that has just started knows no pause of a replica; the node next to it does.
func TestAPauseThatAnotherNodeSawIsTakenOver(t *testing.T) {
	r, interval := learnt(t, 6)
	var c Phase
	now := 31 * time.Second
	r.ObserveRemote(&c, time.Second, now)
	require.True(t, r.ExpectsPause(&c, work, now-time.Second+interval-length/2))
	age, known := c.Age(now)
	require.True(t, known)
	require.Equal(t, time.Second, age)
	r.ObserveRemote(&c, 3*time.Second, now)
	age, _ = c.Age(now)
	require.Equal(t, time.Second, age, "an older one is no news")
}

func BenchmarkSeen(b *testing.B) {
	var r Estimator
	var c Phase
	now := core.Time(0)
	for b.Loop() {
		now += every
		r.Observe(&c, now, length)
	}
}

func BenchmarkPausing(b *testing.B) {
	r, _ := learnt(b, 7)
	c := Phase{end: 29 * time.Second}
	for b.Loop() {
		r.ExpectsPause(&c, work, 31*time.Second)
	}
}
