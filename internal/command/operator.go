package command

import (
	"context"
	"encoding/json"
	"io"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const (
	// nodeTimeout bounds a look at one node, fleetTimeout one at all of them.
	nodeTimeout  = 5 * time.Second
	fleetTimeout = 2 * time.Minute
)

// operatorOptions are what status and problems have in common.
type operatorOptions struct {
	address string
	json    bool
}

func (o *operatorOptions) addFlags(parser *flaggy.Subcommand) {
	parser.String(&o.address, "a", "address", "the operators' address of any node (required)")
	parser.Bool(&o.json, "j", "json", "print JSON")
}

// askOperator runs a look at the node with the given operators' address, within
// a time.
func askOperator(address string, timeout time.Duration, look func(context.Context, *client.Client) error) error {
	if address == "" {
		return noAddress("add --address IP:PORT, the operators' address of any node")
	}
	operator := client.New()
	defer operator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return look(ctx, operator)
}

func noAddress(fix string) error {
	return fault.NotRun(fault.CodeBadRequest, "no address is given", fix)
}

const tablePadding = 2

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, tablePadding, ' ', 0)
}

func printJSON(value any, out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
