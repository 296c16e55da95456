package mirror

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func put(key string, revision uint64) Item {
	return Item{Key: key, Value: []byte(fmt.Sprint(revision)), Revision: revision}
}

func TestAWholeDeltaRemovesWhatItLacks(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Whole: true, UpTo: 10, Items: []Item{put("a", 3), put("b", 10)}})
	changed := c.Apply(Delta{Whole: true, UpTo: 20, Items: []Item{put("b", 10), put("c", 15)}})
	require.Len(t, changed.Changed, 2)
	_, ok := c.Get("a")
	require.False(t, ok)
	require.EqualValues(t, 20, c.UpTo())
}

// A node reads from a peer whose copy is behind the one it read from before. An older
// configuration must not come back into force.
func TestAnOlderSourceTakesNothingBack(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Whole: true, UpTo: 20, Items: []Item{put("op", 20), put("new", 18)}})
	require.Empty(t, c.Apply(Delta{Whole: true, UpTo: 10, Items: []Item{put("op", 10), put("gone", 5)}}).Changed)
	item, _ := c.Get("op")
	require.EqualValues(t, 20, item.Revision)
	_, ok := c.Get("new")
	require.True(t, ok)
	require.EqualValues(t, 20, c.UpTo())
}

func TestADeltaWithAGapDoesNotMoveTheRevision(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Whole: true, UpTo: 10})
	c.Apply(Delta{After: 15, UpTo: 20, Items: []Item{put("a", 18)}})
	require.EqualValues(t, 10, c.UpTo(), "revisions 11 to 15 are missing")
}

func TestManyRemovalsLeadToAWholeDelta(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Whole: true, UpTo: 1})
	for i := range uint64(maxRemovals + 2) {
		c.Apply(Delta{After: i + 1, UpTo: i + 2, Items: []Item{{Key: fmt.Sprint(i), Revision: i + 2, Removed: true}}})
	}
	require.True(t, c.Since(Position{Revision: 2}).Whole)
	require.Len(t, c.removals, 2)
}

// Copies exchange deltas in any order, and each also reads the store at times. They must be
// equal once each has read the newest state from one of the others.
func TestCopiesAgreeWhateverTheOrderOfDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewCopy()
		copies := []*Copy{NewCopy(), NewCopy(), NewCopy()}
		revision := uint64(1)
		store.Apply(Delta{Whole: true, UpTo: revision})
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 80).Draw(t, "steps") {
			key := fmt.Sprint(step % 5)
			switch {
			case step < 50:
				revision++
				store.Apply(Delta{After: revision - 1, UpTo: revision, Items: []Item{{Key: key, Revision: revision, Removed: step%3 == 0}}})
			case step < 70:
				reader := copies[step%3]
				reader.Apply(store.Since(reader.Position()))
			default:
				reader, from := copies[step%3], copies[(step/3)%3]
				reader.Apply(from.Since(reader.Position()))
			}
		}
		copies[0].Apply(store.Since(copies[0].Position()))
		for _, c := range copies[1:] {
			c.Apply(copies[0].Since(c.Position()))
			require.Equal(t, store.items, c.items)
		}
	})
}
