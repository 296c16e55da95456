package loadmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// upstream is one replica: slots, a queue, pauses, and the faults of the moment.
type upstream struct {
	world *world
	entry replica.Replica
	// slow multiplies work; refuses is the share of requests that it turns away at any load;
	// down is set while it does not run.
	slow    float64
	refuses float64
	down    bool
	// phase shifts its pauses against those of the others.
	phase time.Duration

	working []*job
	queue   []*job
}

// job is one send at a replica.
type job struct {
	work time.Duration
	// end tells how it ended, unless it was dropped.
	end     func(scatter.Verdict)
	running bool
	over    bool
}

func (j *job) finish(verdict scatter.Verdict) {
	if !j.over {
		j.over = true
		j.end(verdict)
	}
}

// arrive takes a send, or turns it away.
func (u *upstream) arrive(j *job) {
	switch {
	case u.down:
		j.finish(scatter.Unreached)
	case u.world.random.Float64() < u.refuses, len(u.working) >= u.world.pattern.Slots && len(u.queue) >= u.world.pattern.Queue:
		j.finish(scatter.Refused)
	case len(u.working) < u.world.pattern.Slots:
		u.start(j)
	default:
		u.queue = append(u.queue, j)
	}
}

func (u *upstream) start(j *job) {
	u.working = append(u.working, j)
	j.running = true
	done := u.workedOff(u.world.clock.now, time.Duration(float64(j.work)*u.slow*u.noise(u.world.clock.now)))
	u.world.clock.at(done, func() {
		if !j.running {
			return
		}
		j.finish(scatter.Succeeded)
		u.release(j)
	})
}

// release frees the slot of a running job and starts the next one.
func (u *upstream) release(j *job) {
	j.running = false
	u.working = slices.DeleteFunc(u.working, func(one *job) bool { return one == j })
	for len(u.queue) > 0 && len(u.working) < u.world.pattern.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
}

// drop ends a job whose caller has gone.
func (u *upstream) drop(j *job) {
	if j.over {
		return
	}
	j.over = true
	if j.running {
		u.release(j)
		return
	}
	u.queue = slices.DeleteFunc(u.queue, func(one *job) bool { return one == j })
}

// crash ends what it works on and holds; what was sent may have run.
func (u *upstream) crash() {
	u.down = true
	held := append(u.queue, u.working...)
	u.queue, u.working = nil, nil
	for _, j := range held {
		j.running = false
		j.finish(scatter.Failed)
	}
}

// noise is how many times as long work takes at a moment. It draws from the replica, the moment and the
// seed alone, so that variants of a play meet the same noise.
func (u *upstream) noise(now core.Time) float64 {
	n := u.world.pattern.Noise
	if n.Share == 0 {
		return 1
	}
	moment := uint64(now / n.Every)
	if rand.New(rand.NewPCG(u.world.options.Seed^uint64(u.phase), moment)).Float64() < n.Share {
		return n.Times
	}
	return 1
}

// workedOff is when work that begins now is done, with the pauses in between.
func (u *upstream) workedOff(now core.Time, work time.Duration) core.Time {
	every, length := u.world.pattern.PauseEvery, u.world.pattern.Pause
	if every <= 0 {
		return now + work
	}
	for {
		into := (now + u.phase) % every
		if into < length {
			now += length - into
			continue
		}
		if untilPause := every - into; work > untilPause {
			work -= untilPause
			now += untilPause
			continue
		}
		return now + work
	}
}

// wait is how long it takes until work that comes now is done: what an oracle knows.
func (u *upstream) wait(now core.Time, usual time.Duration) time.Duration {
	if u.down {
		return time.Hour
	}
	ahead := time.Duration(0)
	if len(u.working) >= u.world.pattern.Slots {
		ahead = time.Duration(float64(usual) * u.slow * float64(len(u.queue)+1) / float64(u.world.pattern.Slots))
	}
	return u.workedOff(now, ahead+time.Duration(float64(usual)*u.slow)) - now
}
