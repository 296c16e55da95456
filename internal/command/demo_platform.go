package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/edgefleet"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/load"
	"github.com/pistachiopier/pistachiopier/platform"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	tierHost      = "search.example"
	tierSearch    = tierHost + "/search/shrimp"
	tierInvoice   = tierHost + "/invoices/17"
	tierShards    = 6
	tierNodes     = 4
	tierTimeLimit = 40 * time.Second
	// tierWork is how long a replica works on a request.
	tierWork = 5 * time.Millisecond
	// tierBurst is how many questions show what a change does.
	tierBurst       = 100
	tierQuestionMs  = 1000
	tierAimMs       = 120
	tierTopRecords  = 5
	tierLeastShare  = 0.6
	tierAttempts    = 2
	tierConnections = 26
)

// tierDemo is a running demonstration of the forwarding tier.
type tierDemo struct {
	out    io.Writer
	fleet  *edgefleet.Fleet
	caller *load.TierCaller
	shards []string
}

// runTierDemo starts stand-ins of the users' store and replicas and four nodes in two data
// centres, and asks as callers do: first for addresses, then there.
func runTierDemo(keep bool, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), tierTimeLimit)
	defer cancel()
	fleet, err := edgefleet.Start()
	if err != nil {
		return err
	}
	d := &tierDemo{out: out, fleet: fleet}
	err = d.run(ctx, keep)
	if closing := fleet.Close(context.Background()); err == nil {
		err = closing
	}
	return err
}

func (d *tierDemo) run(ctx context.Context, keep bool) error {
	if err := d.begin(ctx); err != nil {
		return err
	}
	defer d.caller.Close()
	for _, step := range []func(context.Context) error{d.whole, d.thin, d.drain, d.stop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if keep {
		d.keep()
	}
	return nil
}

func (d *tierDemo) say(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

func (d *tierDemo) begin(ctx context.Context) error {
	for i := range tierShards {
		d.shards = append(d.shards, fmt.Sprintf("shard-%d", i))
	}
	for _, service := range append([]string{"invoices"}, d.shards...) {
		for _, dataCentre := range []string{"hall-a", "hall-b"} {
			one, err := d.fleet.AddReplica(service, dataCentre, service)
			if err != nil {
				return err
			}
			one.SetServiceTime(tierWork)
		}
	}
	d.fleet.Store.Publish(d.config(1))
	var directories []string
	for i := range tierNodes {
		node, err := d.fleet.AddNode([]string{"hall-a", "hall-b"}[i%2], io.Discard, nil)
		if err != nil {
			return err
		}
		directories = append(directories, node.Settings.DirectoryAddress)
	}
	d.caller = load.NewTierCaller(directories, "hall-a")
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return err
	}
	d.say("Four nodes in two data centres serve %d shards and one other service on %d stand-in replicas.", tierShards, len(d.fleet.Replicas))
	return nil
}

func (d *tierDemo) config(version uint64) platformtest.Config {
	route := platformtest.Route{Host: tierHost, Kind: platformtest.KindIdempotent, TimeoutMs: tierQuestionMs, TargetLatencyMs: tierAimMs, MaxAttempts: tierAttempts}
	search, invoices := route, route
	search.Name, search.Prefix, search.Gather, search.TopK, search.MinCoverage = "search", "/search/", d.shards, tierTopRecords, tierLeastShare
	invoices.Name, invoices.Prefix, invoices.Service = "invoices", "/invoices/", "invoices"
	config := platformtest.Config{Version: version, Routes: []platformtest.Route{search, invoices}, Limits: platformtest.DefaultLimits()}
	for _, name := range append([]string{"invoices"}, d.shards...) {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: tierConnections})
	}
	return config
}

// ask asks a number of questions and says what came of them.
func (d *tierDemo) ask(ctx context.Context, path string, count int) error {
	outcomes := map[string]int{}
	for range count {
		reply := d.caller.Ask(ctx, load.Request{Service: path})
		if reply.Code != "" {
			outcomes[reply.Outcome+" ("+string(reply.Code)+")"]++
			continue
		}
		outcomes[fmt.Sprintf("%s with %d of %d parts", reply.Outcome, reply.Answered, reply.Asked)]++
	}
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		d.say("  %3d x %s", outcomes[outcome], outcome)
	}
	if err := ctx.Err(); err != nil {
		return fault.Step("ask", err)
	}
	return nil
}

func (d *tierDemo) whole(ctx context.Context) error {
	d.say("\nA caller asks where to connect and then asks %s, which gathers all shards, and %s:", tierSearch, tierInvoice)
	if err := d.ask(ctx, tierSearch, 1); err != nil {
		return err
	}
	return d.ask(ctx, tierInvoice, 1)
}

func (d *tierDemo) setShard(shard string, act platformtest.Behaviour) {
	for _, one := range d.fleet.Replicas {
		if one.Service == shard {
			one.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return act })
		}
	}
}

func (d *tierDemo) thin(ctx context.Context) error {
	d.say("\nBoth replicas of %s take requests and never answer. The answer comes in time and says what it lacks:", d.shards[0])
	d.setShard(d.shards[0], platformtest.Hang)
	defer d.setShard(d.shards[0], platformtest.Answer)
	return d.ask(ctx, tierSearch, 1)
}

func (d *tierDemo) drain(ctx context.Context) error {
	leaving := d.fleet.Replicas[0]
	d.say("\nOne of the two replicas of %s drains, in one of the two data centres, while %d questions come:", leaving.Service, tierBurst)
	d.fleet.Store.Put(leaving.Key(), leaving.Entry("hall-a", platformtest.StateDraining))
	if err := d.ask(ctx, tierInvoice, tierBurst); err != nil {
		return err
	}
	before := len(leaving.Arrivals())
	if err := d.ask(ctx, tierInvoice, 1); err != nil {
		return err
	}
	d.say("  the draining replica got %d of the last question", len(leaving.Arrivals())-before)
	return nil
}

func (d *tierDemo) stop(ctx context.Context) error {
	leaving := d.fleet.Nodes[tierNodes-1]
	d.say("\n%s is stopped as planned while %d questions come:", leaving.Settings.Node, tierBurst)
	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop(ctx) }()
	if err := d.ask(ctx, tierSearch, tierBurst); err != nil {
		return err
	}
	return <-stopped
}

func (d *tierDemo) keep() {
	first := d.fleet.Nodes[0].Settings
	d.say("\nAll is left running until it is interrupted. Store: %s. %s: directory %s, callers %s, metrics and dump %s",
		d.fleet.Store.Address(), first.Node, first.DirectoryAddress, first.CallerAddress, first.MetricsAddress)
	d.say("Try: pistachiopier load --directory %s --service %s=3,%s=1 --rate 50 --duration 5s", first.DirectoryAddress, tierSearch, tierInvoice)
	d.say("     curl -s %s%s?name=%s", first.DirectoryAddress, platform.PathResolve, tierHost)
	d.say("     curl -s %s/metrics", first.MetricsAddress)
	signals, stop := untilStopped()
	defer stop()
	<-signals.Done()
}
