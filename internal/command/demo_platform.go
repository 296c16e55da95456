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
	tierHost        = "search.example"
	tierSearch      = tierHost + "/search/shrimp"
	tierInvoice     = tierHost + "/invoices/17"
	tierShards      = 6
	tierNodes       = 4
	tierDemoTimeout = 40 * time.Second
	// tierServiceTime is the time that a replica takes for a request.
	tierServiceTime = 5 * time.Millisecond
	// tierBurstQueries is the number of queries sent while a change takes effect.
	tierBurstQueries = 100
	tierTimeoutMs    = 1000
	// tierTargetLatencyMs is far above the pauses of a process on a busy machine: an answer leaves out the parts that
	// have not come by then.
	tierTargetLatencyMs = 600
	tierTopK            = 5
	tierMinCoverage     = 0.6
	tierMaxAttempts     = 2
	tierMaxConns        = 26
)

// tierDemo is the state of a running demonstration of the forwarding tier.
type tierDemo struct {
	out    io.Writer
	fleet  *edgefleet.Fleet
	caller *load.TierCaller
	shards []string
}

// runTierDemo starts stand-ins of the platform's store and replicas and four nodes in two data
// centres. It sends queries as callers do: it resolves the addresses first and connects to them.
func runTierDemo(keep bool, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), tierDemoTimeout)
	defer cancel()
	fleet, err := edgefleet.Start()
	if err != nil {
		return err
	}
	d := &tierDemo{out: out, fleet: fleet}
	err = d.run(ctx, keep)
	if closeErr := fleet.Close(context.Background()); err == nil {
		err = closeErr
	}
	return err
}

func (d *tierDemo) run(ctx context.Context, keep bool) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.caller.Close()
	for _, step := range []func(context.Context) error{d.showWholeAnswer, d.showThinAnswer, d.showDrain, d.showNodeStop} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if keep {
		d.waitForInterrupt()
	}
	return nil
}

func (d *tierDemo) printf(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

func (d *tierDemo) start(ctx context.Context) error {
	for i := range tierShards {
		d.shards = append(d.shards, fmt.Sprintf("shard-%d", i))
	}
	for _, service := range append([]string{"invoices"}, d.shards...) {
		for _, dataCentre := range []string{"hall-a", "hall-b"} {
			replica, err := d.fleet.AddReplica(service, dataCentre, service)
			if err != nil {
				return err
			}
			replica.SetServiceTime(tierServiceTime)
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
	d.printf("Four nodes in two data centres serve %d shards and one other service on %d stand-in replicas.", tierShards, len(d.fleet.Replicas))
	return nil
}

func (d *tierDemo) config(version uint64) platformtest.Config {
	route := platformtest.Route{Host: tierHost, Kind: platformtest.KindIdempotent, TimeoutMs: tierTimeoutMs, TargetLatencyMs: tierTargetLatencyMs, MaxAttempts: tierMaxAttempts}
	search, invoices := route, route
	search.Name, search.Prefix, search.Gather, search.TopK, search.MinCoverage = "search", "/search/", d.shards, tierTopK, tierMinCoverage
	invoices.Name, invoices.Prefix, invoices.Service = "invoices", "/invoices/", "invoices"
	config := platformtest.Config{Version: version, Routes: []platformtest.Route{search, invoices}, Limits: platformtest.DefaultLimits()}
	for _, name := range append([]string{"invoices"}, d.shards...) {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: tierMaxConns})
	}
	return config
}

// query sends count queries and prints how many had each outcome.
func (d *tierDemo) query(ctx context.Context, path string, count int) error {
	outcomes := map[string]int{}
	for range count {
		reply := d.caller.Send(ctx, load.Request{Service: path})
		if reply.Code != "" {
			outcomes[reply.Outcome+" ("+string(reply.Code)+")"]++
			continue
		}
		outcomes[fmt.Sprintf("%s with %d of %d parts", reply.Outcome, reply.Answered, reply.Asked)]++
	}
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		d.printf("  %3d x %s", outcomes[outcome], outcome)
	}
	if err := ctx.Err(); err != nil {
		return fault.Wrap("ask", err)
	}
	return nil
}

func (d *tierDemo) showWholeAnswer(ctx context.Context) error {
	d.printf("\nA caller resolves the addresses and then queries %s, which gathers all shards, and %s:", tierSearch, tierInvoice)
	if err := d.query(ctx, tierSearch, 1); err != nil {
		return err
	}
	return d.query(ctx, tierInvoice, 1)
}

func (d *tierDemo) setShardBehaviour(shard string, behaviour platformtest.Behaviour) {
	for _, replica := range d.fleet.Replicas {
		if replica.Service == shard {
			replica.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return behaviour })
		}
	}
}

func (d *tierDemo) showThinAnswer(ctx context.Context) error {
	d.printf("\nBoth replicas of %s accept requests but never answer. The answer comes in time and lists the missing parts:", d.shards[0])
	d.setShardBehaviour(d.shards[0], platformtest.Hang)
	defer d.setShardBehaviour(d.shards[0], platformtest.Answer)
	return d.query(ctx, tierSearch, 1)
}

func (d *tierDemo) showDrain(ctx context.Context) error {
	replica := d.fleet.Replicas[0]
	d.printf("\nOne of the two replicas of %s, in one of the two data centres, drains while %d queries arrive:", replica.Service, tierBurstQueries)
	d.fleet.Store.Put(replica.Key(), replica.Entry("hall-a", platformtest.StateDraining))
	if err := d.query(ctx, tierInvoice, tierBurstQueries); err != nil {
		return err
	}
	before := len(replica.Arrivals())
	if err := d.query(ctx, tierInvoice, 1); err != nil {
		return err
	}
	d.printf("  the draining replica received %d requests of the last query", len(replica.Arrivals())-before)
	return nil
}

func (d *tierDemo) showNodeStop(ctx context.Context) error {
	node := d.fleet.Nodes[tierNodes-1]
	d.printf("\n%s is stopped as planned while %d queries arrive:", node.Settings.Node, tierBurstQueries)
	stopped := make(chan error, 1)
	go func() { stopped <- node.Stop(ctx) }()
	if err := d.query(ctx, tierSearch, tierBurstQueries); err != nil {
		return err
	}
	return <-stopped
}

func (d *tierDemo) waitForInterrupt() {
	first := d.fleet.Nodes[0].Settings
	d.printf("\nEverything keeps running until interrupted. Store: %s. %s: directory %s, callers %s, metrics and dump %s",
		d.fleet.Store.Address(), first.Node, first.DirectoryAddress, first.CallerAddress, first.MetricsAddress)
	d.printf("Try: pistachiopier load --directory %s --service %s=3,%s=1 --rate 50 --duration 5s", first.DirectoryAddress, tierSearch, tierInvoice)
	d.printf("     curl -s %s%s?name=%s", first.DirectoryAddress, platform.PathResolve, tierHost)
	d.printf("     curl -s %s/metrics", first.MetricsAddress)
	shutdown, stop := shutdownContext()
	defer stop()
	<-shutdown.Done()
}
