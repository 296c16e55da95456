package extra

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

const (
	testWindow    = 10 * time.Second
	testAllowance = 20.0
	testRatio     = 0.1
	testStep      = 100 * time.Millisecond
)

// simNode is a node in virtual time. Its clock starts at startedAt.
type simNode struct {
	startedAt core.Time
	part      AllowancePart
	budget    *Budget
}

// sizeChange records the number of live nodes after a node has joined or left.
type sizeChange struct {
	at    core.Time
	nodes int
}

// simFleet is a fleet whose nodes spend their whole budget unless idle is set.
type simFleet struct {
	random *rand.Rand
	now    core.Time
	nodes  []*simNode
	// sizes is the history of the number of live nodes, oldest first.
	sizes    []sizeChange
	requests []core.Time
	extras   []core.Time
	// idle stops all nodes from sending extra arrivals.
	idle bool
}

// visibleNodes returns the number of nodes that a node sees: the fleet size after a random delay, or 1 if the node started
// within that delay.
func (f *simFleet) visibleNodes(node *simNode) int {
	delay := time.Duration(f.random.IntN(1500)) * time.Millisecond
	if f.now-node.startedAt < delay {
		return 1
	}
	known := 1
	for _, size := range f.sizes {
		if size.at <= f.now-delay {
			known = size.nodes
		}
	}
	return known
}

func (f *simFleet) startNode() {
	f.nodes = append(f.nodes, &simNode{startedAt: f.now, budget: New(Bound{Window: testWindow})})
	f.recordSize()
}

func (f *simFleet) stopNode(index int) {
	f.nodes = slices.Delete(f.nodes, index, index+1)
	f.recordSize()
}

func (f *simFleet) recordSize() { f.sizes = append(f.sizes, sizeChange{f.now, len(f.nodes)}) }

// step advances the clock by testStep. Each node may take a request and, unless the fleet is idle, spends its whole budget.
func (f *simFleet) step() {
	for _, node := range f.nodes {
		nodes := f.visibleNodes(node)
		age := f.now - node.startedAt
		allowance := node.part.Update(testAllowance, Fleet{Entries: nodes, IsEntry: true, Nodes: nodes}, testWindow, age)
		node.budget.SetBound(Bound{Window: testWindow, Ratio: testRatio * RatioUsed, Allowance: allowance})
		if f.random.IntN(4) == 0 {
			node.budget.RecordRequest("s", age)
			f.requests = append(f.requests, f.now)
		}
		for !f.idle && node.budget.Take("s", age) {
			f.extras = append(f.extras, f.now)
		}
	}
	f.now += testStep
}

// requireBound checks the bound over every window that ends at an extra arrival.
func (f *simFleet) requireBound(t *testing.T) {
	t.Helper()
	countWithin := func(times []core.Time, end core.Time) int {
		count := 0
		for _, at := range times {
			if at > end-testWindow && at <= end {
				count++
			}
		}
		return count
	}
	for _, end := range f.extras {
		// A node counts requests over one span more than the window.
		requests := countWithin(f.requests, end) + countWithin(f.requests, end-testWindow) - countWithin(f.requests, end-testWindow-testWindow/spansPerWindow)
		require.LessOrEqual(t, float64(countWithin(f.extras, end)), testRatio*float64(requests)+testAllowance, "at %v", end)
	}
}

// Guards against nodes jointly exceeding the bound when one or all of them restart, are replaced or leave within one
// window.
func TestAFleetThatChangesWithinAWindowKeepsTheBound(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &simFleet{random: rand.New(rand.NewPCG(seed, 1))}
			for range 2 + f.random.IntN(7) {
				f.startNode()
			}
			for ; f.now < 12*time.Second; f.step() {
			}
			changes := 1 + f.random.IntN(8)
			for range changes {
				// Spend the remaining budget just before the change.
				f.idle = false
				f.step()
				switch f.random.IntN(5) {
				case 0:
					// Kill and restart all nodes.
					count := len(f.nodes)
					f.nodes = nil
					for range count {
						f.startNode()
					}
				case 1:
					f.stopNode(f.random.IntN(len(f.nodes)))
					for range f.random.IntN(20) {
						f.step()
					}
					f.startNode()
				case 2:
					// Remove all but two nodes.
					for len(f.nodes) > 2 {
						f.stopNode(0)
					}
				default:
					f.startNode()
					for range f.random.IntN(10) {
						f.step()
					}
					f.stopNode(f.random.IntN(len(f.nodes)))
				}
				f.idle = f.random.IntN(2) == 0
				for range f.random.IntN(90) {
					f.step()
				}
			}
			f.idle = false
			for until := f.now + 15*time.Second; f.now < until; f.step() {
			}
			f.requireBound(t)
		})
	}
}

// Guards against a part that grows before the window has passed, or never grows, after the fleet has shrunk.
func TestAPartGrowsAWindowAfterTheFleetHasShrunk(t *testing.T) {
	var p AllowancePart
	large, small := Fleet{Entries: 4, IsEntry: true, Nodes: 4}, Fleet{Entries: 2, IsEntry: true, Nodes: 2}
	update := func(fleet Fleet, now core.Time) float64 { return p.Update(100, fleet, testWindow, now) }
	require.InDelta(t, 15*initialFraction, update(large, 0), 1e-9)
	require.InDelta(t, 15, update(large, 20*time.Second), 1e-9)
	require.InDelta(t, 15, update(small, 29*time.Second), 1e-9)
	require.InDelta(t, 30, update(small, 31*time.Second), 1e-9)
	require.InDelta(t, 15, update(large, 32*time.Second), 1e-9)
}
