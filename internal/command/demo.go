package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	demoNodes    = 3
	demoTimeout  = 25 * time.Second
	demoService  = "plate-costing"
	demoCustomer = "southern-table-group"
	demoQuestion = `"pork shoulder"`
)

func demoCommand() *command {
	parser := flaggy.NewSubcommand("demo")
	parser.Description = "run stand-in upstreams and three nodes in this process and send queries"
	var keep bool
	parser.Bool(&keep, "k", "keep", "keep everything running until interrupted, and print the addresses")
	var tier bool
	parser.Bool(&tier, "p", "platform", "show the forwarding tier on a stand-in of the platform")
	return &command{
		parser:  parser,
		example: "pistachiopier demo --keep",
		run: func(out io.Writer) error {
			if tier {
				return runTierDemo(keep, out)
			}
			return runDemo(keep, out)
		},
	}
}

// demo is the state of a running demonstration.
type demo struct {
	out       io.Writer
	upstreams *demoUpstreams
	fleet     *fleet.Fleet
	caller    *client.Client
}

func runDemo(keep bool, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	upstreams, err := startDemoUpstreams()
	if err != nil {
		return err
	}
	defer upstreams.close()
	running, err := fleet.Start(fleet.Options{Nodes: demoNodes, LogOutput: io.Discard})
	if err != nil {
		return err
	}
	defer running.Close()
	d := &demo{out: out, upstreams: upstreams, fleet: running, caller: client.New()}
	defer d.caller.Close()
	for _, step := range []func(context.Context) error{d.start, d.showWholeAnswer, d.showThinAnswer, d.showDrain, d.showConfigChange} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if keep {
		d.waitForInterrupt()
	}
	return nil
}

func (d *demo) printf(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

func (d *demo) start(ctx context.Context) error {
	revision := d.fleet.Platform.Publish(d.upstreams.text(demoWeight))
	if err := d.fleet.AwaitReady(ctx, revision); err != nil {
		return err
	}
	d.printf("Three nodes are ready. They serve %d services on %d stand-in replicas, with revision %d of the operators' text.",
		len(d.upstreams.services), d.upstreams.count(), revision)
	return nil
}

func (d *demo) showWholeAnswer(ctx context.Context) error {
	d.printf("\nA caller queries %s, which depends on 19 other services:", demoService)
	return d.query(ctx)
}

func (d *demo) showThinAnswer(ctx context.Context) error {
	stalled := d.upstreams.services[demoLastDependency]
	d.printf("\nBoth replicas of %s accept requests but never answer. The answer lists the missing shards:", stalled.name)
	stalled.setBehaviour(func(b *standin.Behaviour) { b.Silent = true })
	defer stalled.setBehaviour(func(b *standin.Behaviour) { b.Silent = false })
	return d.query(ctx)
}

func (d *demo) showDrain(ctx context.Context) error {
	draining := d.upstreams.services[demoLastDependency-1]
	d.printf("\nOne of the two replicas of %s starts to drain. The other takes over its requests:", draining.name)
	draining.replicas[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	before := draining.replicas[0].Queries()
	if err := d.query(ctx); err != nil {
		return err
	}
	d.printf("The draining replica ran %d more requests.", draining.replicas[0].Queries()-before)
	return nil
}

func (d *demo) showConfigChange(ctx context.Context) error {
	d.printf("\nThe operators publish a text with a different weight for %s:", demoCustomer)
	started := time.Now()
	revision := d.fleet.Platform.Publish(d.upstreams.text(demoWeight + 1))
	if err := d.fleet.AwaitReady(ctx, revision); err != nil {
		return err
	}
	d.printf("revision %d is in force on all %d nodes after %d ms.", revision, demoNodes, time.Since(started).Milliseconds())
	return d.query(ctx)
}

func (d *demo) query(ctx context.Context) error {
	request := api.QueryRequest{Customer: demoCustomer, Question: json.RawMessage(demoQuestion)}
	reply, err := d.caller.Query(ctx, d.fleet.Members()[0].Addresses.Caller, demoService, request)
	if err != nil {
		return err
	}
	printReply(reply, d.out)
	return nil
}

func (d *demo) waitForInterrupt() {
	d.printf("\nEverything keeps running until interrupted. Platform: %s", d.fleet.Platform.URL())
	for _, member := range d.fleet.Members() {
		d.printf("%s: callers %s, operators %s", member.ID, member.Addresses.Caller, member.Addresses.Operator)
	}
	address := d.fleet.Members()[0].Addresses
	d.printf("Try: pistachiopier query %s --address %s", demoService, address.Caller)
	d.printf("     pistachiopier status --address %s --fleet", address.Operator)
	shutdown, stop := shutdownContext()
	defer stop()
	<-shutdown.Done()
}
