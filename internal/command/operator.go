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
	// nodeTimeout bounds a request to one node, fleetTimeout the requests to all nodes.
	nodeTimeout  = 5 * time.Second
	fleetTimeout = 2 * time.Minute
)

// operatorOptions are the options that status and problems share.
type operatorOptions struct {
	address string
	json    bool
}

func (o *operatorOptions) addFlags(parser *flaggy.Subcommand) {
	parser.String(&o.address, "a", "address", "the operators' address of any node (required)")
	parser.Bool(&o.json, "j", "json", "print JSON")
}

// callOperator runs call with a client for the operators' interface and a context
// that ends after the time-out. It rejects an empty address.
func callOperator(address string, timeout time.Duration, call func(context.Context, *client.Client) error) error {
	if address == "" {
		return missingAddressError("add --address IP:PORT, the operators' address of any node")
	}
	operator := client.New()
	defer operator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return call(ctx, operator)
}

func missingAddressError(fix string) error {
	return fault.NotRun(fault.CodeBadRequest, "no address given", fix)
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
