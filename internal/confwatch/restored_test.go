package confwatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restore brings the service back from a copy: its revisions go back and are given out again, in its next era.
func (w *world) restore(revision uint64, text string) {
	w.set(func() {
		w.era++
		w.config.Revision, w.config.Text = revision, text
	})
}

// textEverywhere reports whether the text is in force at all of the nodes, under whatever revision.
func textEverywhere(nodes []*node, text string) func() bool {
	return func() bool {
		for _, one := range nodes {
			if inForce := one.belief.Config(); inForce == nil || string(inForce.Text) != text {
				return false
			}
		}
		return true
	}
}

// The configuration service comes back from a copy and shows the text of some seconds ago; then the operators publish the
// next one, under a revision that the fleet has passed. It was never in force, or only where its digest happened to be
// the greater one. Revisions order one era of the service: what it publishes in the next one comes after.
func TestATextPublishedAfterTheServiceCameBackFromACopyIsInForce(t *testing.T) {
	for _, again := range []uint64{8, 9, 10, 11} {
		inWorld(t, 6, 2, func(w *world) {
			w.publish(7, text("seven"))
			w.start(w.nodes...)
			w.await("start", textEverywhere(w.nodes, text("seven")))
			w.publish(9, text("nine"))
			w.await("nine", textEverywhere(w.nodes, text("nine")))
			w.publish(10, text("ten"))
			w.await("ten", textEverywhere(w.nodes, text("ten")))
			time.Sleep(10 * time.Second)
			w.restore(7, text("seven"))
			time.Sleep(5 * time.Second)
			require.True(t, textEverywhere(w.nodes, text("ten"))(), "nobody goes back")
			w.publish(again, text("next"))
			require.Less(t, w.await("next", textEverywhere(w.nodes, text("next"))), inTime, "revision %d", again)
		})
	}
}
