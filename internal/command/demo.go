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
	demoNodes     = 3
	demoTimeLimit = 25 * time.Second
	demoService   = "plate-costing"
	demoCustomer  = "southern-table-group"
	demoQuestion  = `"pork shoulder"`
)

func demoCommand() *command {
	parser := flaggy.NewSubcommand("demo")
	parser.Description = "run stand-ins and three nodes in this process and ask questions"
	var keep bool
	parser.Bool(&keep, "k", "keep", "leave all running and print the addresses until interrupted")
	var tier bool
	parser.Bool(&tier, "p", "platform", "show the forwarding tier on stand-ins of the users' platform")
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

// demo is a running demonstration.
type demo struct {
	out       io.Writer
	upstreams *demoUpstreams
	fleet     *fleet.Fleet
	caller    *client.Client
}

func runDemo(keep bool, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeLimit)
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
	for _, step := range []func(context.Context) error{d.begin, d.whole, d.thin, d.drain, d.change} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if keep {
		d.keep()
	}
	return nil
}

func (d *demo) say(format string, values ...any) { fmt.Fprintf(d.out, format+"\n", values...) }

func (d *demo) begin(ctx context.Context) error {
	revision := d.fleet.Platform.Publish(d.upstreams.text(demoWeight))
	if err := d.fleet.AwaitReady(ctx, revision); err != nil {
		return err
	}
	d.say("Three nodes are ready. They serve %d services on %d stand-in replicas, by revision %d of the operators' text.",
		len(d.upstreams.services), d.upstreams.count(), revision)
	return nil
}

func (d *demo) whole(ctx context.Context) error {
	d.say("\nA caller asks %s, which depends on 19 other services:", demoService)
	return d.ask(ctx)
}

func (d *demo) thin(ctx context.Context) error {
	stalled := d.upstreams.services[demoLast]
	d.say("\nBoth replicas of %s take requests but never answer. The answer says what it lacks:", stalled.name)
	stalled.change(func(b *standin.Behaviour) { b.Silent = true })
	defer stalled.change(func(b *standin.Behaviour) { b.Silent = false })
	return d.ask(ctx)
}

func (d *demo) drain(ctx context.Context) error {
	draining := d.upstreams.services[demoLast-1]
	d.say("\nOne of the two replicas of %s starts to drain. The other takes its work:", draining.name)
	draining.replicas[0].Change(func(b *standin.Behaviour) { b.Draining = true })
	before := draining.replicas[0].Queries()
	if err := d.ask(ctx); err != nil {
		return err
	}
	d.say("The draining replica ran %d further requests.", draining.replicas[0].Queries()-before)
	return nil
}

func (d *demo) change(ctx context.Context) error {
	d.say("\nThe operators publish a text with another weight for %s:", demoCustomer)
	started := time.Now()
	revision := d.fleet.Platform.Publish(d.upstreams.text(demoWeight + 1))
	if err := d.fleet.AwaitReady(ctx, revision); err != nil {
		return err
	}
	d.say("revision %d is in force on all %d nodes after %d ms.", revision, demoNodes, time.Since(started).Milliseconds())
	return d.ask(ctx)
}

func (d *demo) ask(ctx context.Context) error {
	request := api.QueryRequest{Customer: demoCustomer, Question: json.RawMessage(demoQuestion)}
	reply, err := d.caller.Query(ctx, d.fleet.Members()[0].Addresses.Caller, demoService, request)
	if err != nil {
		return err
	}
	printReply(reply, d.out)
	return nil
}

func (d *demo) keep() {
	d.say("\nAll is left running until it is interrupted. Platform: %s", d.fleet.Platform.URL())
	for _, member := range d.fleet.Members() {
		d.say("%s: callers %s, operators %s", member.ID, member.Addresses.Caller, member.Addresses.Operator)
	}
	address := d.fleet.Members()[0].Addresses
	d.say("Try: pistachiopier query %s --address %s", demoService, address.Caller)
	d.say("     pistachiopier status --address %s --fleet", address.Operator)
	signals, stop := untilStopped()
	defer stop()
	<-signals.Done()
}
