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

// maxConcurrentFetches bounds the concurrent status requests to nodes.
const maxConcurrentFetches = 16

type statusOptions struct {
	operatorOptions
	fleet bool
}

func statusCommand() *command {
	parser := flaggy.NewSubcommand("status")
	parser.Description = "show the state of one node or of all nodes"
	var options statusOptions
	options.addFlags(parser)
	parser.Bool(&options.fleet, "f", "fleet", "show all nodes that the addressed node or the VM list knows")
	return &command{
		parser:  parser,
		example: "pistachiopier status --address 10.0.0.1:7003 --fleet",
		run:     func(out io.Writer) error { return status(options, out) },
	}
}

// nodeStatus is the status of one node, or the reason why it is not available.
type nodeStatus struct {
	Node   core.NodeID `json:"node"`
	Status *app.Status `json:"status,omitempty"`
	Why    string      `json:"why,omitempty"`
}

func status(options statusOptions, out io.Writer) error {
	var list []nodeStatus
	err := callOperator(options.address, fleetTimeout, func(ctx context.Context, operator *client.Client) error {
		nodes := []api.NodeAddress{{OperatorAddress: options.address}}
		if options.fleet {
			known, err := fleetNodes(ctx, operator, options.address)
			if err != nil {
				return err
			}
			nodes = known
		}
		list = fetchStatuses(ctx, operator, nodes)
		return nil
	})
	if err != nil {
		return err
	}
	if err := printStatus(list, options.json, out); err != nil {
		return err
	}
	if !allReadyOnSameRevision(list) {
		return errReported
	}
	return nil
}

// fleetNodes lists the nodes that the addressed node knows. A node that is still
// starting knows none, not even itself. It is then listed alone, because an empty
// table would look like a healthy fleet.
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

// allReadyOnSameRevision reports whether every node answered and is ready, and all have the
// same revision in force.
func allReadyOnSameRevision(list []nodeStatus) bool {
	for _, node := range list {
		if node.Status == nil || node.Status.Health.State != api.HealthReady || node.Status.ConfigRevision != list[0].Status.ConfigRevision {
			return false
		}
	}
	return true
}

func fetchStatuses(ctx context.Context, operator *client.Client, nodes []api.NodeAddress) []nodeStatus {
	list := make([]nodeStatus, len(nodes))
	permits := make(chan struct{}, maxConcurrentFetches)
	var fetches sync.WaitGroup
	for i, node := range nodes {
		permits <- struct{}{}
		fetches.Add(1)
		go func() {
			defer fetches.Done()
			list[i] = fetchStatus(ctx, operator, node)
			<-permits
		}()
	}
	fetches.Wait()
	return list
}

func fetchStatus(ctx context.Context, operator *client.Client, node api.NodeAddress) nodeStatus {
	ctx, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	var status app.Status
	if err := operator.Get(ctx, node.OperatorAddress, "/v1/status", &status); err != nil {
		return nodeStatus{Node: node.Node, Why: err.Error()}
	}
	if node.Node != "" && status.Node != node.Node {
		// The VM is gone and another node has its address.
		return nodeStatus{Node: node.Node, Why: "node " + string(status.Node) + " answers at " + node.OperatorAddress}
	}
	return nodeStatus{Node: status.Node, Status: &status}
}

func printStatus(list []nodeStatus, asJSON bool, out io.Writer) error {
	if asJSON {
		return printJSON(list, out)
	}
	table := newTable(out)
	fmt.Fprintln(table, "NODE\tDATA CENTRE\tSTATE\tREVISION\tNODES\tIN FLIGHT\tUPTIME\tWHY")
	for _, node := range list {
		if node.Status == nil {
			fmt.Fprintf(table, "%s\t\tno answer\t\t\t\t\t%s\n", node.Node, node.Why)
			continue
		}
		s := node.Status
		uptime := (time.Duration(s.UptimeMs) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", s.Node, s.DataCentre, s.Health.State, s.ConfigRevision, s.Nodes, s.InFlight, uptime, s.Health.Why)
	}
	return table.Flush()
}
