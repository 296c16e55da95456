package command

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

const (
	standInPlatform = "platform"
	standInUpstream = "upstream"
	anyLoopbackPort = "127.0.0.1:0"
)

type standInOptions struct {
	kind      string
	address   string
	control   string
	behaviour string
	replicas  int
}

// standInStarted is the line that a stand-in prints when it has started.
type standInStarted struct {
	Event string `json:"event"`
	Kind  string `json:"kind"`
	// Addresses holds the addresses of the replicas in order, or the address of the platform.
	Addresses []string `json:"addresses"`
	Control   string   `json:"control"`
}

func standInCommand() *command {
	parser := flaggy.NewSubcommand("standin")
	parser.Description = "run a stand-in platform or stand-in upstreams for tests"
	options := standInOptions{address: anyLoopbackPort, control: anyLoopbackPort, replicas: 1}
	parser.AddPositionalValue(&options.kind, "kind", 1, true, "platform or upstream")
	parser.String(&options.address, "a", "address", "IP:PORT to listen on; port 0 picks a free port")
	parser.String(&options.control, "c", "control", "IP:PORT of the control interface")
	parser.String(&options.behaviour, "b", "behaviour", "upstreams: the behaviour as YAML")
	parser.Int(&options.replicas, "r", "replicas", "upstreams: the number of replicas, on free ports (port 0) or consecutive ports")
	return &command{
		parser:  parser,
		example: `pistachiopier standin upstream --replicas 40 --behaviour '{slots: 2, service: 2ms, versions: [41, 42]}'`,
		run:     func(out io.Writer) error { return runStandIn(options, out) },
	}
}

func runStandIn(options standInOptions, out io.Writer) error {
	shutdown, stop := shutdownContext()
	defer stop()
	var started standInStarted
	var err error
	switch options.kind {
	case standInPlatform:
		started, err = startStandInPlatform(options)
	case standInUpstream:
		started, err = startStandInUpstreams(options)
	default:
		err = fault.NotRun(fault.CodeBadRequest, strconv.Quote(options.kind)+" is not a kind of stand-in", "give platform or upstream")
	}
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(started); err != nil {
		return fault.Wrap("print the addresses", err)
	}
	// The sockets are closed when the process exits.
	<-shutdown.Done()
	return nil
}

func startStandInPlatform(options standInOptions) (standInStarted, error) {
	platform, err := standin.StartPlatform(options.address)
	if err != nil {
		return standInStarted{}, err
	}
	control, err := standin.StartPlatformControl(options.control, platform)
	if err != nil {
		return standInStarted{}, err
	}
	return startedLine(standInPlatform, []string{platform.Address()}, control), nil
}

func startStandInUpstreams(options standInOptions) (standInStarted, error) {
	behaviour := standin.Behaviour{Versions: []uint64{1}}
	if options.behaviour != "" {
		parsed, err := standin.ParseBehaviour([]byte(options.behaviour), behaviour)
		if err != nil {
			return standInStarted{}, err
		}
		behaviour = parsed
	}
	upstreams, err := standin.StartUpstreams(options.address, options.replicas, behaviour)
	if err != nil {
		return standInStarted{}, err
	}
	control, err := standin.StartUpstreamControl(options.control, upstreams)
	if err != nil {
		return standInStarted{}, err
	}
	addresses := make([]string, 0, len(upstreams))
	for _, u := range upstreams {
		addresses = append(addresses, u.Address())
	}
	return startedLine(standInUpstream, addresses, control), nil
}

func startedLine(kind string, addresses []string, control *standin.Control) standInStarted {
	return standInStarted{Event: "standin_started", Kind: kind, Addresses: addresses, Control: control.Address()}
}
