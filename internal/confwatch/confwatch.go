// Package confwatch keeps the operators' text in force at one node: it reads the
// configuration service when the node is a relay, follows the relays otherwise,
// and answers other nodes. What to do is decided by internal/core/config.
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
	tickEvery = 100 * time.Millisecond
	// pausedAfter is how late a tick may come before the process counts as
	// having been paused.
	pausedAfter   = 2 * time.Second
	eventDepth    = 4096
	commandsDepth = 1
)

// Reader reads the configuration service.
type Reader interface {
	ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confservice.Config, bool, error)
}

// Options are what a watcher needs of its node.
type Options struct {
	Self       core.NodeID
	DataCentre string
	Service    Reader
	Belief     *belief.Store
	Peers      peer.Asker
	Now        func() core.Time
	Log        logrus.FieldLogger
	Problems   *observe.Problems
	Metrics    observe.Registry
	// Ticks, when set, replaces the duty's own ticker.
	Ticks <-chan time.Time
	// Seed seeds the jitter of waits.
	Seed uint64
}

// Watcher is the configuration duty of one node. One goroutine owns its state;
// another one reads the service. Both are joined by rings.
type Watcher struct {
	Options
	machine  *config.Machine
	follower *config.Follower
	events   *ring.Ring[event]
	commands *ring.Ring[readCommand]
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	asks       map[uint64]*ask
	lastAsk    uint64
	parked     []*parked
	history    history
	cancelRead context.CancelFunc
	readFailed bool
	logged     map[config.Problem]string
	lastTick   core.Time
	nextGather core.Time
}

// event is something that happened to the duty.
type event interface{ apply(w *Watcher) }

// New makes a watcher that takes requests but does nothing before Start.
func New(options Options) *Watcher {
	ctx, stop := context.WithCancel(context.Background())
	jitter := rand.New(rand.NewPCG(options.Seed, xxhash.Sum64String(string(options.Self))))
	w := &Watcher{
		Options:    options,
		machine:    config.New(options.Now()),
		follower:   config.NewFollower(options.Self, options.DataCentre, jitter.Float64),
		events:     ring.New[event](eventDepth),
		commands:   ring.New[readCommand](commandsDepth),
		ctx:        ctx,
		stop:       stop,
		asks:       map[uint64]*ask{},
		cancelRead: func() {},
		logged:     map[config.Problem]string{},
		lastTick:   options.Now(),
	}
	return w
}

// Start begins the duty; Close ends it.
func (w *Watcher) Start() {
	// The waits of a start count from here, not from New.
	w.machine = config.New(w.Now())
	w.lastTick = w.Now()
	w.Belief.OnChange(func() { w.events.TryPut(turn{}) })
	w.done.Add(2)
	go w.readService()
	go w.run()
}

// Close ends the duty. Held polls are refused, so that those who asked turn to
// another relay at once.
func (w *Watcher) Close() {
	w.stop()
	w.done.Wait()
}

func (w *Watcher) run() {
	defer w.done.Done()
	ticks := w.Ticks
	if ticks == nil {
		ticker := time.NewTicker(tickEvery)
		defer ticker.Stop()
		ticks = ticker.C
	}
	turn{}.apply(w)
	for {
		select {
		case <-w.ctx.Done():
			w.refuseParked()
			return
		case happened := <-w.events.Items():
			happened.apply(w)
		case <-ticks:
			tick{}.apply(w)
		}
	}
}

// turn says that the view or the configuration in force may have changed.
type turn struct{}

func (turn) apply(w *Watcher) {
	w.gatherPeers()
	w.follow(w.follower.SetView(w.Now(), w.Belief.View(), w.machine.InForce().Revision))
}

type tick struct{}

func (tick) apply(w *Watcher) {
	now := w.Now()
	paused := now-w.lastTick > pausedAfter
	w.lastTick = now
	if paused {
		w.follow(w.follower.Resume(now))
	}
	w.expireAsks(now)
	w.expireParked(now)
	w.gatherPeers()
	w.act(w.machine.Tick(now))
	w.follow(w.follower.Tick(now))
	w.gauge()
}

// gatherPeers asks peers of each data centre for their revision while nothing
// is in force here.
func (w *Watcher) gatherPeers() {
	now := w.Now()
	view := w.Belief.View()
	if !w.machine.Gathering() || len(view.Nodes()) == 0 || now < w.nextGather {
		return
	}
	w.nextGather = now + config.GatherRetryInterval
	peers := config.StartPeers(view, w.Self)
	w.act(w.machine.AskPeers(now, peers))
	for _, node := range peers {
		if !w.asking(askMark, node.ID) {
			w.ask(askMark, node)
		}
	}
}

// act carries out what the machine decided, and what follows from it.
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
			w.answerRefusal()
		case config.Clear:
			w.clear(a.Problem)
		}
	}
}

// adopt puts a reading in force, tells the waiting peers, and turns to the
// relays of the new revision.
func (w *Watcher) adopt(reading *config.Reading) {
	former := w.Belief.Config()
	w.history.add(former, reading)
	w.Belief.SetConfig(&belief.Config{
		Revision: reading.Mark.Revision,
		Digest:   reading.Mark.Digest,
		Text:     reading.Text,
		Catalog:  reading.Catalog,
	})
	w.answerParked()
	w.Log.WithFields(logrus.Fields{"event": "config_in_force", "revision": era.Revision(reading.Mark.Revision), "era": era.Of(reading.Mark.Revision)}).Info("revision in force")
	w.gauge()
}

// follow carries out what the follower decided.
func (w *Watcher) follow(actions []config.FollowAction) {
	for _, next := range actions {
		switch a := next.(type) {
		case config.Poll:
			w.askFor(askPoll, a.Node, a.Wait)
		case config.CancelPoll:
			w.cancelAsk(askPoll, a.Node)
		case config.Watch:
			w.startRead(a.Wait)
		case config.CancelWatch:
			w.cancelRead()
		}
	}
}
