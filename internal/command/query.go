package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/api"
	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

type queryOptions struct {
	callerOptions
	question string
	prefer   string
}

func queryCommand() *command {
	parser := flaggy.NewSubcommand("query")
	parser.Description = "ask a question as a caller would"
	options := queryOptions{callerOptions: defaultCaller(), question: "null"}
	options.addFlags(parser, "the callers' address of any node")
	parser.String(&options.question, "q", "question", "the question, as JSON")
	parser.String(&options.prefer, "p", "prefer", "whole or early")
	return &command{
		parser:  parser,
		example: `pistachiopier query plate-costing --address 10.0.0.1:7001 --question '"pork shoulder"'`,
		run:     func(out io.Writer) error { return runQuery(options, out) },
	}
}

func runQuery(options queryOptions, out io.Writer) error {
	if err := options.check("question", options.question); err != nil {
		return err
	}
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout+time.Second)
	defer cancel()
	entries, err := caller.Entries(ctx, options.address)
	if err != nil {
		return err
	}
	reply, err := askInTurn(ctx, caller, entries.Entries, options)
	if err != nil {
		return err
	}
	if options.raw {
		return json.NewEncoder(out).Encode(reply)
	}
	printReply(reply, out)
	return nil
}

// askInTurn asks one entry after the other while time is left. A query may be
// repeated, so that the next entry is also asked when one gave no answer. A
// refusal that every entry would give ends it.
func askInTurn(ctx context.Context, caller *client.Client, entries []api.EntryAddress, options queryOptions) (api.QueryReply, error) {
	deadline := time.Now().Add(options.timeout)
	var reply api.QueryReply
	var err error = fault.NotRun(fault.CodeNotReady, "the node knows no entries yet", "try again")
	for _, entry := range entries {
		left := time.Until(deadline).Milliseconds()
		if left <= 0 {
			break
		}
		reply, err = caller.Query(ctx, entry.Address, options.service, api.QueryRequest{
			Customer:  core.Customer(options.customer),
			Question:  json.RawMessage(options.question),
			TimeoutMs: &left,
			Prefer:    options.prefer,
		})
		if err == nil || !elsewhere(fault.As(err)) {
			break
		}
	}
	return reply, err
}

// elsewhere reports whether another entry may answer after this failure.
func elsewhere(failure *fault.Error) bool {
	switch failure.Code {
	case fault.CodeLost, fault.CodeOverloaded, fault.CodeNotReady, fault.CodeDraining, fault.CodeInternal:
		return true
	default:
		return false
	}
}

func printReply(reply api.QueryReply, out io.Writer) {
	mark := "whole"
	if reply.Coverage.Thin {
		mark = "THIN"
	}
	fmt.Fprintf(out, "%s: %s answer, %d of %d shards (%.1f%%), index %s version %d, %.1f ms\n",
		reply.Service, mark, reply.Coverage.Answered, reply.Coverage.Asked, reply.Coverage.Share*percent, reply.Index, reply.Version, reply.ElapsedMs)
	for _, service := range missingByService(reply.Coverage.Missing) {
		fmt.Fprintf(out, "  missing of %s: %s\n", service.name, strings.Join(service.shards, ", "))
	}
}

// missingShards are the missing shards of one service, each with its reason.
type missingShards struct {
	name   string
	shards []string
}

func missingByService(missing []api.Missing) []missingShards {
	var list []missingShards
	for _, one := range missing {
		if len(list) == 0 || list[len(list)-1].name != one.Service {
			list = append(list, missingShards{name: one.Service})
		}
		last := &list[len(list)-1]
		last.shards = append(last.shards, fmt.Sprintf("shard %d (%s)", one.Shard, one.Reason))
	}
	return list
}

const percent = 100
