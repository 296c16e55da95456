// Package load sends an open-loop load and measures what comes back. Arrivals
// follow a schedule, and each latency counts from the scheduled arrival, so
// that a slow system cannot slow the load down and hide its own delay
// (coordinated omission).
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/wait"
)

// Request is one question.
type Request struct {
	Customer core.Customer
	Service  string
	// Timeout is the time the caller gives; 0 takes the service's.
	Timeout time.Duration
}

// Reply is what a question came to.
type Reply struct {
	// Outcome is "done", "not_run" or "unknown".
	Outcome string
	// Code names the failure when the outcome is not done.
	Code fault.Code
	// Asked and Answered count shards.
	Asked    int
	Answered int
	// Missing is the reason of each shard without a part.
	Missing []core.Reason
	// Mixed says that the parts are of more than one version.
	Mixed bool
	// Crossed says that a part belongs to another shard than it claims.
	Crossed bool
}

// Sender sends one question and waits for its end.
type Sender interface {
	Send(ctx context.Context, request Request) Reply
}

// Profile is a bounded load. All bounds are required.
type Profile struct {
	Arrivals Arrivals
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration bounds the schedule in time, MaxRequests in number.
	Duration    time.Duration
	MaxRequests int
	// MaxOutstanding bounds the requests in flight. An arrival above it is
	// not sent; it is counted as Unsent, never delayed.
	MaxOutstanding int
	Timeout        time.Duration
	Mix            []MixEntry
	Seed           uint64
}

// seedStreams keep the schedule and the mix independent of each other.
const (
	seedSchedule = 1
	seedMix      = 2
)

// Validate reports a profile that is not bounded.
func (p Profile) Validate() error {
	switch {
	case p.Rate <= 0 || p.Duration <= 0 || p.MaxRequests <= 0 || p.MaxOutstanding <= 0:
		return fault.NotRun(fault.CodeBadRequest, "the load is not bounded", "give a rate, a duration, a number of requests and of outstanding ones, all above 0")
	case len(p.Mix) == 0:
		return fault.NotRun(fault.CodeBadRequest, "the load names no service", "add a service")
	case p.Arrivals != ArrivalsPoisson && p.Arrivals != ArrivalsFixed && p.Arrivals != ArrivalsBursty:
		return fault.NotRun(fault.CodeBadRequest, "unknown arrivals "+string(p.Arrivals), "write poisson, fixed or bursty")
	}
	return nil
}

// Run sends the profile's load through the sender into the recorder, and
// returns when the last request has ended.
func Run(ctx context.Context, profile Profile, asker Sender, recorder *Recorder) error {
	if err := profile.Validate(); err != nil {
		return err
	}
	runner := &runner{profile: profile, asker: asker, recorder: recorder, slots: make(chan struct{}, profile.MaxOutstanding)}
	started := time.Now()
	runner.dispatch(ctx, started)
	runner.open.Wait()
	recorder.ran(time.Since(started))
	return nil
}

// runner is one run of a load.
type runner struct {
	profile  Profile
	asker    Sender
	recorder *Recorder
	slots    chan struct{}
	open     sync.WaitGroup
}

func (r *runner) dispatch(ctx context.Context, started time.Time) {
	seed := r.profile.Seed
	plan := newSchedule(r.profile.Arrivals, r.profile.Rate, rand.New(rand.NewPCG(seed, seedSchedule)))
	shares := newMix(r.profile.Mix, rand.New(rand.NewPCG(seed, seedMix)))
	for range r.profile.MaxRequests {
		offset := plan.offset()
		if offset >= r.profile.Duration || !wait.For(ctx, time.Until(started.Add(offset))) {
			return
		}
		r.send(ctx, shares.draw(), started.Add(offset))
	}
}

func (r *runner) send(ctx context.Context, share MixEntry, scheduled time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.unsent(share)
		return
	}
	r.open.Add(1)
	go func() {
		defer r.open.Done()
		reply := r.asker.Send(ctx, Request{Customer: share.Customer, Service: share.Service, Timeout: r.profile.Timeout})
		r.recorder.add(share, time.Since(scheduled), reply)
		<-r.slots
	}()
}
