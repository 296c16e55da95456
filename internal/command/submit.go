package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
)

type submitOptions struct {
	callerOptions
	payload string
}

func submitCommand() *command {
	parser := flaggy.NewSubcommand("submit")
	parser.Description = "send a must-not-repeat request, at most once"
	options := submitOptions{callerOptions: defaultCaller(), payload: "null"}
	options.addFlags(parser, "the callers' addresses of one or more nodes, by commas")
	parser.String(&options.payload, "p", "payload", "the payload, as JSON")
	return &command{
		parser:  parser,
		example: `pistachiopier submit record-invoice --address 10.0.0.1:7001 --payload '{"vendor":"ham house"}'`,
		run:     func(out io.Writer) error { return runSubmit(options, out) },
	}
}

func runSubmit(options submitOptions, out io.Writer) error {
	if err := options.check("payload", options.payload); err != nil {
		return err
	}
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	defer cancel()
	submitted, err := caller.SubmitOnce(ctx, strings.Split(options.address, ","), client.Submission{
		Service:  options.service,
		Customer: core.Customer(options.customer),
		Payload:  json.RawMessage(options.payload),
	})
	if err != nil {
		return err
	}
	if options.raw {
		if err := json.NewEncoder(out).Encode(submitDocument{Outcome: submitted.Outcome.String(), SubmissionResult: submitted}); err != nil {
			return err
		}
	} else {
		printSubmitted(submitted, out)
	}
	if submitted.Outcome != core.Done {
		return errTrouble
	}
	return nil
}

// submitDocument is the outcome as JSON.
type submitDocument struct {
	Outcome string `json:"outcome"`
	client.SubmissionResult
}

func printSubmitted(submitted client.SubmissionResult, out io.Writer) {
	repeated := ""
	if submitted.Reply.Repeated {
		repeated = ", by an earlier try"
	}
	switch submitted.Outcome {
	case core.Done:
		fmt.Fprintf(out, "DONE%s: it ran once (%d tries, key %s)\n%s\n", repeated, submitted.Tries, submitted.Key, submitted.Reply.Payload)
	case core.NotRun:
		fmt.Fprintf(out, "NOT RUN: %s: %s (%d tries, key %s)\n", submitted.Refusal.Code, submitted.Refusal.Message, submitted.Tries, submitted.Key)
	default:
		fmt.Fprintf(out, "UNKNOWN, it may have run: %s: %s (%d tries, key %s)\n", submitted.Refusal.Code, submitted.Refusal.Message, submitted.Tries, submitted.Key)
	}
}
