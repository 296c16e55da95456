package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/core/route"
)

func reading(revision, digest uint64, source Source) *Reading {
	return &Reading{Mark: Mark{revision, digest}, Source: source, Catalog: &catalog.Catalog{}}
}

func invalid(revision uint64) *Reading {
	return &Reading{Mark: Mark{revision, 1}, Fault: "line 1: wrong"}
}

func testNodes(dataCentres, each int) []route.Node {
	var nodes []route.Node
	for d := range dataCentres {
		for n := range each {
			nodes = append(nodes, route.Node{ID: core.NodeID(fmt.Sprintf("vm-%d-%03d", d, n)), DataCentre: fmt.Sprintf("dc%d", d)})
		}
	}
	return nodes
}

// running returns a machine that has the marked text in force.
func running(t *testing.T, revision, digest uint64) *Machine {
	t.Helper()
	m := New(0)
	m.AskPeers(0, nil)
	m.Offer(0, reading(revision, digest, FromService))
	require.Equal(t, Mark{revision, digest}, m.InForce())
	return m
}

func problems(actions []Action) (raised, cleared []Problem) {
	for _, action := range actions {
		switch a := action.(type) {
		case Report:
			raised = append(raised, a.Problem)
		case Clear:
			cleared = append(cleared, a.Problem)
		}
	}
	return raised, cleared
}

// An operator rolls the service back, or one of its replicas lags: it offers revision 9 while 10 is
// in force. If 9 were adopted, a drained replica would get work again. Later the service offers 10,
// and then 11.
func TestRolledBackServiceIsNotFollowed(t *testing.T) {
	m := running(t, 10, 1)
	raised, _ := problems(m.Offer(1, reading(9, 1, FromService)))
	assert.Equal(t, []Problem{ProblemOlder}, raised)
	assert.Equal(t, uint64(10), m.InForce().Revision)
	assert.Equal(t, uint64(9), m.WatchAfter(), "a watch above 10 could return revision 9 repeatedly")
	_, cleared := problems(m.Offer(2, reading(10, 1, FromService)))
	assert.Equal(t, []Problem{ProblemOlder}, cleared)
	m.Offer(3, reading(11, 1, FromService))
	assert.Equal(t, uint64(11), m.InForce().Revision)
}

// An operator publishes an invalid revision 8 while 5 is in force, and peers have a valid revision
// 7. The node keeps 5 in force, reports the problem, and adopts each next valid revision, even one
// below the refused revision when peers have it.
func TestInvalidRevisionIsRefusedAndTheNextTaken(t *testing.T) {
	m := running(t, 5, 1)
	raised, _ := problems(m.Offer(1, invalid(8)))
	assert.Equal(t, []Problem{ProblemRefused}, raised)
	assert.Equal(t, "holding", m.State())
	assert.Equal(t, uint64(5), m.InForce().Revision)
	assert.Equal(t, uint64(8), m.WatchAfter())
	_, cleared := problems(m.Offer(2, reading(7, 1, FromPeer)))
	assert.Empty(t, cleared, "8 is still refused")
	assert.Equal(t, uint64(7), m.InForce().Revision)
	_, cleared = problems(m.Offer(3, reading(9, 1, FromService)))
	assert.Contains(t, cleared, ProblemRefused)
	assert.Equal(t, "in_force", m.State())
}

// Two texts carry revision 4 after a service was restored from a backup; half of the fleet read one
// and half the other. All nodes end with the same text, in whichever order they receive the two,
// and all report the conflict until a higher revision.
func TestTwoTextsUnderOneRevisionResolveAlike(t *testing.T) {
	for _, order := range [][2]uint64{{1, 2}, {2, 1}} {
		m := running(t, 4, order[0])
		raised, _ := problems(m.Offer(1, reading(4, order[1], FromPeer)))
		assert.Equal(t, []Problem{ProblemConflict}, raised)
		assert.Equal(t, Mark{4, 2}, m.InForce())
		_, cleared := problems(m.Offer(2, reading(5, 1, FromService)))
		assert.Equal(t, []Problem{ProblemConflict}, cleared)
	}
}

// A node starts while the service is down. Its peers have revisions 9 and 7. It must not serve 7
// although that reply arrived first.
func TestStartTakesTheHighestOfPeersWhenTheServiceIsDown(t *testing.T) {
	m := New(0)
	nodes := testNodes(2, 1)
	m.AskPeers(0, nodes)
	m.ServiceFailed(1)
	actions := m.PeerReported(1, nodes[0].ID, Mark{7, 1})
	assert.Equal(t, []Action{Fetch{nodes[0].ID}}, actions)
	m.PeerReported(2, nodes[1].ID, Mark{9, 1})
	actions = m.Offer(3, reading(7, 1, FromPeer))
	assert.Equal(t, []Action{Fetch{nodes[1].ID}}, actions, "a peer has a higher revision")
	assert.True(t, m.Gathering())
	m.Offer(4, reading(9, 1, FromPeer))
	assert.Equal(t, Mark{9, 1}, m.InForce())
}

// A node starts in a partition: the service answers, no peer does. It serves after the bounded
// wait. When neither answers it does not serve.
func TestStartIsBoundedWhenPeersAreSilent(t *testing.T) {
	m := New(0)
	m.AskPeers(0, testNodes(2, 2))
	m.Tick(10 * StartWait)
	assert.True(t, m.Gathering())
	m = New(0)
	m.AskPeers(0, testNodes(2, 2))
	m.Offer(1, reading(3, 1, FromService))
	m.Tick(StartWait - 1)
	assert.True(t, m.Gathering())
	m.Tick(StartWait)
	assert.Equal(t, Mark{3, 1}, m.InForce())
}

// The service is down overnight. The text stays in force, the problem shows its age, and it is
// cleared when the service answers again.
func TestStaleServiceIsReportedAndKept(t *testing.T) {
	m := running(t, 5, 1)
	raised, _ := problems(m.Tick(StaleAfter))
	assert.Empty(t, raised)
	actions := m.Tick(StaleAfter + 3*time.Second)
	require.Len(t, actions, 1)
	assert.Contains(t, actions[0].(Report).Detail, "1m3s ago")
	_, cleared := problems(m.ServiceAnswered(StaleAfter + 4*time.Second))
	assert.Equal(t, []Problem{ProblemStale}, cleared)
	assert.Equal(t, uint64(5), m.InForce().Revision)
}

// Property: for any order of events, the revision in force never goes down, is never an invalid
// text, and each adopted reading has the mark then in force.
func TestRevisionInForceNeverGoesDown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(0)
		nodes := testNodes(3, 2)
		now := core.Time(0)
		before := Mark{}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now += core.Time(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passed"))
			for _, action := range randomEvent(t, m, now, nodes) {
				adopted, ok := action.(Adopt)
				if ok && (adopted.Reading.Mark != m.InForce() || adopted.Reading.Catalog == nil) {
					t.Fatalf("adopted %v, in force %v", adopted.Reading.Mark, m.InForce())
				}
			}
			if before.Supersedes(m.InForce()) {
				t.Fatalf("%v replaced %v", m.InForce(), before)
			}
			before = m.InForce()
		}
	})
}

func randomEvent(t *rapid.T, m *Machine, now core.Time, nodes []route.Node) []Action {
	mark := Mark{era.Place(rapid.Uint64Range(0, 2).Draw(t, "era"), rapid.Uint64Range(0, 6).Draw(t, "revision")), rapid.Uint64Range(1, 3).Draw(t, "digest")}
	node := rapid.SampledFrom(nodes).Draw(t, "node").ID
	candidate := &Reading{Mark: mark, Source: Source(rapid.IntRange(0, 1).Draw(t, "source"))}
	if rapid.Bool().Draw(t, "valid") {
		candidate.Catalog = &catalog.Catalog{}
	}
	switch rapid.IntRange(0, 7).Draw(t, "event") {
	case 0:
		return m.ServiceAnswered(now)
	case 1:
		return m.ServiceFailed(now)
	case 2:
		return m.Tick(now)
	case 3:
		return m.AskPeers(now, nodes)
	case 4:
		return m.PeerReported(now, node, mark)
	case 5:
		return m.PeerFailed(now, node)
	default:
		return m.Offer(now, candidate)
	}
}

func TestDiffAndApplyAreInverse(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "\n", "d"})
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(line, 0, 40).Draw(t, "before")
		after := rapid.SliceOfN(line, 0, 40).Draw(t, "after")
		got, err := Apply(before, Diff(before, after))
		if err != nil || strings.Join(got, "|") != strings.Join(after, "|") {
			t.Fatalf("got %q, %v", got, err)
		}
	})
}

// A peer of another version, or a faulty one, sends edits for another text. They are refused or
// produce another text, which its digest reveals. No edit causes a panic.
func TestMalformedEditsAreRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(-3, 8)
		edits := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Edit {
			return Edit{From: number.Draw(t, "from"), Removed: number.Draw(t, "removed"), Lines: rapid.SliceOfN(rapid.Just("x\n"), 0, 3).Draw(t, "lines")}
		})).Draw(t, "edits")
		_, _ = Apply([]string{"a\n", "b\n"}, edits)
	})
	_, err := Apply([]string{"a\n"}, []Edit{{From: 1, Removed: 1}})
	require.Error(t, err)
	_, err = Apply(nil, []Edit{{Lines: []string{strings.Repeat("x", catalog.MaxTextBytes+1)}}})
	require.Error(t, err)
}

// The relays of 780 nodes in four data centres rotate, so that no node reads every text, and every
// node polls relays of its own data centre.
func TestRelaysTakeTurns(t *testing.T) {
	view := route.NewView(testNodes(4, 195))
	turns := map[core.NodeID]int{}
	for revision := range uint64(40) {
		relays := Relays(view, "dc1", revision)
		require.Len(t, relays, activeRelays)
		for _, node := range relays {
			turns[node.ID]++
			targets, relay := PollTargets(view, node.ID, "dc1", revision)
			assert.True(t, relay)
			assert.Len(t, targets, 1+3)
		}
	}
	assert.Len(t, turns, relayGroupSize)
	for _, count := range turns {
		assert.Equal(t, 10, count, "a quarter of the revisions")
	}
	assert.LessOrEqual(t, float64(780)/MinReadInterval(780).Seconds(), float64(maxDirectReadsPerSecond))
}

// Both relays of a node die. The node sees the links fail, reads the service itself within a
// second, and returns to a relay that answers.
func TestNodeWithoutRelaysReadsDirectly(t *testing.T) {
	nodes := testNodes(1, 20)
	view := route.NewView(nodes)
	relays := Relays(view, "dc0", 5)
	self := nodes[0].ID
	for _, node := range nodes {
		if node.ID != relays[0].ID && node.ID != relays[1].ID {
			self = node.ID
		}
	}
	f := NewFollower(self, "dc0", func() float64 { return 0 })
	assert.Equal(t, []FollowAction{Watch{}}, f.SetView(0, view, 0), "nothing in force")
	f.ReadEnded(0, true)
	assert.Equal(t, []FollowAction{Poll{relays[0], PollWait}, Poll{relays[1], PollWait / 2}}, f.SetView(1, view, 5))
	assert.Empty(t, f.PollEnded(time.Second, relays[0].ID, false))
	assert.Equal(t, []FollowAction{Watch{Wait: WatchWait}}, f.PollEnded(time.Second, relays[1].ID, false))
	f.Tick(3 * time.Second)
	assert.Contains(t, f.PollEnded(3*time.Second, relays[1].ID, true), FollowAction(CancelWatch{}))
	silent := f.Tick(3*time.Second + pollTimeout)
	assert.Contains(t, silent, FollowAction(CancelPoll{relays[0].ID}))
}

// A process is paused for a minute. Its polls were sent before the pause, and their replies may be
// lost. It polls again at once rather than after a poll timeout.
func TestWokenNodeAsksAgainAtOnce(t *testing.T) {
	view := route.NewView(testNodes(1, 3))
	self := view.Nodes()[0].ID
	f := NewFollower(self, "dc0", func() float64 { return 0 })
	polls := func(actions []FollowAction) (started, cancelled int) {
		for _, action := range actions {
			switch action.(type) {
			case Poll:
				started++
			case CancelPoll:
				cancelled++
			}
		}
		return started, cancelled
	}
	asked, _ := polls(f.SetView(0, view, 1))
	require.Positive(t, asked)
	started, cancelled := polls(f.Resume(time.Minute))
	assert.Equal(t, [2]int{asked, asked}, [2]int{started, cancelled})
}

func BenchmarkDiffAndApplyOneMegabyte(b *testing.B) {
	var text strings.Builder
	for n := 0; text.Len() < catalog.MaxTextBytes-100; n++ {
		fmt.Fprintf(&text, "          - {address: \"10.1.%d.%d:8080\", data_centre: dc1}\n", n/250, n%250)
	}
	before := SplitLines(text.String())
	after := append([]string(nil), before...)
	after[100], after[len(after)-100] = "changed\n", "changed too\n"
	b.ReportAllocs()
	for b.Loop() {
		edits := Diff(before, after)
		if _, err := Apply(before, edits); err != nil {
			b.Fatal(err)
		}
	}
}
