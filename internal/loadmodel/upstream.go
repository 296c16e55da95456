package loadmodel

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/replica"
	"github.com/pistachiopier/pistachiopier/internal/core/scatter"
)

// upstream is one replica with slots, a queue, pauses and its current faults.
type upstream struct {
	simulation *simulation
	replica    replica.Replica
	// workFactor multiplies service times; refuseShare is the fraction of requests refused at any load;
	// down is set while the replica does not run.
	workFactor  float64
	refuseShare float64
	down        bool
	// speed divides service times; it does not change.
	speed float64
	// phase offsets its pauses from those of other replicas.
	phase time.Duration

	running []*job
	queue   []*job
}

// job is one send at a replica.
type job struct {
	work time.Duration
	// end is called with the verdict, unless the job was cancelled.
	end      func(scatter.Verdict)
	running  bool
	finished bool
}

func (j *job) finish(verdict scatter.Verdict) {
	if !j.finished {
		j.finished = true
		j.end(verdict)
	}
}

// arrive starts, queues or refuses a send.
func (u *upstream) arrive(j *job) {
	switch {
	case u.down:
		j.finish(scatter.Unreached)
	case u.simulation.random.Float64() < u.refuseShare, len(u.running) >= u.simulation.pattern.Slots && len(u.queue) >= u.simulation.pattern.Queue:
		u.simulation.report.RefusedArrivals++
		j.finish(scatter.Refused)
	case len(u.running) < u.simulation.pattern.Slots:
		u.start(j)
	default:
		u.queue = append(u.queue, j)
	}
}

func (u *upstream) start(j *job) {
	u.running = append(u.running, j)
	j.running = true
	done := u.completionTime(u.simulation.clock.now, time.Duration(float64(j.work)*u.slowdown(u.simulation.clock.now)))
	u.simulation.clock.at(done, func() {
		if !j.running {
			return
		}
		j.finish(scatter.Succeeded)
		u.release(j)
	})
}

// slowdown returns the factor on service times of work that begins at a time.
func (u *upstream) slowdown(now core.Time) float64 {
	return u.workFactor * u.noiseFactor(now) / u.speed
}

// release frees the slot of a running job and starts the next one.
func (u *upstream) release(j *job) {
	j.running = false
	u.running = slices.DeleteFunc(u.running, func(other *job) bool { return other == j })
	for len(u.queue) > 0 && len(u.running) < u.simulation.pattern.Slots {
		next := u.queue[0]
		u.queue = u.queue[1:]
		u.start(next)
	}
}

// cancel ends a job whose caller has disconnected.
func (u *upstream) cancel(j *job) {
	if j.finished {
		return
	}
	j.finished = true
	if j.running {
		u.release(j)
		return
	}
	u.queue = slices.DeleteFunc(u.queue, func(other *job) bool { return other == j })
}

// crash fails all running and queued jobs; they may have run.
func (u *upstream) crash() {
	u.down = true
	jobs := append(u.queue, u.running...)
	u.queue, u.running = nil, nil
	for _, j := range jobs {
		j.running = false
		j.finish(scatter.Failed)
	}
}

// noiseFactor returns the factor on service times at a time. It depends on the replica, the interval and
// the seed only, so that all variants of a run meet the same noise.
func (u *upstream) noiseFactor(now core.Time) float64 {
	n := u.simulation.pattern.Noise
	if n.Share == 0 {
		return 1
	}
	intervalIndex := uint64(now / n.Interval)
	if rand.New(rand.NewPCG(u.simulation.options.Seed^uint64(u.phase), intervalIndex)).Float64() < n.Share {
		return n.WorkFactor
	}
	return 1
}

// completionTime returns the time when work that begins now is done, including pauses.
func (u *upstream) completionTime(now core.Time, work time.Duration) core.Time {
	every, length := u.simulation.pattern.PauseInterval, u.simulation.pattern.PauseLength
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

// completionDelay returns the time until work that arrives now is done. Only the oracle knows it.
func (u *upstream) completionDelay(now core.Time, meanWork time.Duration) time.Duration {
	if u.down {
		return time.Hour
	}
	ahead := time.Duration(0)
	if len(u.running) >= u.simulation.pattern.Slots {
		ahead = time.Duration(float64(meanWork) * u.slowdown(now) * float64(len(u.queue)+1) / float64(u.simulation.pattern.Slots))
	}
	return u.completionTime(now, ahead+time.Duration(float64(meanWork)*u.slowdown(now))) - now
}

// expectedCompletion returns the expected time until work that arrives now is done, by the replica's speed, its faults and
// the requests there, but without its noise of the moment and its pauses.
func (u *upstream) expectedCompletion(meanWork time.Duration) time.Duration {
	if u.down {
		return time.Hour
	}
	work := float64(meanWork) * u.workFactor / u.speed
	rounds := float64(max(len(u.running)+len(u.queue)+1-u.simulation.pattern.Slots, 0)) / float64(u.simulation.pattern.Slots)
	return time.Duration(work * (1 + rounds))
}
