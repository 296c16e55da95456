package command

import (
	"context"
	"encoding/json"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/client"
)

func dumpCommand() *command {
	parser := flaggy.NewSubcommand("dump")
	parser.Description = "print the full state of a node as JSON"
	var address string
	parser.String(&address, "a", "address", "the operators' address of the node (required)")
	return &command{
		parser:  parser,
		example: "pistachiopier dump --address 10.0.0.1:7003",
		run:     func(out io.Writer) error { return dump(address, out) },
	}
}

func dump(address string, out io.Writer) error {
	var state json.RawMessage
	err := callOperator(address, nodeTimeout, func(ctx context.Context, operator *client.Client) error {
		return operator.Get(ctx, address, "/v1/dump", &state)
	})
	if err != nil {
		return err
	}
	return printJSON(state, out)
}
