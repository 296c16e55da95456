package command

import (
	"encoding/json"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const defaultCallerTimeout = 5 * time.Second

// callerOptions are what query and submit have in common.
type callerOptions struct {
	service  string
	address  string
	customer string
	raw      bool
	timeout  time.Duration
}

func defaultCaller() callerOptions {
	return callerOptions{customer: "operator", timeout: defaultCallerTimeout}
}

// addFlags adds the flags; address describes that of --address.
func (o *callerOptions) addFlags(parser *flaggy.Subcommand, address string) {
	parser.AddPositionalValue(&o.service, "service", 1, true, "the service to ask")
	parser.String(&o.address, "a", "address", address+" (required)")
	parser.String(&o.customer, "c", "customer", "the customer to ask for")
	parser.Bool(&o.raw, "j", "json", "print the answer as JSON")
	parser.Duration(&o.timeout, "t", "timeout", "the time for the answer, all tries together")
}

// check refuses a missing address and a body that is not JSON; name is the
// body's flag.
func (o *callerOptions) check(name, body string) error {
	if o.address == "" {
		return noAddress("add --address IP:PORT of any node")
	}
	if !json.Valid([]byte(body)) {
		return fault.NotRun(fault.CodeBadRequest, "the "+name+" is not JSON", `quote a text twice, such as '"pork"'`)
	}
	return nil
}
