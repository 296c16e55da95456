// Package load generates an open-loop load and measures the replies. Arrivals
// follow a schedule, and each latency counts from the scheduled arrival, so that
// a slow system cannot reduce the load and hide its own delay (coordinated
// omission).
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

// Request is one query to a service.
type Request struct {
	Customer core.Customer
	Service  string
	// Timeout is the caller's timeout; 0 selects that of the service.
	Timeout time.Duration
}

// Reply is the result of a request.
type Reply struct {
	// Outcome is "done", "not_run" or "unknown".
	Outcome string
	// Code names the failure when the outcome is not done.
	Code fault.Code
	// Asked and Answered count shards.
	Asked    int
	Answered int
	// Missing holds a reason for each shard without a part.
	Missing []core.Reason
	// Mixed reports that a part has another version than the answer.
	Mixed bool
	// Crossed reports that a part's payload names another service than the part itself.
	Crossed bool
}

// Sender sends one request and waits for its reply or failure.
type Sender interface {
	Send(ctx context.Context, request Request) Reply
}

// Profile describes a bounded load. All bounds are required.
type Profile struct {
	Arrivals Arrivals
	// Rate is the mean number of requests a second.
	Rate float64
	// Duration bounds the schedule in time, MaxRequests in number.
	Duration    time.Duration
	MaxRequests int
	// MaxOutstanding bounds the requests in flight. An arrival above it is
	// counted as Unsent and neither sent nor delayed.
	MaxOutstanding int
	Timeout        time.Duration
	Mix            []MixEntry
	Seed           uint64
}

// The random streams of the schedule and of the mix are independent of each other.
const (
	seedSchedule = 1
	seedMix      = 2
)

// Validate returns an error for a profile that lacks a bound or a service, or has unknown arrivals.
func (p Profile) Validate() error {
	switch {
	case p.Rate <= 0 || p.Duration <= 0 || p.MaxRequests <= 0 || p.MaxOutstanding <= 0:
		return fault.NotRun(fault.CodeBadRequest, "the load is not bounded", "give a rate, a duration, a maximum of requests and one of outstanding requests, all above 0")
	case len(p.Mix) == 0:
		return fault.NotRun(fault.CodeBadRequest, "the load names no service", "add a service")
	case p.Arrivals != ArrivalsPoisson && p.Arrivals != ArrivalsFixed && p.Arrivals != ArrivalsBursty:
		return fault.NotRun(fault.CodeBadRequest, "unknown kind of arrivals "+string(p.Arrivals), "write poisson, fixed or bursty")
	}
	return nil
}

// Run sends the profile's load through the sender, records the replies and
// returns when the last request has ended.
func Run(ctx context.Context, profile Profile, sender Sender, recorder *Recorder) error {
	if err := profile.Validate(); err != nil {
		return err
	}
	runner := &runner{profile: profile, sender: sender, recorder: recorder, slots: make(chan struct{}, profile.MaxOutstanding)}
	started := time.Now()
	runner.dispatch(ctx, started)
	runner.inFlight.Wait()
	recorder.addElapsed(time.Since(started))
	return nil
}

// runner is one run of a load.
type runner struct {
	profile  Profile
	sender   Sender
	recorder *Recorder
	slots    chan struct{}
	inFlight sync.WaitGroup
}

func (r *runner) dispatch(ctx context.Context, started time.Time) {
	seed := r.profile.Seed
	arrivals := newSchedule(r.profile.Arrivals, r.profile.Rate, rand.New(rand.NewPCG(seed, seedSchedule)))
	mix := newMix(r.profile.Mix, rand.New(rand.NewPCG(seed, seedMix)))
	for range r.profile.MaxRequests {
		offset := arrivals.offset()
		if offset >= r.profile.Duration || !wait.For(ctx, time.Until(started.Add(offset))) {
			return
		}
		r.send(ctx, mix.draw(), started.Add(offset))
	}
}

func (r *runner) send(ctx context.Context, entry MixEntry, scheduled time.Time) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.recorder.addUnsent(entry)
		return
	}
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		reply := r.sender.Send(ctx, Request{Customer: entry.Customer, Service: entry.Service, Timeout: r.profile.Timeout})
		r.recorder.add(entry, time.Since(scheduled), reply)
		<-r.slots
	}()
}
