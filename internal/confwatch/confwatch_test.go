package confwatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer/peerpb"
)

// maxPropagation is the time within which a published change has to be in force at all nodes.
const maxPropagation = 3 * time.Second

func text(name string) string {
	return "version: 1\nindexes: [i]\nservices:\n  - name: " + name + "\n    index: i\n    shards: [{replicas: [{address: \"10.0.0.1:1\"}]}]\n"
}

// A node starts before the platform does. It has no configuration in force, reads
// the service at a bounded rate, and serves once the service answers.
func TestNodeAloneWaitsForTheService(t *testing.T) {
	runSimulation(t, 1, 1, func(s *simulation) {
		s.down = true
		s.start(s.nodes...)
		time.Sleep(time.Minute)
		assert.Nil(t, s.nodes[0].belief.Config())
		reads, _, _ := s.counts()
		assert.LessOrEqual(t, reads, 4*60+1)
		s.update(func() { s.down = false })
		s.publish(1, text("a"))
		assert.Less(t, s.await("in force", everywhere(s.nodes, 1, text("a"))), maxPropagation)
	})
}

// The service is rolled back to revision 3 while 10 is in force. Adopting 3 would
// send work to a replica that was removed since. Nodes keep 10 and report the older
// revision; a node that starts then receives 10 from its peers.
func TestRolledBackServiceChangesNothing(t *testing.T) {
	runSimulation(t, 7, 2, func(s *simulation) {
		running, late := s.nodes[:6], s.nodes[6]
		s.publish(10, text("a"))
		s.start(running...)
		s.await("start", everywhere(running, 10, text("a")))
		time.Sleep(time.Minute)
		s.publish(3, text("old"))
		s.await("reported", func() bool { return countReporting(running, observe.KindConfigReverted) > 0 })
		s.resetCounts()
		time.Sleep(time.Minute)
		reads, _, _ := s.counts()
		assert.Less(t, reads, 60, "an older text is not read repeatedly")
		s.start(late)
		s.await("late start", everywhere(s.nodes, 10, text("a")))
		assert.Equal(t, uint64(10), late.firstRevision(), "it never served revision 3")
		s.publish(11, text("b"))
		assert.Less(t, s.await("next", everywhere(s.nodes, 11, text("b"))), maxPropagation)
		s.await("over", func() bool { return countReporting(s.nodes, observe.KindConfigReverted) == 0 })
	})
}

func countReporting(nodes []*node, kind observe.Kind) int {
	count := 0
	for _, node := range nodes {
		if node.hasProblem(kind) {
			count++
		}
	}
	return count
}

// The service is down for a long time. All nodes keep their configuration and
// report it stale; a node that starts meanwhile receives it from its peers.
func TestServiceDownKeepsAndSpreadsTheText(t *testing.T) {
	runSimulation(t, 9, 3, func(s *simulation) {
		running, late := s.nodes[:8], s.nodes[8]
		s.publish(4, text("a"))
		s.start(running...)
		s.await("start", everywhere(running, 4, text("a")))
		s.update(func() { s.down = true })
		time.Sleep(2 * config.StaleAfter)
		assert.Positive(t, countReporting(running, observe.KindConfigStale))
		s.start(late)
		assert.Less(t, s.await("late start", everywhere(s.nodes, 4, text("a"))), maxPropagation)
		s.update(func() { s.down = false })
		s.publish(5, text("b"))
		s.await("recovered", everywhere(s.nodes, 5, text("b")))
		s.await("over", func() bool { return countReporting(s.nodes, observe.KindConfigStale) == 0 })
	})
}

// A restored service offers another text under the revision in force. Nodes that
// read it and nodes that did not must converge, or callers get answers from two
// configurations.
func TestTwoTextsUnderOneRevisionEndAlike(t *testing.T) {
	for _, first := range []string{"a", "b"} {
		second := map[string]string{"a": "b", "b": "a"}[first]
		runSimulation(t, 9, 3, func(s *simulation) {
			running, late := s.nodes[:8], s.nodes[8]
			s.publish(4, text(first))
			s.start(running...)
			s.await("start", everywhere(running, 4, text(first)))
			s.publish(4, text(second))
			s.start(late)
			s.await("one text", func() bool {
				return everywhere(s.nodes, 4, text("a"))() || everywhere(s.nodes, 4, text("b"))()
			})
			s.await("reported", func() bool { return countReporting(s.nodes, observe.KindConfigConflict) > 0 })
			s.publish(5, text("c"))
			s.await("next", everywhere(s.nodes, 5, text("c")))
			s.await("over", func() bool { return countReporting(s.nodes, observe.KindConfigConflict) == 0 })
		})
	}
}

// An operator publishes a text with an unknown key and corrects it a minute later.
// The previous text stays in force meanwhile, and every node reports the refusal,
// including those that never received the invalid text.
func TestInvalidRevisionIsRefusedThenCorrected(t *testing.T) {
	runSimulation(t, 24, 2, func(s *simulation) {
		s.publish(1, text("a"))
		s.start(s.nodes...)
		s.await("start", everywhere(s.nodes, 1, text("a")))
		s.publish(2, text("a")+"    slotz: 2\n")
		allReport := func() bool { return countReporting(s.nodes, observe.KindConfigRefused) == len(s.nodes) }
		assert.Less(t, s.await("reported", allReport), maxPropagation)
		s.resetCounts()
		time.Sleep(time.Minute)
		reads, bytes, _ := s.counts()
		assert.Less(t, reads, 60, "a refused text is not read repeatedly")
		assert.Less(t, bytes/60/len(s.nodes), 300, "nor sent to peers repeatedly")
		assert.True(t, everywhere(s.nodes, 1, text("a"))())
		s.publish(3, text("b"))
		assert.Less(t, s.await("corrected", everywhere(s.nodes, 3, text("b"))), maxPropagation)
		assert.Zero(t, countReporting(s.nodes, observe.KindConfigRefused))
	})
}

// A relay becomes unreachable just before a change. Its followers receive the change
// in time from the other relay, at whichever moment between two polls this happens.
func TestSilentRelayDelaysNothing(t *testing.T) {
	for phase := time.Duration(0); phase < config.PollWait; phase += time.Second {
		runSimulation(t, 24, 2, func(s *simulation) {
			s.publish(1, text("a"))
			s.start(s.nodes...)
			s.await("start", everywhere(s.nodes, 1, text("a")))
			time.Sleep(time.Minute + phase)
			lost := config.Relays(s.nodes[0].belief.View(), "dc0", 1)[0].ID
			var others []*node
			for _, node := range s.nodes {
				if node.ID != lost {
					others = append(others, node)
				}
			}
			s.partition(func(id core.NodeID) bool { return id == lost })
			s.publish(2, text("b"))
			assert.Less(t, s.await("in force", everywhere(others, 2, text("b"))), maxPropagation, "phase %s", phase)
			s.heal()
			s.await("healed", everywhere(s.nodes, 2, text("b")))
		})
	}
}

// A partition splits the nodes while a change is published, and only one side reaches
// the service. The other side keeps the previous text. After the partition both have
// the new one in force, without another publication.
func TestPartitionDuringAChangeConverges(t *testing.T) {
	runSimulation(t, 24, 2, func(s *simulation) {
		s.publish(1, text("a"))
		s.start(s.nodes...)
		s.await("start", everywhere(s.nodes, 1, text("a")))
		withoutService := func(id core.NodeID) bool { return id != "" && id < "vm-010" }
		s.partition(withoutService)
		s.publish(2, text("b"))
		s.await("one side", everywhere(s.nodes[10:], 2, text("b")))
		time.Sleep(2 * time.Minute)
		assert.True(t, everywhere(s.nodes[:10], 1, text("a"))(), "the side without the service keeps its text")
		assert.Positive(t, countReporting(s.nodes[:10], observe.KindConfigStale))
		s.heal()
		s.await("healed", everywhere(s.nodes, 2, text("b")))
	})
}

// Every link between nodes is cut while the service stays up, so that each node reads
// it directly. The reads stay below half of what the service allows, and changes are
// still in force in time.
func TestFleetWithoutPeersReadsAtABoundedPace(t *testing.T) {
	runSimulation(t, 64, 4, func(s *simulation) {
		s.publish(1, text("a"))
		s.start(s.nodes...)
		s.await("start", everywhere(s.nodes, 1, text("a")))
		s.update(func() { s.cut = func(_, to core.NodeID) bool { return to != "" } })
		time.Sleep(time.Minute)
		s.resetCounts()
		s.publish(2, text("b"))
		assert.Less(t, s.await("in force", everywhere(s.nodes, 2, text("b"))), maxPropagation)
		s.update(func() { s.down = true })
		s.resetCounts()
		time.Sleep(time.Minute)
		reads, _, _ := s.counts()
		assert.Less(t, reads/60, 500)
	})
}

// A relay with another program version, or a faulty one, sends edits that do not fit.
// Its followers detect this by the digest and request the whole text.
func TestEditsThatDoNotFitGiveWayToTheWholeText(t *testing.T) {
	runSimulation(t, 24, 2, func(s *simulation) {
		s.publish(1, text("a"))
		s.start(s.nodes...)
		s.await("start", everywhere(s.nodes, 1, text("a")))
		s.update(func() {
			s.tamper = func(envelope *peerpb.Envelope) {
				for _, edit := range envelope.GetConfigReply().GetEdits() {
					edit.From++
				}
			}
		})
		s.publish(2, text("b"))
		assert.Less(t, s.await("in force", everywhere(s.nodes, 2, text("b"))), maxPropagation)
		misfits := int64(0)
		for _, node := range s.nodes {
			misfits += observe.Counter(node.watcher.Metrics, "config_misfits_total").Count()
		}
		assert.Positive(t, misfits)
	})
}

// serviceText returns a text of about the given size, with one service whose name
// depends on the revision.
func serviceText(bytes int, revision uint64) string {
	var b strings.Builder
	b.WriteString(text(fmt.Sprintf("service-of-%d", revision)))
	for n := 0; b.Len() < bytes; n++ {
		fmt.Fprintf(&b, "  - {name: s%05d, index: i, shards: [{replicas: [{address: \"10.1.%d.%d:1\"}]}]}\n", n, n/250, n%250)
	}
	return b.String()
}

// A change reaches every node in time and as a difference, for any number of nodes.
// The rate of service reads does not grow with the number of nodes.
func TestCostOfAChangeByFleetSize(t *testing.T) {
	for _, size := range []int{1, 8, 64} {
		runSimulation(t, size, min(size, 4), func(s *simulation) {
			const bytes, changes, every = 20_000, 5, 21600 * time.Millisecond
			s.publish(1, serviceText(bytes, 1))
			s.start(s.nodes...)
			s.await("start", everywhere(s.nodes, 1, serviceText(bytes, 1)))
			time.Sleep(time.Minute)
			s.resetCounts()
			began := time.Now()
			var slowest time.Duration
			for revision := uint64(2); revision < 2+changes; revision++ {
				next := serviceText(bytes, revision)
				s.publish(revision, next)
				slowest = max(slowest, s.await("in force", everywhere(s.nodes, revision, next)))
				time.Sleep(every)
			}
			passed := time.Since(began).Seconds()
			reads, total, most := s.counts()
			t.Logf("%3d nodes: in force everywhere after %s at most, %.2f reads/s, peer bytes a node and second %.0f on average and %.0f at most",
				size, slowest, float64(reads)/passed, float64(total)/float64(size)/passed, float64(most)/passed)
			assert.Less(t, slowest, maxPropagation)
			assert.Less(t, float64(reads)/passed, 2.0, "two relays in each of four data centres")
			assert.Less(t, total/size/changes, 10_000, "a change is sent as a difference")
		})
	}
}
