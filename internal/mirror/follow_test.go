package mirror

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// fakeStore is a store in memory. While it is silent, calls last until they are given up.
type fakeStore struct {
	mutex sync.Mutex
	state *Copy
	// before, when set, is what stale readings give.
	before *Copy
	silent bool
	busy   bool
	// hasty watches end at once with nothing new.
	hasty     bool
	forgotten uint64
	// untold stores name no era.
	untold bool
	// whole counts the readings of everything.
	whole int
	// most is how many changes one watch gives; 0 is all.
	most  int
	calls int
}

var errBusy = errors.New("busy")

func (s *fakeStore) call(ctx context.Context) error {
	s.mutex.Lock()
	s.calls++
	silent, busy := s.silent, s.busy
	s.mutex.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if busy {
		return errBusy
	}
	return nil
}

func (s *fakeStore) Page(ctx context.Context, _ string, stale bool) (Page, error) {
	if err := s.call(ctx); err != nil {
		return Page{}, err
	}
	s.set(func(s *fakeStore) {
		if !stale {
			s.whole++
		}
	})
	if stale && s.before != nil {
		return pageOf(s.before), nil
	}
	page := pageOf(s.contents())
	page.Era = s.told(page.Era)
	return page, nil
}

// pageOf is all that a state holds.
func pageOf(state *Copy) Page {
	delta := state.Since(Position{})
	return Page{Items: delta.Items, Revision: delta.UpTo, Era: delta.Era}
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, wait time.Duration) (Delta, error) {
	if err := s.call(ctx); err != nil {
		return Delta{}, err
	}
	state := s.contents()
	s.mutex.Lock()
	gone, hasty := after < s.forgotten || after > state.UpTo(), s.hasty
	s.mutex.Unlock()
	if hasty {
		return Delta{After: after, UpTo: after}, nil
	}
	if gone {
		return Delta{}, ErrHistoryGone
	}
	changed := state.Changed()
	if state.UpTo() <= after {
		select {
		case <-changed:
		case <-time.After(wait):
		case <-ctx.Done():
			return Delta{}, ctx.Err()
		}
	}
	delta := s.cut(state.Since(Position{Era: state.Position().Era, Revision: after}))
	delta.Era = s.told(delta.Era)
	return delta, nil
}

// cut leaves the oldest changes, as many as one answer holds.
func (s *fakeStore) cut(delta Delta) Delta {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.most == 0 || len(delta.Items) <= s.most {
		return delta
	}
	slices.SortFunc(delta.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	delta.Items = delta.Items[:s.most]
	delta.UpTo = delta.Items[s.most-1].Revision
	return delta
}

func (s *fakeStore) Close() {}

func (s *fakeStore) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *fakeStore) set(change func(*fakeStore)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

// contents are what the store holds now.
func (s *fakeStore) contents() *Copy {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.state
}

// told is the era that answers name.
func (s *fakeStore) told(era uint64) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.untold {
		return 0
	}
	return era
}

// wholeReadings counts the readings of everything that need be the newest.
func (s *fakeStore) wholeReadings() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.whole
}

// put changes an item in the store.
func (s *fakeStore) put(key string, removed bool) { s.write(Item{Key: key, Removed: removed}) }

// configure writes a configuration of a version.
func (s *fakeStore) configure(version uint64) {
	s.write(Item{Key: "config", Value: fmt.Append(nil, version), Rank: version})
}

func (s *fakeStore) write(item Item) {
	state := s.contents()
	reached := state.Position()
	item.Revision = reached.Revision + 1
	state.Apply(Delta{Era: reached.Era, After: reached.Revision, UpTo: item.Revision, Items: []Item{item}})
}

// backup copies what the store holds.
func (s *fakeStore) backup() Delta { return s.contents().Since(Position{}) }

// restore puts a backup in place of what the store holds, in the next era.
func (s *fakeStore) restore(from Delta) {
	from.Era = s.contents().Position().Era + 1
	restored := NewCopy()
	restored.Apply(from)
	s.set(func(s *fakeStore) { s.state = restored })
}

// fakePeers is one peer with a copy of its own.
type fakePeers struct {
	reader bool
	copied *Copy
	mutex  sync.Mutex
	age    time.Duration
	// follows, when set, is the follower itself: the others have what it read, no more.
	follows *Follower
}

func alone() *fakePeers { return &fakePeers{} }

func (p *fakePeers) setAge(age time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.age = age
}

func (p *fakePeers) Sources(int) ([]peer.Target, Role) {
	if p.copied == nil {
		return nil, Reader
	}
	return []peer.Target{{Node: "peer"}}, roleOf(p.reader)
}

func roleOf(reader bool) Role {
	if reader {
		return Reader
	}
	return Other
}

func (p *fakePeers) Fetch(ctx context.Context, _ peer.Target, reached Position, wait time.Duration) (Delta, time.Duration, error) {
	p.mutex.Lock()
	follows := p.follows
	p.mutex.Unlock()
	if follows != nil {
		time.Sleep(wait)
		age, _ := follows.Age()
		return Delta{Era: reached.Era, After: reached.Revision, UpTo: reached.Revision}, age, nil
	}
	if !news(p.copied.Position(), reached) {
		select {
		case <-p.copied.Changed():
		case <-time.After(wait):
		case <-ctx.Done():
			return Delta{}, 0, ctx.Err()
		}
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.copied.Since(reached), p.age, nil
}

// heard collects what a listener is told.
type heard struct {
	mutex   sync.Mutex
	changes []Change
	lost    int
	back    int
	// eras, notTaken and untold are what was told of eras and readings.
	eras     []EraChange
	notTaken []RejectedReading
	untold   int
}

func (h *heard) Changed(change Change) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.changes = append(h.changes, change)
}

func (h *heard) SourceFailed(string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.lost++
}

func (h *heard) SourceRecovered(string, time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.back++
}

func (h *heard) ReadingRejected(one RejectedReading) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.notTaken = append(h.notTaken, one)
}

func (h *heard) EraChanged(change EraChange) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.eras = append(h.eras, change)
}

func (h *heard) EraMissing(uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.untold++
}

func (h *heard) last() Change {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.changes[len(h.changes)-1]
}

type following struct {
	*Follower
	store    *fakeStore
	peers    *fakePeers
	listener *heard
}

// follow runs a scenario in virtual time. The peers are made within it: a wait on a channel
// from outside would stop the clock.
func follow(t *testing.T, makePeers func() *fakePeers, scenario func(f following)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		peers := makePeers()
		store := &fakeStore{state: NewCopy()}
		store.state.Apply(Delta{Whole: true, UpTo: 1})
		started := time.Now()
		f := following{store: store, peers: peers, listener: &heard{}}
		now := func() core.Time { return time.Since(started) + 1 }
		f.Follower = NewFollower(DefaultConfig(), NewCopy(), store, peers, f.listener, now)
		store.put("a", false)
		f.Start()
		defer f.Close()
		time.Sleep(time.Second)
		scenario(f)
	})
}

func TestAChangeIsTakenUpAtOnce(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.put("b", false)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, f.store.state.UpTo(), f.copy.UpTo())
	})
}

// The store is silent for four seconds and drops the entries of replicas that could not
// renew them. Their removal says nothing of them; a removal later on does.
func TestRemovalsAfterAnOutageAreMarked(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(4 * time.Second)
		f.store.put("a", true)
		f.store.put("b", false)
		f.store.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(6 * time.Second)
		require.True(t, f.listener.last().AfterOutage)
		require.Equal(t, 1, f.listener.lost)
		require.Equal(t, 1, f.listener.back)
		f.store.put("b", true)
		time.Sleep(time.Second)
		require.False(t, f.listener.last().AfterOutage)
	})
}

// All nodes start again at once. The peers know nothing yet, and each refuses callers until
// it has a configuration.
func TestAStartDoesNotWaitForPeersThatKnowNothing(t *testing.T) {
	makePeers := func() *fakePeers { return &fakePeers{copied: NewCopy(), age: time.Hour} }
	synctest.Test(t, func(*testing.T) {
		store := &fakeStore{state: NewCopy()}
		store.state.Apply(Delta{Whole: true, UpTo: 5, Items: []Item{{Key: "a", Revision: 5}}})
		started := time.Now()
		f := NewFollower(DefaultConfig(), NewCopy(), store, makePeers(), &heard{}, func() core.Time { return time.Since(started) + 1 })
		f.Start()
		defer f.Close()
		time.Sleep(10 * time.Millisecond)
		require.EqualValues(t, 5, f.copy.UpTo())
	})
}

// A store that dropped its history is read anew, and what vanished meanwhile is noticed.
func TestADroppedHistoryIsReadAnew(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.set(func(s *fakeStore) { s.silent = true })
		time.Sleep(time.Second)
		f.store.put("a", true)
		f.store.put("b", false)
		f.store.set(func(s *fakeStore) { s.silent, s.forgotten = false, 100 })
		time.Sleep(3 * time.Second)
		_, held := f.copy.Get("a")
		require.False(t, held)
		_, held = f.copy.Get("b")
		require.True(t, held)
	})
}

// Something between answers each watch at once with nothing new. The node must not use up the
// reads that the store gives to all.
func TestAWatchThatEndsAtOnceIsNotRepeatedAtOnce(t *testing.T) {
	follow(t, alone, func(f following) {
		f.store.set(func(s *fakeStore) { s.hasty = true })
		before := f.store.count()
		time.Sleep(3 * time.Second)
		require.Less(t, f.store.count()-before, 3*20)
	})
}

// The store turns this node away and serves the others. Changes come from their copies,
// and the store is asked again at a bounded pace.
func TestANodeThatIsTurnedAwayFollowsAPeer(t *testing.T) {
	makePeers := func() *fakePeers { return &fakePeers{reader: true, copied: NewCopy()} }
	follow(t, makePeers, func(f following) {
		f.store.set(func(s *fakeStore) { s.busy = true })
		before := f.store.count()
		f.store.put("b", false)
		f.peers.copied.Apply(f.store.state.Since(Position{}))
		time.Sleep(5 * time.Second)
		_, held := f.copy.Get("b")
		require.True(t, held)
		require.LessOrEqual(t, f.store.count()-before, 5*3)
		age, _ := f.Age()
		require.Less(t, age, 3*time.Second)
	})
}

// stalePeers are several nodes that the store turns away too, and behind them, each third turn, one that
// it serves.
type stalePeers struct {
	fresh *Copy
	turn  int
	asked atomic.Int64
}

func (p *stalePeers) Sources(int) ([]peer.Target, Role) {
	p.turn++
	last := peer.Target{Node: "stale 5"}
	if p.turn%3 == 0 {
		last.Node = "fresh"
	}
	return []peer.Target{{Node: "stale 1"}, {Node: "stale 2"}, {Node: "stale 3"}, {Node: "stale 4"}, last}, Other
}

func (p *stalePeers) Fetch(_ context.Context, from peer.Target, reached Position, wait time.Duration) (Delta, time.Duration, error) {
	p.asked.Add(1)
	if from.Node != "fresh" {
		time.Sleep(wait)
		return Delta{Era: reached.Era, After: reached.Revision, UpTo: reached.Revision}, time.Minute, nil
	}
	return p.fresh.Since(reached), 0, nil
}

// The store turns away this node and all that it follows. One that knows more comes last among those that it
// can ask, and not each time. Held by each of the others for 0.4 s, it would take up a change after six seconds.
func TestAStaleNodeDoesNotWaitForOthersAsStale(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		store := &fakeStore{state: NewCopy()}
		store.state.Apply(Delta{Whole: true, UpTo: 1})
		store.put("a", false)
		peers := &stalePeers{fresh: NewCopy()}
		started := time.Now()
		f := NewFollower(DefaultConfig(), NewCopy(), store, peers, &heard{}, func() core.Time { return time.Since(started) + 1 })
		f.Start()
		defer f.Close()
		time.Sleep(time.Second)
		store.set(func(s *fakeStore) { s.busy = true })
		time.Sleep(10 * time.Second)
		store.put("b", false)
		peers.fresh.Apply(store.state.Since(Position{}))
		asked, most := peers.asked.Load(), time.Duration(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			age, _ := f.Age()
			most = max(most, age)
		}
		_, held := f.copy.Get("b")
		require.True(t, held)
		require.Less(t, most, DefaultConfig().StaleAfter+time.Second)
		require.Less(t, peers.asked.Load()-asked, int64(100*5), "it does not ask without end")
	})
}

// A node that is not a reader leaves the store alone while its peers are fresh. When the
// readers are cut off from the store it reads itself.
func TestAFollowerReadsTheStoreOnlyWhenItsPeersAreStale(t *testing.T) {
	makePeers := func() *fakePeers {
		copied := NewCopy()
		copied.Apply(Delta{Whole: true, UpTo: 2, Items: []Item{{Key: "a", Revision: 2}}})
		return &fakePeers{copied: copied}
	}
	follow(t, makePeers, func(f following) {
		before := f.store.count()
		require.Equal(t, 1, before, "the first reading is its own")
		time.Sleep(10 * time.Second)
		require.Equal(t, before, f.store.count())
		f.peers.setAge(time.Minute)
		f.store.put("b", false)
		time.Sleep(3 * time.Second)
		_, held := f.copy.Get("b")
		require.True(t, held)
	})
}

// The store turns all readers away while a catalogue is split: hundreds of new replicas register,
// and then a configuration names them. A node that can read the store gets 500 changes an answer.
// If it took the first answer for the newest state, it and all that follow it would go on with the
// former configuration for as many times four seconds as there are answers.
func TestAllChangesAreReadWhereOneAnswerHoldsAPart(t *testing.T) {
	makePeers := func() *fakePeers {
		copied := NewCopy()
		copied.Apply(Delta{Whole: true, UpTo: 2, Items: []Item{{Key: "a", Revision: 2}}})
		return &fakePeers{copied: copied}
	}
	follow(t, makePeers, func(f following) {
		f.store.set(func(s *fakeStore) { s.most = 500 })
		f.peers.mutex.Lock()
		f.peers.follows = f.Follower
		f.peers.mutex.Unlock()
		for i := range 1200 {
			f.store.put(fmt.Sprint("replica-", i), false)
		}
		f.store.put("config", false)
		f.store.put("a", true)
		// The copy is found stale first.
		time.Sleep(4 * time.Second)
		_, held := f.copy.Get("config")
		require.True(t, held)
		require.Equal(t, f.store.state.UpTo(), f.copy.UpTo())
	})
}

// Entries of replicas lapse while the store is away, and so many that one answer holds a part.
// None of them may be taken for gone at once.
func TestRemovalsAfterAnOutageAreMarkedInEachPart(t *testing.T) {
	follow(t, alone, func(f following) {
		for i := range 1100 {
			f.store.put(fmt.Sprint("replica-", i), false)
		}
		time.Sleep(time.Second)
		f.store.set(func(s *fakeStore) { s.silent, s.most = true, 500 })
		time.Sleep(5 * time.Second)
		for i := range 1100 {
			f.store.put(fmt.Sprint("replica-", i), true)
		}
		f.store.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(5 * time.Second)
		require.Equal(t, f.store.state.UpTo(), f.copy.UpTo())
		f.listener.mutex.Lock()
		defer f.listener.mutex.Unlock()
		removed := 0
		for _, change := range f.listener.changes {
			for _, item := range change.Items {
				if item.Removed {
					removed++
					require.True(t, change.AfterOutage)
				}
			}
		}
		require.Equal(t, 1100, removed)
	})
}

// All processes start at once, and the store gives them a reading that is seconds old: a configuration
// that was accepted just before is not in it. Nobody may take that reading for the newest state; a
// reader confirms it with its next call, and the others take the news from it and leave the store alone.
func TestAFirstReadingThatIsOldIsConfirmedAtOnce(t *testing.T) {
	for _, reader := range []bool{true, false} {
		synctest.Test(t, func(*testing.T) {
			started := time.Now()
			now := func() core.Time { return time.Since(started) + 1 }
			store := &fakeStore{state: NewCopy(), before: NewCopy()}
			store.before.Apply(Delta{Whole: true, UpTo: 4, Items: []Item{{Key: "config", Revision: 4}}})
			store.state.Apply(Delta{Whole: true, UpTo: 4, Items: []Item{{Key: "config", Revision: 4}}})
			store.put("config", false)
			peers := &fakePeers{reader: reader, copied: NewCopy(), age: time.Hour}
			f := NewFollower(DefaultConfig(), NewCopy(), store, peers, &heard{}, now)
			f.Start()
			defer f.Close()
			synctest.Wait()
			item, _ := f.copy.Get("config")
			if reader {
				require.EqualValues(t, 5, item.Revision)
				age, known := f.Age()
				require.True(t, known)
				require.Zero(t, age)
				return
			}
			require.EqualValues(t, 4, item.Revision, "an old configuration serves")
			_, known := f.Age()
			require.False(t, known, "but is not told to others as confirmed")
			peers.copied.Apply(store.state.Since(Position{}))
			peers.setAge(0)
			time.Sleep(time.Second)
			item, _ = f.copy.Get("config")
			require.EqualValues(t, 5, item.Revision)
			require.Equal(t, 1, store.count())
		})
	}
}
