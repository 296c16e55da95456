package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/client"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

type submitOptions struct {
	service   string
	addresses string
	customer  string
	payload   string
	raw       bool
	timeout   time.Duration
}

func submitCommand() *command {
	parser := flaggy.NewSubcommand("submit")
	parser.Description = "send a must-not-repeat request, at most once"
	options := submitOptions{customer: "operator", payload: "null", timeout: defaultQueryTimeout}
	parser.AddPositionalValue(&options.service, "service", 1, true, "the service to send to")
	parser.String(&options.addresses, "a", "address", "the callers' addresses of one or more nodes, by commas (required)")
	parser.String(&options.customer, "c", "customer", "the customer to send for")
	parser.String(&options.payload, "p", "payload", "the payload, as JSON")
	parser.Bool(&options.raw, "j", "json", "print the outcome as JSON")
	parser.Duration(&options.timeout, "t", "timeout", "the time for all tries together")
	return &command{
		parser:  parser,
		example: `pistachiopier submit record-invoice --address 10.0.0.1:7001 --payload '{"vendor":"ham house"}'`,
		run:     func(out io.Writer) error { return runSubmit(options, out) },
	}
}

func runSubmit(options submitOptions, out io.Writer) error {
	if options.addresses == "" {
		return fault.NotRun(fault.CodeBadRequest, "no address is given", "add --address IP:PORT of any node")
	}
	if !json.Valid([]byte(options.payload)) {
		return fault.NotRun(fault.CodeBadRequest, "the payload is not JSON", `quote a text twice, such as '"pork"'`)
	}
	caller := client.New()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), options.timeout)
	defer cancel()
	submitted, err := caller.SubmitOnce(ctx, strings.Split(options.addresses, ","), client.Submission{
		Service:  options.service,
		Customer: core.Customer(options.customer),
		Payload:  json.RawMessage(options.payload),
	})
	if err != nil {
		return err
	}
	if options.raw {
		if err := json.NewEncoder(out).Encode(submitDocument{Outcome: submitted.Outcome.String(), Submitted: submitted}); err != nil {
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
	client.Submitted
}

func printSubmitted(submitted client.Submitted, out io.Writer) {
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
