package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	demoNodes     = 3
	demoServices  = 20
	demoReplicas  = 2
	demoTimeLimit = 25 * time.Second
	demoService   = "plate-costing"
)

func demoCommand() *command {
	parser := flaggy.NewSubcommand("demo")
	parser.Description = "run stand-ins and three nodes in this process and ask questions"
	return &command{
		parser:  parser,
		example: "pistachiopier demo",
		run:     demo,
	}
}

func demo(out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeLimit)
	defer cancel()
	upstreams, err := demoUpstreams()
	if err != nil {
		return err
	}
	defer closeAll(upstreams)
	running, err := fleet.Start(fleet.Options{Nodes: demoNodes, LogTo: io.Discard})
	if err != nil {
		return err
	}
	defer running.Close()
	if err := running.AwaitReady(ctx, running.Platform.Publish(demoText(upstreams))); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d nodes serve %d services on %d replicas\n", demoNodes, demoServices, len(upstreams))
	caller := client.New()
	defer caller.Close()
	address := running.Members()[0].Addresses.Caller
	if err := demoAsk(ctx, caller, address, out); err != nil {
		return err
	}
	fmt.Fprintln(out, "both replicas of one service start to drain:")
	for _, u := range upstreams[len(upstreams)-demoReplicas:] {
		u.Change(func(b *standin.Behaviour) { b.Draining = true })
	}
	return demoAsk(ctx, caller, address, out)
}

func demoAsk(ctx context.Context, caller *client.Client, address string, out io.Writer) error {
	reply, err := caller.Query(ctx, address, demoService, api.QueryRequest{Customer: "southern-table"})
	if err != nil {
		return err
	}
	printReply(reply, out)
	return nil
}

func demoUpstreams() ([]*standin.Upstream, error) {
	var list []*standin.Upstream
	for range demoServices * demoReplicas {
		u, err := standin.StartUpstream("127.0.0.1:0", standin.Behaviour{Slots: 2, Service: time.Millisecond, Versions: []uint64{41, 42}})
		if err != nil {
			closeAll(list)
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}

func closeAll(list []*standin.Upstream) {
	for _, u := range list {
		_ = u.Close()
	}
}

// demoText writes a service that depends on all the others.
func demoText(upstreams []*standin.Upstream) string {
	var b strings.Builder
	b.WriteString("version: 1\nindexes: [prices]\nservices:\n")
	var names []string
	for i := range demoServices {
		name := fmt.Sprintf("vendor-%02d", i)
		if i == 0 {
			name = demoService
		} else {
			names = append(names, name)
		}
		fmt.Fprintf(&b, "  - name: %s\n    index: prices\n    shards:\n      - replicas:\n", name)
		for _, u := range upstreams[i*demoReplicas : (i+1)*demoReplicas] {
			fmt.Fprintf(&b, "          - {address: %q, data_centre: dc1}\n", u.Address())
		}
	}
	return strings.Replace(b.String(), "    index: prices\n", "    index: prices\n    depends_on: ["+strings.Join(names, ", ")+"]\n", 1)
}
