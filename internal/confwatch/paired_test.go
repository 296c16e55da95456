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

// An operator takes a replica out while both relays of a data centre have just
// gone silent: their links stay open, and membership still lists them. Its other
// nodes must notice the pause in the answers and read the service themselves, or
// they would send work to that replica for as long as a poll may be held.
func TestBothRelaysSilentDelayNoChange(t *testing.T) {
	const phases, step = 24, 250 * time.Millisecond
	var slowest time.Duration
	for phase := range phases {
		inWorld(t, 24, 2, func(w *world) {
			w.publish(1, text("a"))
			w.start(w.nodes...)
			w.await("start", everywhere(w.nodes, 1, text("a")))
			time.Sleep(time.Minute + time.Duration(phase)*step)
			lost := map[core.NodeID]bool{}
			for _, relay := range config.Relays(w.nodes[0].belief.View(), "dc0", 1) {
				lost[relay.ID] = true
			}
			var others []*node
			for _, one := range w.nodes {
				if !lost[one.ID] {
					others = append(others, one)
				}
			}
			w.silence(func(id core.NodeID) bool { return lost[id] })
			w.publish(2, text("b"))
			slowest = max(slowest, w.await("in force", everywhere(others, 2, text("b"))))
		})
	}
	t.Logf("in force everywhere after %s at most, %d phases", slowest, phases)
	assert.Less(t, slowest, inTime)
}

// A partition splits the fleet through its data centres. One side's reader of
// the service sees changes, the other's was rolled back, and then shows another
// text under the revision that the first side has accepted. A chef's node must
// not go back, a side must not differ within itself, and all agree once healed,
// though the service is down by then.
func TestARolledBackServiceBehindAPartition(t *testing.T) {
	for _, texts := range [][2]string{{"b", "c"}, {"c", "b"}} {
		for _, second := range []uint64{3, 4, 5} {
			rolledBackBehindPartition(t, text(texts[0]), text(texts[1]), second)
		}
	}
}

// rolledBackBehindPartition has revision 4 accepted on the near side, and the
// given one, with another text, on the far side.
func rolledBackBehindPartition(t *testing.T, near, far string, farRevision uint64) {
	inWorld(t, 25, 2, func(w *world) {
		running, late := w.nodes[:24], w.nodes[24]
		w.publish(2, text("a"))
		w.start(running...)
		w.await("start", everywhere(running, 2, text("a")))
		isFar := func(id core.NodeID) bool { return id >= "vm-010" }
		shows := map[bool]confservice.Config{false: {Revision: 4, Text: near}, true: {Revision: 1, Text: text("old")}}
		w.set(func() {
			w.cut = func(from, to core.NodeID) bool { return to != "" && isFar(from) != isFar(to) }
			w.shown = func(to core.NodeID) confservice.Config { return shows[isFar(to)] }
		})
		w.await("near", everywhere(running[:10], 4, near))
		w.await("reported", func() bool { return reporting(running[10:], observe.KindConfigReverted) > 0 })
		w.start(late)
		time.Sleep(time.Minute)
		assert.True(t, everywhere(w.nodes[10:], 2, text("a"))(), "the far side keeps its text, a node that starts there too")
		w.set(func() { shows[true] = confservice.Config{Revision: farRevision, Text: far} })
		w.await("far", everywhere(w.nodes[10:], farRevision, far))
		assert.True(t, everywhere(w.nodes[:10], 4, near)())
		w.set(func() { w.down = true })
		w.heal()
		nearMark := config.Mark{Revision: 4, Digest: digest(near)}
		farMark := config.Mark{Revision: farRevision, Digest: digest(far)}
		if farMark.Supersedes(nearMark) {
			w.await("healed", everywhere(w.nodes, farRevision, far))
		} else {
			w.await("healed", everywhere(w.nodes, 4, near))
		}
		if farRevision == 4 {
			assert.Positive(t, reporting(w.nodes, observe.KindConfigConflict))
		}
	})
}
