// Package confwatch keeps the operators' configuration up to date at one node: a
// relay reads the configuration service, other nodes poll the relays, and every node
// answers its peers. The decisions are made by internal/core/config.
package confwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/config"
	"github.com/pistachiopier/pistachiopier/internal/core/era"
	"github.com/pistachiopier/pistachiopier/internal/observe"
	"github.com/pistachiopier/pistachiopier/internal/peer"
	"github.com/pistachiopier/pistachiopier/internal/ring"
)

const (
	tickInterval = 100 * time.Millisecond
	// pauseThreshold is the interval between two ticks above which the process counts
	// as paused.
	pauseThreshold   = 2 * time.Second
	eventRingDepth   = 4096
	commandRingDepth = 1
)

// Reader reads the configuration service.
type Reader interface {
	ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confservice.Config, bool, error)
}

// Options are the dependencies of a Watcher.
type Options struct {
	Self       core.NodeID
	DataCentre string
	Service    Reader
	Belief     *belief.Store
	Peers      peer.Sender
	Now        func() core.Time
	Log        logrus.FieldLogger
	Problems   *observe.Problems
	Metrics    observe.Registry
	// Ticks, when set, replaces the watcher's own ticker.
	Ticks <-chan time.Time
	// Seed seeds the jitter of wait times.
	Seed uint64
}

// Watcher keeps one node's configuration up to date and answers its peers. One
// goroutine owns its state, another reads the service; rings connect the two.
type Watcher struct {
	Options
	machine  *config.Machine
	follower *config.Follower
	events   *ring.Ring[event]
	commands *ring.Ring[readCommand]
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	openRequests  map[uint64]*peerRequest
	lastRequestID uint64
	parked        []*parkedPoll
	history       history
	cancelRead    context.CancelFunc
	serviceFailed bool
	loggedDetails map[config.Problem]string
	lastTick      core.Time
	nextGatherAt  core.Time
}

// event is an input of the goroutine that owns the state.
type event interface{ apply(w *Watcher) }

// New returns a watcher that queues requests and does nothing else before Start.
func New(options Options) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	jitter := rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self))))
	w := &Watcher{
		Options:       options,
		machine:       config.New(options.Now()),
		follower:      config.NewFollower(options.Self, options.DataCentre, jitter.Float64),
		events:        ring.New[event](eventRingDepth),
		commands:      ring.New[readCommand](commandRingDepth),
		ctx:           ctx,
		stop:          stop,
		openRequests:  map[uint64]*peerRequest{},
		cancelRead:    func() {},
		loggedDetails: map[config.Problem]string{},
		lastTick:      options.Now(),
	}
	return w
}

// Start starts the watcher; Close stops it.
func (w *Watcher) Start() {
	// The time limits of a start run from here, not from New.
	w.machine = config.New(w.Now())
	w.lastTick = w.Now()
	w.Belief.OnChange(func() { w.events.TryPut(viewOrConfigChanged{}) })
	w.done.Add(2)
	go w.readService()
	go w.run()
}

// Close stops the watcher. It refuses parked polls, so that their senders switch to
// another relay at once.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
}

func (w *Watcher) run() {
	defer w.done.Done()
	ticks := w.Ticks
	if ticks == nil {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	viewOrConfigChanged{}.apply(w)
	for {
		select {
		case <-w.ctx.Done():
			w.refuseParked()
			return
		case e := <-w.events.Items():
			e.apply(w)
		case <-ticks:
			tick{}.apply(w)
		}
	}
}

// viewOrConfigChanged is sent when the view or the configuration in force may have changed.
type viewOrConfigChanged struct{}

func (viewOrConfigChanged) apply(w *Watcher) {
	w.gatherPeers()
	w.follow(w.follower.SetView(w.Now(), w.Belief.View(), w.machine.InForce().Revision))
}

type tick struct{}

func (tick) apply(w *Watcher) {
	now := w.Now()
	paused := now-w.lastTick > pauseThreshold
	w.lastTick = now
	if paused {
		w.follow(w.follower.Resume(now))
	}
	w.expireRequests(now)
	w.expireParked(now)
	w.gatherPeers()
	w.act(w.machine.Tick(now))
	w.follow(w.follower.Tick(now))
	w.updateGauges()
}

// gatherPeers requests the revision of peers in each data centre while nothing is
// in force here.
func (w *Watcher) gatherPeers() {
	now := w.Now()
	view := w.Belief.View()
	if !w.machine.Gathering() || len(view.Nodes()) == 0 || now < w.nextGatherAt {
		return
	}
	w.nextGatherAt = now + config.GatherRetryInterval
	peers := config.StartPeers(view, w.Self)
	w.act(w.machine.AskPeers(now, peers))
	for _, node := range peers {
		if !w.requestOpen(requestMark, node.ID) {
			w.send(requestMark, node)
		}
	}
}

// act carries out the actions of the state machine, including those that result from them.
func (w *Watcher) act(actions []config.Action) {
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		switch a := next.(type) {
		case config.Adopt:
			w.adopt(a.Reading)
		case config.Fetch:
			actions = append(actions, w.fetch(a.Peer)...)
		case config.Report:
			w.report(a)
			w.announceRefusal()
		case config.Clear:
			w.clear(a.Problem)
		}
	}
}

// adopt puts a reading in force and answers the parked polls that it supersedes. The
// change notice of Belief then makes the node follow the relays of the new revision.
func (w *Watcher) adopt(reading *config.Reading) {
	previous := w.Belief.Config()
	w.history.add(previous, reading)
	w.Belief.SetConfig(&belief.Config{
		Revision: reading.Mark.Revision,
		Digest:   reading.Mark.Digest,
		Text:     reading.Text,
		Catalog:  reading.Catalog,
	})
	w.answerParked()
	w.Log.WithFields(logrus.Fields{"event": "config_in_force", "revision": era.Revision(reading.Mark.Revision), "era": era.Of(reading.Mark.Revision)}).Info("new configuration revision in force")
	w.updateGauges()
}

// follow carries out the actions of the follower.
func (w *Watcher) follow(actions []config.FollowAction) {
	for _, next := range actions {
		switch a := next.(type) {
		case config.Poll:
			w.sendWithWait(requestPoll, a.Node, a.Wait)
		case config.CancelPoll:
			w.cancelRequest(requestPoll, a.Node)
		case config.Watch:
			w.startRead(a.Wait)
		case config.CancelWatch:
			w.cancelRead()
		}
	}
}
