package confwatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/observe"
)

// An operator removes a replica just after both relays of a data centre have stopped
// responding, while their links stay open and membership still lists them. The other
// nodes there must detect the gap in the replies and read the service themselves, or
// they send work to that replica for as long as a poll may be held.
func TestBothRelaysSilentDelayNoChange(t *testing.T) {
	const phases, step = 24, 250 * time.Millisecond
	var slowest time.Duration
	for phase := range phases {
		runSimulation(t, 24, 2, func(s *simulation) {
			s.publish(1, text("a"))
			s.start(s.nodes...)
			s.await("start", everywhere(s.nodes, 1, text("a")))
			time.Sleep(time.Minute + time.Duration(phase)*step)
			lost := map[core.NodeID]bool{}
			for _, relay := range config.Relays(s.nodes[0].belief.View(), "dc0", 1) {
				lost[relay.ID] = true
			}
			var others []*node
			for _, node := range s.nodes {
				if !lost[node.ID] {
					others = append(others, node)
				}
			}
			s.silenceLinks(func(id core.NodeID) bool { return lost[id] })
			s.publish(2, text("b"))
			slowest = max(slowest, s.await("in force", everywhere(others, 2, text("b"))))
		})
	}
	t.Logf("in force everywhere after %s at most, %d phases", slowest, phases)
	assert.Less(t, slowest, maxPropagation)
}

// A partition splits the nodes within each data centre. One side reads changes from
// the service; the other side reads from a service that was rolled back and then
// offers another text, possibly under the revision that the first side adopted. No
// node may go back, the nodes of one side must agree, and all must converge after the
// partition, although the service is down by then.
func TestARolledBackServiceBehindAPartition(t *testing.T) {
	for _, texts := range [][2]string{{"b", "c"}, {"c", "b"}} {
		for _, second := range []uint64{3, 4, 5} {
			rolledBackBehindPartition(t, text(texts[0]), text(texts[1]), second)
		}
	}
}

// rolledBackBehindPartition publishes revision 4 on the near side and farRevision,
// with another text, on the far side.
func rolledBackBehindPartition(t *testing.T, near, far string, farRevision uint64) {
	runSimulation(t, 25, 2, func(s *simulation) {
		running, late := s.nodes[:24], s.nodes[24]
		s.publish(2, text("a"))
		s.start(running...)
		s.await("start", everywhere(running, 2, text("a")))
		isFar := func(id core.NodeID) bool { return id >= "vm-010" }
		shows := map[bool]confservice.Config{false: {Revision: 4, Text: near}, true: {Revision: 1, Text: text("old")}}
		s.update(func() {
			s.cut = func(from, to core.NodeID) bool { return to != "" && isFar(from) != isFar(to) }
			s.offered = func(to core.NodeID) confservice.Config { return shows[isFar(to)] }
		})
		s.await("near", everywhere(running[:10], 4, near))
		s.await("reported", func() bool { return countReporting(running[10:], observe.KindConfigReverted) > 0 })
		s.start(late)
		time.Sleep(time.Minute)
		assert.True(t, everywhere(s.nodes[10:], 2, text("a"))(), "the far side keeps its text, including a node that starts there")
		s.update(func() { shows[true] = confservice.Config{Revision: farRevision, Text: far} })
		s.await("far", everywhere(s.nodes[10:], farRevision, far))
		assert.True(t, everywhere(s.nodes[:10], 4, near)())
		s.update(func() { s.down = true })
		s.heal()
		nearMark := config.Mark{Revision: 4, Digest: digest(near)}
		farMark := config.Mark{Revision: farRevision, Digest: digest(far)}
		if farMark.Supersedes(nearMark) {
			s.await("healed", everywhere(s.nodes, farRevision, far))
		} else {
			s.await("healed", everywhere(s.nodes, 4, near))
		}
		if farRevision == 4 {
			assert.Positive(t, countReporting(s.nodes, observe.KindConfigConflict))
		}
	})
}
