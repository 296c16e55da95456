package command

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/app"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

// maxConcurrentLooks is how many nodes are looked at at a time.
const maxConcurrentLooks = 16

type statusOptions struct {
	operatorOptions
	fleet bool
}

func statusCommand() *command {
	parser := flaggy.NewSubcommand("status")
	parser.Description = "show a node's state, or that of all nodes"
	var options statusOptions
	options.addFlags(parser)
	parser.Bool(&options.fleet, "f", "fleet", "show every node that this one or the VM list names")
	return &command{
		parser:  parser,
		example: "pistachiopier status --address 10.0.0.1:7003 --fleet",
		run:     func(out io.Writer) error { return status(options, out) },
	}
}

// nodeStatus is one node's status, or why it could not be had.
type nodeStatus struct {
	Node   core.NodeID `json:"node"`
	Status *app.Status `json:"status,omitempty"`
	Why    string      `json:"why,omitempty"`
}

func status(options statusOptions, out io.Writer) error {
	var list []nodeStatus
	err := askOperator(options.address, fleetTimeout, func(ctx context.Context, operator *client.Client) error {
		nodes := []api.NodeAddress{{OperatorAddress: options.address}}
		if options.fleet {
			known, err := fleetNodes(ctx, operator, options.address)
			if err != nil {
				return err
			}
			nodes = known
		}
		list = lookAtAll(ctx, operator, nodes)
		return nil
	})
	if err != nil {
		return err
	}
	if err := printStatus(list, options.json, out); err != nil {
		return err
	}
	if !allReady(list) {
		return errTrouble
	}
	return nil
}

// fleetNodes lists the nodes that the asked one knows. One that is still starting
// knows none, not even itself: then it alone is looked at, so that an empty table
// never passes for a fleet that is fine.
func fleetNodes(ctx context.Context, operator *client.Client, address string) ([]api.NodeAddress, error) {
	var nodes []api.NodeAddress
	if err := operator.Get(ctx, address, "/v1/nodes", &nodes); err != nil {
		return nil, err
	}
	if len(nodes) == 0 {
		nodes = []api.NodeAddress{{OperatorAddress: address}}
	}
	return nodes, nil
}

// allReady reports whether every node answered, is ready and has the same
// revision in force as the others.
func allReady(list []nodeStatus) bool {
	for _, one := range list {
		if one.Status == nil || one.Status.Health.State != api.HealthReady || one.Status.ConfigRevision != list[0].Status.ConfigRevision {
			return false
		}
	}
	return true
}

func lookAtAll(ctx context.Context, operator *client.Client, nodes []api.NodeAddress) []nodeStatus {
	list := make([]nodeStatus, len(nodes))
	places := make(chan struct{}, maxConcurrentLooks)
	var looking sync.WaitGroup
	for i, node := range nodes {
		places <- struct{}{}
		looking.Add(1)
		go func() {
			defer looking.Done()
			list[i] = lookAt(ctx, operator, node)
			<-places
		}()
	}
	looking.Wait()
	return list
}

func lookAt(ctx context.Context, operator *client.Client, node api.NodeAddress) nodeStatus {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	var got app.Status
	if err := operator.Get(ctx, node.OperatorAddress, "/v1/status", &got); err != nil {
		return nodeStatus{Node: node.Node, Why: err.Error()}
	}
	if node.Node != "" && got.Node != node.Node {
		// The VM is gone and its address is another one's by now.
		return nodeStatus{Node: node.Node, Why: "node " + string(got.Node) + " answers at " + node.OperatorAddress}
	}
	return nodeStatus{Node: got.Node, Status: &got}
}

func printStatus(list []nodeStatus, asJSON bool, out io.Writer) error {
	if asJSON {
		return printJSON(list, out)
	}
	table := newTable(out)
	fmt.Fprintln(table, "NODE\tDATA CENTRE\tSTATE\tREVISION\tNODES\tIN FLIGHT\tUPTIME\tWHY")
	for _, one := range list {
		if one.Status == nil {
			fmt.Fprintf(table, "%s\t\tno answer\t\t\t\t\t%s\n", one.Node, one.Why)
			continue
		}
		s := one.Status
		uptime := (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Node, s.DataCentre, s.Health.State, s.ConfigRevision, s.Nodes, s.InFlight, uptime, s.Health.Why)
	}
	return table.Flush()
}
