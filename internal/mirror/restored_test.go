package mirror

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// drill takes a store away for a moment and brings it back from a backup.
func (f following) drill(from Delta, meanwhile func()) {
	f.store.set(func(s *fakeStore) { s.busy = true })
	time.Sleep(700 * time.Millisecond)
	f.store.restore(from)
	meanwhile()
	f.store.set(func(s *fakeStore) { s.busy = false })
	time.Sleep(time.Second)
}

// all is what a copy holds.
func all(c *Copy) map[string]Item {
	held := map[string]Item{}
	for _, item := range c.Since(Position{}).Items {
		held[item.Key] = item
	}
	return held
}

func (f following) version(t *testing.T) uint64 {
	t.Helper()
	item, held := f.copy.Get("config")
	require.True(t, held)
	return item.Rank
}

// A store comes back from a copy. While its revisions are lower a watch is refused, and each reading that
// followed was thrown away; once they had passed, unseen, nothing refused the watch and what
// lay before was never read. In both cases what the store holds is to be the copy's.
func TestACopyFollowsTheStoreIntoItsNextEra(t *testing.T) {
	for _, writes := range []int{1, 20} {
		follow(t, alone, func(f following) {
			f.store.configure(3)
			backup := f.store.backup()
			for range 10 {
				f.store.put("lost", false)
			}
			time.Sleep(time.Second)
			f.drill(backup, func() {
				f.store.configure(5)
				for range writes {
					f.store.put("again", false)
				}
			})
			require.Equal(t, all(f.store.contents()), all(f.copy))
			require.Equal(t, f.store.contents().Position(), f.copy.Position())
			require.True(t, f.listener.last().NewEra)
			require.Len(t, f.listener.eras, 1)
			require.Equal(t, 1, f.listener.eras[0].Lost)
			require.Equal(t, 1, f.listener.eras[0].Unchanged)
			f.store.configure(6)
			time.Sleep(100 * time.Millisecond)
			require.EqualValues(t, 6, f.version(t))
		})
	}
}

// Two drills come in a row, the second from an older copy, and the store drops its history after
// it. What is lost twice must not be believed, what is written then is.
func TestTwoDrillsInARowAndADroppedHistory(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.configure(3)
		oldest := f.store.backup()
		f.store.put("b", false)
		older := f.store.backup()
		f.store.put("c", false)
		time.Sleep(time.Second)
		f.drill(older, func() {})
		f.drill(oldest, func() { f.store.set(func(s *fakeStore) { s.forgotten = 1000 }) })
		f.store.set(func(s *fakeStore) { s.forgotten = 0 })
		f.store.configure(4)
		time.Sleep(2 * time.Second)
		require.Equal(t, all(f.store.contents()), all(f.copy))
		require.EqualValues(t, 2, f.copy.Position().Era)
	})
}

// The store shows an older configuration until the operator has written the newer one again, version by
// version. Callers have seen the older ones replaced: none comes back.
func TestARestoredStoreTakesNoConfigurationBack(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.configure(3)
		backup := f.store.backup()
		f.store.configure(7)
		f.store.configure(9)
		time.Sleep(time.Second)
		f.drill(backup, func() {})
		require.EqualValues(t, 9, f.version(t))
		require.Len(t, f.listener.last().Outranked, 1)
		f.store.configure(7)
		time.Sleep(time.Second)
		require.EqualValues(t, 9, f.version(t))
		f.store.configure(12)
		time.Sleep(time.Second)
		require.EqualValues(t, 12, f.version(t))
	})
	c := NewCopy()
	c.Apply(Delta{Era: 1, Whole: true, UpTo: 9, Items: []Item{{Key: "config", Value: []byte("9"), Rank: 9, Revision: 9}}})
	c.Apply(Delta{Era: 2, Whole: true, UpTo: 3})
	item, held := c.Get("config")
	require.True(t, held, "the backup is older than any configuration")
	require.EqualValues(t, 9, item.Rank)
}

// A node starts while the store shows an older configuration and the others have the newer one. It asks them
// behind the revision that it read, where theirs is no news: their higher rank is.
func TestANodeThatStartsAfterARestoreHasTheNewerConfigurationFromOthers(t *testing.T) {
	makePeers := func() *fakePeers { return &fakePeers{copied: NewCopy(), age: time.Hour} }
	follow(t, makePeers, func(f following) {
		config := func(version, revision uint64) Item {
			return Item{Key: "config", Value: fmt.Append(nil, version), Rank: version, Revision: revision}
		}
		f.peers.copied.Apply(Delta{Era: 1, Whole: true, UpTo: 30, Items: []Item{config(9, 30)}})
		f.store.restore(Delta{Whole: true, UpTo: 20, Items: []Item{config(3, 20)}})
		f.peers.copied.Apply(f.store.backup())
		f.peers.setAge(0)
		started := NewCopy()
		node := NewFollower(DefaultConfig(), started, f.store, f.peers, &heard{}, f.now)
		node.Start()
		defer node.Close()
		time.Sleep(time.Second)
		item, _ := started.Get("config")
		require.EqualValues(t, 9, item.Rank)
	})
}

// A first reading may be seconds old: from before the store came back from a copy. The store's revisions are
// lower than it, so that nothing that is read later would be taken for news.
func TestAFirstReadingFromBeforeARestoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		store := &fakeStore{state: NewCopy(), before: NewCopy()}
		store.before.Apply(Delta{Era: 2, Whole: true, UpTo: 40, Items: []Item{put("lost", 40)}})
		store.state.Apply(Delta{Era: 2, Whole: true, UpTo: 20, Items: []Item{put("a", 20)}})
		started := time.Now()
		f := NewFollower(DefaultConfig(), NewCopy(), store, alone(), &heard{}, func() core.Time { return time.Since(started) + 1 })
		f.Start()
		defer f.Close()
		time.Sleep(time.Second)
		require.Equal(t, all(store.state), all(f.copy))
	})
}

// The header that tells the era vanishes, or cannot be read, while the store goes back. Nothing is taken back, the
// node does not call itself up to date, the store is not asked without end, and the log tells.
// Once eras are told again the copy goes on from there.
func TestAnEraThatIsNotToldTakesNothingBack(t *testing.T) {
	follow(t, alone, func(f following) {
		backup := f.store.backup()
		f.drill(backup, func() {})
		f.store.put("b", false)
		f.store.put("c", false)
		time.Sleep(time.Second)
		f.store.set(func(s *fakeStore) { s.untold = true })
		f.drill(backup, func() {})
		before := f.store.count()
		time.Sleep(10 * time.Second)
		require.Less(t, f.store.count()-before, 50)
		_, held := f.copy.Get("c")
		require.True(t, held)
		f.listener.mutex.Lock()
		untold, notTaken := f.listener.untold, len(f.listener.notTaken)
		f.listener.mutex.Unlock()
		require.Equal(t, 1, untold)
		require.Equal(t, 1, notTaken)
		age, _ := f.Age()
		require.Greater(t, age, 9*time.Second)
		f.store.set(func(s *fakeStore) { s.untold = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, all(f.store.contents()), all(f.copy))
		age, _ = f.Age()
		require.Less(t, age, 2*time.Second)
	})
}

// A copy of an older era is offered by a node that the store turns away, whole or in part, and a part of a newer one.
// Neither fits this copy, and what confirmed the other says nothing of this one.
func TestNothingOfAnotherEraIsLaidOnACopy(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Era: 2, Whole: true, UpTo: 10, Items: []Item{put("a", 10)}})
	for _, delta := range []Delta{
		{Era: 1, Whole: true, UpTo: 90, Items: []Item{put("old", 90)}},
		{Era: 1, After: 10, UpTo: 90, Items: []Item{{Key: "a", Revision: 90, Removed: true}}},
		{Era: 3, After: 10, UpTo: 11, Items: []Item{put("part", 11)}},
	} {
		require.True(t, c.Apply(delta).OtherEra)
		require.Equal(t, Position{Era: 2, Revision: 10}, c.Position())
		require.Equal(t, map[string]Item{"a": put("a", 10)}, c.items)
	}
	require.Empty(t, c.Since(Position{Era: 3, Revision: 5}).Items, "who is ahead gets nothing")
	require.True(t, c.Since(Position{Era: 1, Revision: 10}).Whole, "who is behind gets all")
	makePeers := func() *fakePeers { return &fakePeers{reader: true, copied: NewCopy()} }
	follow(t, makePeers, func(f following) {
		f.peers.copied.Apply(f.store.backup())
		f.store.restore(f.store.backup())
		time.Sleep(2 * time.Second)
		f.store.set(func(s *fakeStore) { s.busy = true })
		time.Sleep(5 * time.Second)
		age, _ := f.Age()
		require.GreaterOrEqual(t, age, 5*time.Second-DefaultConfig().WatchWait, "the other node's fresh copy is of the former era")
	})
}

// An asker whose program does not know eras is answered as of this copy's; told that it is behind, it would ask for
// everything again and again.
func TestAnAskerThatKnowsNoErasIsNotSentEverything(t *testing.T) {
	c := NewCopy()
	c.Apply(Delta{Era: 2, Whole: true, UpTo: 10, Items: []Item{put("a", 10)}})
	server := NewServer(c, func() (time.Duration, bool) { return 0, true })
	require.Equal(t, Position{Era: 2, Revision: 10}, server.reachedBy(request(10, nil)))
	era := uint64(1)
	require.Equal(t, Position{Era: 1, Revision: 10}, server.reachedBy(request(10, &era)))
	require.False(t, news(c.Position(), Position{Era: 2, Revision: 10}))
	require.True(t, news(c.Position(), Position{Era: 1, Revision: 10}))
	require.True(t, news(c.Position(), Position{Era: 3, Revision: 10}), "it must turn to others")
	require.False(t, news(Position{}, Position{Era: 3}), "an empty copy has nothing to tell yet")
}

var large = flag.Int("large", 60, "nodes of the fleet that a drill is played with")

// chain is a node's peers in a fleet: a reader, or one that follows the node before it.
type chain struct {
	role Role
	from *Copy
	age  func() (time.Duration, bool)
	// whole counts the whole deltas that were given.
	whole *atomic.Int64
}

func (c *chain) Sources(int) ([]peer.Target, Role) { return []peer.Target{{Node: "before"}}, c.role }

func (c *chain) Fetch(ctx context.Context, _ peer.Target, reached Position, wait time.Duration) (Delta, time.Duration, error) {
	changed := c.from.Changed()
	if !news(c.from.Position(), reached) {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return Delta{}, 0, ctx.Err()
		}
	}
	age, known := c.age()
	if !known {
		age = unconfirmed
	}
	delta := c.from.Since(reached)
	if delta.Whole {
		c.whole.Add(1)
	}
	return delta, age, nil
}

// The store is away for three seconds, so that all nodes turn to it, and comes back from a copy. All at once they
// would read it whole, 780 nodes three times what it bears in a second. Those that read it for the others do, or, where it turns
// these away, the heads of data centres; the rest has it from them, and a change is in force in time.
func TestADrillDoesNotMakeAllNodesReadTheStoreWhole(t *testing.T) {
	for name, turnedAway := range map[string]bool{"all served": false, "the readers turned away": true} {
		t.Run(name, func(t *testing.T) { drillOfAFleet(t, *large, turnedAway) })
	}
}

func drillOfAFleet(t *testing.T, nodes int, turnedAway bool) {
	const readers, heads = 3, 6
	synctest.Test(t, func(*testing.T) {
		started := time.Now()
		now := func() core.Time { return time.Since(started) + 1 }
		store := &fakeStore{state: NewCopy()}
		store.state.Apply(Delta{Era: 1, Whole: true, UpTo: 1})
		store.configure(3)
		ofReaders := &fakeStore{state: store.state}
		var fleet []*Follower
		var given atomic.Int64
		for i := range nodes {
			before, role, from := readers+i%heads, Other, store
			switch {
			case i < readers:
				before, role, from = max(i-1, 0), Reader, ofReaders
			case i < readers+heads:
				before, role = i%readers, Head
			}
			peers := &chain{role: role, whole: &given, from: NewCopy(), age: func() (time.Duration, bool) { return 0, false }}
			if before < i {
				peers.from, peers.age = fleet[before].copy, fleet[before].Age
			}
			fleet = append(fleet, NewFollower(DefaultConfig(), NewCopy(), from, peers, &heard{}, now))
		}
		for _, one := range fleet {
			one.Start()
			defer one.Close()
		}
		time.Sleep(5 * time.Second)
		backup := store.backup()
		for range 10 {
			store.put("lost", false)
		}
		time.Sleep(2 * time.Second)
		for _, one := range []*fakeStore{store, ofReaders} {
			one.set(func(s *fakeStore) { s.busy = true })
		}
		time.Sleep(3 * time.Second)
		store.restore(backup)
		store.configure(5)
		store.set(func(s *fakeStore) { s.busy = false })
		ofReaders.set(func(s *fakeStore) { s.state, s.busy = store.state, turnedAway })
		readings := func() (whole, calls int) {
			return store.wholeReadings() + ofReaders.wholeReadings(), store.count() + ofReaders.count()
		}
		whole, calls := readings()
		given.Store(0)
		time.Sleep(3 * time.Second)
		for i, one := range fleet {
			if turnedAway && i < readers {
				continue
			}
			item, _ := one.copy.Get("config")
			require.EqualValues(t, 5, item.Rank, "node %d", i)
			require.EqualValues(t, 2, one.copy.Position().Era)
		}
		wholeAfter, callsAfter := readings()
		t.Logf("%d nodes: %d whole readings and %d calls at the store in 3 s, %d whole copies between nodes", nodes, wholeAfter-whole, callsAfter-calls, given.Load())
		require.Positive(t, wholeAfter-whole)
		if turnedAway {
			require.LessOrEqual(t, wholeAfter-whole, heads)
			return
		}
		require.LessOrEqual(t, wholeAfter-whole, readers)
		require.Less(t, callsAfter-calls, 3*nodes)
	})
}

// Nodes exchange copies while the store comes back from copies of itself, whose revisions are given out again for other
// contents; what a node told may arrive much later, in another era. No configuration ever falls in version, no
// copy holds what its era never held, and in the end all are alike.
func TestCopiesAgreeOverErasWhateverTheOrderOfDeltas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{state: NewCopy()}
		store.state.Apply(Delta{Era: 1, Whole: true, UpTo: 1})
		// written holds what each era ever held.
		written := map[uint64]map[string]bool{}
		note := func() {
			era := store.state.Position().Era
			if written[era] == nil {
				written[era] = map[string]bool{}
			}
			for _, item := range store.state.items {
				written[era][item.Key+string(item.Value)] = true
			}
		}
		nodes := []*Copy{NewCopy(), NewCopy(), NewCopy()}
		ranks := make([]uint64, len(nodes))
		var backups, late []Delta
		version, value := uint64(0), 0
		take := func(i int, delta Delta) {
			nodes[i].Apply(delta)
			held := nodes[i].items["config"].Rank
			require.GreaterOrEqual(t, held, ranks[i], "a version never falls")
			ranks[i] = held
			for key, item := range nodes[i].items {
				require.True(t, key == "config" || written[nodes[i].era][key+string(item.Value)], "%s of another era", key)
			}
		}
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 999), 1, 120).Draw(t, "steps") {
			i, j := step%3, step/3%3
			switch step / 100 {
			case 0, 1:
				value++
				store.write(Item{Key: fmt.Sprint("k", step%4), Value: fmt.Append(nil, value), Removed: step%5 == 0})
			case 2:
				version++
				store.configure(version)
			case 3:
				backups = append(backups, store.backup())
			case 4:
				if len(backups) > 0 {
					store.restore(backups[step%len(backups)])
				}
			case 5, 6:
				reached := nodes[i].Position()
				if reached.Era != store.state.Position().Era {
					reached = Position{}
				}
				note()
				take(i, store.state.Since(reached))
			case 7:
				take(i, nodes[j].Since(nodes[i].Position()))
			case 8:
				late = append(late, nodes[j].Since(nodes[i].Position()))
			default:
				if len(late) > 0 {
					take(i, late[step%len(late)])
				}
			}
			note()
		}
		version++
		store.configure(version)
		note()
		take(0, store.state.Since(Position{}))
		for i := range nodes[1:] {
			take(i+1, nodes[0].Since(nodes[i+1].Position()))
		}
		for _, one := range nodes {
			require.Equal(t, slices.Sorted(maps.Keys(store.state.items)), slices.Sorted(maps.Keys(one.items)))
			require.Equal(t, store.state.items, one.items)
		}
	})
}
