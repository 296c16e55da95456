package command

import (
	"encoding/json"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const defaultCallerTimeout = 5 * time.Second

// callerOptions are the options that query and submit share.
type callerOptions struct {
	service  string
	address  string
	customer string
	json     bool
	timeout  time.Duration
}

func defaultCallerOptions() callerOptions {
	return callerOptions{customer: "operator", timeout: defaultCallerTimeout}
}

// addFlags adds the flags; address is the description of --address.
func (o *callerOptions) addFlags(parser *flaggy.Subcommand, address string) {
	parser.AddPositionalValue(&o.service, "service", 1, true, "the service to send the request to")
	parser.String(&o.address, "a", "address", address+" (required)")
	parser.String(&o.customer, "c", "customer", "the customer on whose behalf the request is sent")
	parser.Bool(&o.json, "j", "json", "print the answer as JSON")
	parser.Duration(&o.timeout, "t", "timeout", "the time limit for the answer, over all attempts")
}

// validate rejects a missing address and a body that is not JSON; name is the
// body's flag.
func (o *callerOptions) validate(name, body string) error {
	if o.address == "" {
		return missingAddressError("add --address IP:PORT of any node")
	}
	if !json.Valid([]byte(body)) {
		return fault.NotRun(fault.CodeBadRequest, "the "+name+" is not JSON", `quote a string for the shell and for JSON, such as '"pork"'`)
	}
	return nil
}
