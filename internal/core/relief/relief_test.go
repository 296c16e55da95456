package relief

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const ms = time.Millisecond

// observe feeds a load each 100 ms from the last observation until a time and returns the last decision.
func observe(m *Monitor, load Load, until core.Time) bool {
	relieved := false
	for now := m.observedAt + 100*ms; now <= until; now += 100 * ms {
		relieved = m.Observe(load, now)
	}
	return relieved
}

var (
	idle = Load{Late: ms, InProgress: 5, Cores: 1}
	busy = Load{Late: 60 * ms, InProgress: 80, Cores: 1}
)

func TestANodeAsksForReliefOnlyAfterLastingOverload(t *testing.T) {
	var m Monitor
	require.False(t, observe(&m, idle, 10*time.Second))
	require.False(t, observe(&m, busy, 10*time.Second+900*ms))
	require.False(t, observe(&m, idle, 12*time.Second), "a short peak is no overload")
	require.True(t, observe(&m, busy, 15*time.Second))
	require.True(t, observe(&m, idle, 17*time.Second), "it keeps asking until callers have new lists")
	require.False(t, observe(&m, idle, 24*time.Second))
}

// A VM is paused or its host is busy: timers fire late although the node has nothing to do.
func TestLateTimersWithoutRequestsAreNoOverload(t *testing.T) {
	var m Monitor
	require.False(t, observe(&m, Load{Late: 500 * ms, InProgress: 3, Cores: 1}, 10*time.Second))
}

// A VM was paused for ten seconds, during which requests have piled up.
func TestOnePauseIsNoOverload(t *testing.T) {
	var m Monitor
	observe(&m, idle, 10*time.Second)
	require.False(t, m.Observe(Load{Late: 10 * time.Second, InProgress: 200, Cores: 1}, 20*time.Second))
	require.False(t, observe(&m, Load{Late: ms, InProgress: 200, Cores: 1}, 30*time.Second))
}

func TestManyRequestsWithTimersInTimeAreNoOverload(t *testing.T) {
	var m Monitor
	require.False(t, observe(&m, Load{Late: 2 * ms, InProgress: 500, Cores: 1}, 10*time.Second))
}

func TestAnswersChangeOnlyWhereAnEntryIsOverloaded(t *testing.T) {
	near, region := []Entry{{Address: "a"}, {Address: "b"}}, []Entry{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	require.Equal(t, []string{"a", "b"}, Select(near, region, nil))
	near[0].Overloaded = true
	require.Equal(t, []string{"b"}, Select(near, region, func() float64 { return 0.9 }))
	require.Equal(t, []string{"a", "b"}, Select(near, region, func() float64 { return 0.1 }), "it keeps some of its callers")
	require.Empty(t, Select(nil, region, nil))
}

func TestIfAllOfADataCentreAreOverloadedItsRegionHelps(t *testing.T) {
	near := []Entry{{Address: "a", Overloaded: true}}
	require.Equal(t, []string{"a", "c"}, Select(near, []Entry{{Address: "a", Overloaded: true}, {Address: "b", Overloaded: true}, {Address: "c"}}, nil))
	require.Equal(t, []string{"a"}, Select(near, []Entry{{Address: "a", Overloaded: true}}, nil), "never an empty answer")
}

// fleet models entries whose timers are late by how far their load exceeds their capacity, and callers who keep lists.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	entries  []*entry
	relief   bool
	now      core.Time
	switches int
}

type entry struct {
	address, dataCentre string
	capacity            float64
	monitor             Monitor
	asks                bool
	load                float64
	// backlog is the work that has come and is not done, in seconds of the node's capacity.
	backlog float64
}

// caller keeps a list of entries for one or three seconds and sends at a rate.
type caller struct {
	dataCentre string
	list       []string
	until      core.Time
	keeps      time.Duration
}

const step = 100 * ms

// run lets the callers of each data centre send at the given rate and returns the mean and the last second's backlog.
func (f *fleet) run(callers []*caller, rate func(dataCentre string, now core.Time) float64, duration time.Duration) (meanBacklog float64) {
	steps := 0
	for end := f.now + duration; f.now < end; f.now += step {
		for _, e := range f.entries {
			e.load = 0
		}
		for _, c := range callers {
			f.refresh(c)
			for _, address := range c.list {
				f.find(address).load += rate(c.dataCentre, f.now) / float64(len(c.list))
			}
		}
		for _, e := range f.entries {
			e.backlog = max(e.backlog+(e.load/e.capacity-1)*step.Seconds(), 0)
			late := time.Duration(min(e.backlog, 1) * float64(100*ms))
			asks := e.monitor.Observe(Load{Late: late, InProgress: int(20 + 100*e.backlog), Cores: 1}, f.now)
			if asks != e.asks {
				f.switches++
			}
			e.asks = asks
			meanBacklog += e.backlog
			steps++
		}
	}
	return meanBacklog / float64(steps)
}

func (f *fleet) refresh(c *caller) {
	if f.now < c.until {
		return
	}
	var near, all []Entry
	for _, e := range f.entries {
		listed := Entry{Address: e.address, Overloaded: f.relief && e.asks}
		all = append(all, listed)
		if e.dataCentre == c.dataCentre {
			near = append(near, listed)
		}
	}
	c.list, c.until = Select(near, all, f.random.Float64), f.now+c.keeps
	require.NotEmpty(f.t, c.list)
}

func (f *fleet) find(address string) *entry {
	for _, e := range f.entries {
		if e.address == address {
			return e
		}
	}
	f.t.Fatal("unknown address " + address)
	return nil
}

func newFleet(t *testing.T, relief bool, entries ...*entry) *fleet {
	t.Helper()
	return &fleet{t: t, random: rand.New(rand.NewPCG(1, 2)), entries: entries, relief: relief, now: time.Second}
}

func callersOf(dataCentres ...string) []*caller {
	var callers []*caller
	for _, dataCentre := range dataCentres {
		for i := range 40 {
			keeps := time.Second
			if i%4 == 0 {
				keeps = 3 * time.Second
			}
			callers = append(callers, &caller{dataCentre: dataCentre, keeps: keeps, until: core.Time(i) * 25 * ms})
		}
	}
	return callers
}

// A VM with half a core stands beside two with one; callers choose one of the three at random.
func TestAWeakEntryBesideStrongOnesIsRelieved(t *testing.T) {
	weakAndStrong := func(relief bool) (float64, int) {
		f := newFleet(t, relief, &entry{address: "weak", dataCentre: "a", capacity: 50}, &entry{address: "s1", dataCentre: "a", capacity: 100}, &entry{address: "s2", dataCentre: "a", capacity: 100})
		// 200 of the capacity of 250 is used: 67 at each entry.
		return f.run(callersOf("a"), func(string, core.Time) float64 { return 5 }, 60*time.Second), f.switches
	}
	without, _ := weakAndStrong(false)
	with, switches := weakAndStrong(true)
	require.Less(t, with, without/5)
	require.LessOrEqual(t, switches, 18, "a second of overload and six of relief alternate at most")
}

// The callers' load moves from one data centre to the next; where it is, it exceeds what the entries there can serve.
func TestAWaveThatMovesIsServedByTheWholeRegion(t *testing.T) {
	dataCentres := []string{"a", "b", "c"}
	wave := func(relief bool) float64 {
		var entries []*entry
		for _, dataCentre := range dataCentres {
			entries = append(entries, &entry{address: dataCentre + "1", dataCentre: dataCentre, capacity: 50}, &entry{address: dataCentre + "2", dataCentre: dataCentre, capacity: 50})
		}
		f := newFleet(t, relief, entries...)
		rate := func(dataCentre string, now core.Time) float64 {
			if dataCentres[int(now/(20*time.Second))%len(dataCentres)] == dataCentre {
				return 130.0 / 40
			}
			return 30.0 / 40
		}
		return f.run(callersOf(dataCentres...), rate, 60*time.Second)
	}
	require.Less(t, wave(true), wave(false)/2)
}

func TestNothingChangesWhileAllHaveRoom(t *testing.T) {
	f := newFleet(t, true, &entry{address: "a1", dataCentre: "a", capacity: 100}, &entry{address: "b1", dataCentre: "b", capacity: 100})
	require.Zero(t, f.run(callersOf("a", "b"), func(string, core.Time) float64 { return 2 }, 30*time.Second))
	require.Zero(t, f.switches)
}
