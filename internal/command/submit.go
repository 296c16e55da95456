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
	parser.Description = "send a non-idempotent request, which runs at most once"
	options := submitOptions{callerOptions: defaultCallerOptions(), payload: "null"}
	options.addFlags(parser, "the callers' addresses of one or more nodes, separated by commas")
	parser.String(&options.payload, "p", "payload", "the payload, as JSON")
	return &command{
		parser:  parser,
		example: `pistachiopier submit record-invoice --address 10.0.0.1:7001 --payload '{"vendor":"ham house"}'`,
		run:     func(out io.Writer) error { return runSubmit(options, out) },
	}
}

func runSubmit(options submitOptions, out io.Writer) error {
	if err := options.validate("payload", options.payload); err != nil {
		return err
	}
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	defer cancel()
	result, err := caller.SubmitOnce(ctx, strings.Split(options.address, ","), client.Submission{
		Service:  options.service,
		Customer: core.Customer(options.customer),
		Payload:  json.RawMessage(options.payload),
	})
	if err != nil {
		return err
	}
	if options.json {
		if err := json.NewEncoder(out).Encode(submissionDocument{Outcome: result.Outcome.String(), SubmissionResult: result}); err != nil {
			return err
		}
	} else {
		printSubmission(result, out)
	}
	if result.Outcome != core.Done {
		return errReported
	}
	return nil
}

// submissionDocument is the JSON output of submit.
type submissionDocument struct {
	Outcome string `json:"outcome"`
	client.SubmissionResult
}

func printSubmission(result client.SubmissionResult, out io.Writer) {
	repeated := ""
	if result.Reply.Repeated {
		repeated = ", by an earlier attempt"
	}
	switch result.Outcome {
	case core.Done:
		fmt.Fprintf(out, "DONE%s: it ran once (%d attempts, key %s)\n%s\n", repeated, result.Tries, result.Key, result.Reply.Payload)
	case core.NotRun:
		fmt.Fprintf(out, "NOT RUN: %s: %s (%d attempts, key %s)\n", result.Refusal.Code, result.Refusal.Message, result.Tries, result.Key)
	default:
		fmt.Fprintf(out, "UNKNOWN, it may have run: %s: %s (%d attempts, key %s)\n", result.Refusal.Code, result.Refusal.Message, result.Tries, result.Key)
	}
}
