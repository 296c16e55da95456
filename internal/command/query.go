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
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

type queryOptions struct {
	callerOptions
	question string
	prefer   string
}

func queryCommand() *command {
	parser := flaggy.NewSubcommand("query")
	parser.Description = "send a query as a caller does"
	options := queryOptions{callerOptions: defaultCallerOptions(), question: "null"}
	options.addFlags(parser, "the callers' address of any node")
	parser.String(&options.question, "q", "question", "the query, as JSON")
	parser.String(&options.prefer, "p", "prefer", "preferred answer: whole or early")
	return &command{
		parser:  parser,
		example: `pistachiopier query plate-costing --address 10.0.0.1:7001 --question '"pork shoulder"'`,
		run:     func(out io.Writer) error { return runQuery(options, out) },
	}
}

func runQuery(options queryOptions, out io.Writer) error {
	if err := options.validate("question", options.question); err != nil {
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
	reply, err := queryEntries(ctx, caller, entries.Entries, options)
	if err != nil {
		return err
	}
	if options.json {
		return json.NewEncoder(out).Encode(reply)
	}
	printReply(reply, out)
	return nil
}

// canFailOver reports whether another entry may answer although this one failed.
func canFailOver(failure *fault.Error) bool {
	switch failure.Code {
	case fault.CodeLost, fault.CodeOverloaded, fault.CodeNotReady, fault.CodeDraining, fault.CodeInternal:
		return true
	default:
		return false
	}
}

func printReply(reply api.QueryReply, out io.Writer) {
	label := "whole"
	if reply.Coverage.Thin {
		label = "THIN"
	}
	fmt.Fprintf(out, "%s: %s answer, %d of %d shards (%.1f%%), index %s version %d, %.1f ms\n",
		reply.Service, label, reply.Coverage.Answered, reply.Coverage.Asked, reply.Coverage.Share*percent, reply.Index, reply.Version, reply.ElapsedMs)
	for _, service := range missingByService(reply.Coverage.Missing) {
		fmt.Fprintf(out, "  missing of %s: %s\n", service.name, strings.Join(service.shards, ", "))
	}
}

// missingShards holds the missing shards of one service, each with its reason.
type missingShards struct {
	name   string
	shards []string
}

func missingByService(missing []api.Missing) []missingShards {
	var list []missingShards
	for _, shard := range missing {
		if len(list) == 0 || list[len(list)-1].name != shard.Service {
			list = append(list, missingShards{name: shard.Service})
		}
		last := &list[len(list)-1]
		last.shards = append(last.shards, fmt.Sprintf("shard %d (%s)", shard.Shard, shard.Reason))
	}
	return list
}

const percent = 100
