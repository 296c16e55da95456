package confwatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// restore restores the service from a copy: its revisions go back and are reused, in its next era.
func (s *simulation) restore(revision uint64, text string) {
	s.update(func() {
		s.era++
		s.config.Revision, s.config.Text = revision, text
	})
}

// textEverywhere reports whether the text is in force at all of the nodes, under any revision.
func textEverywhere(nodes []*node, text string) func() bool {
	return func() bool {
		for _, node := range nodes {
			if inForce := node.belief.Config(); inForce == nil || string(inForce.Text) != text {
				return false
			}
		}
		return true
	}
}

// The configuration service is restored from a copy and offers the text of some seconds ago; then the operators publish the
// next text, under a revision at or below the one in force. It was never adopted, or only where its digest was the greater
// one. Revisions order texts within one era of the service only, and any text of a later era is newer.
func TestATextPublishedAfterTheServiceCameBackFromACopyIsInForce(t *testing.T) {
	for _, again := range []uint64{8, 9, 10, 11} {
		runSimulation(t, 6, 2, func(s *simulation) {
			s.publish(7, text("seven"))
			s.start(s.nodes...)
			s.await("start", textEverywhere(s.nodes, text("seven")))
			s.publish(9, text("nine"))
			s.await("nine", textEverywhere(s.nodes, text("nine")))
			s.publish(10, text("ten"))
			s.await("ten", textEverywhere(s.nodes, text("ten")))
			time.Sleep(10 * time.Second)
			s.restore(7, text("seven"))
			time.Sleep(5 * time.Second)
			require.True(t, textEverywhere(s.nodes, text("ten"))(), "no node goes back")
			s.publish(again, text("next"))
			require.Less(t, s.await("next", textEverywhere(s.nodes, text("next"))), maxPropagation, "revision %d", again)
		})
	}
}
