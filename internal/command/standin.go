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

// standInStarted is the one line that a stand-in prints.
type standInStarted struct {
	Event string `json:"event"`
	Kind  string `json:"kind"`
	// Addresses are those of the replicas in order, or the platform's one.
	Addresses []string `json:"addresses"`
	Control   string   `json:"control"`
}

func standInCommand() *command {
	parser := flaggy.NewSubcommand("standin")
	parser.Description = "run a stand-in platform or stand-in upstreams for trials"
	options := standInOptions{address: anyLoopbackPort, control: anyLoopbackPort, replicas: 1}
	parser.AddPositionalValue(&options.kind, "kind", 1, true, "platform or upstream")
	parser.String(&options.address, "a", "address", "IP:PORT to serve on; port 0 takes a free one")
	parser.String(&options.control, "c", "control", "IP:PORT of the control interface")
	parser.String(&options.behaviour, "b", "behaviour", "upstreams: behaviour as YAML")
	parser.Int(&options.replicas, "r", "replicas", "upstreams: how many replicas, on port 0 or following ports")
	return &command{
		parser:  parser,
		example: `pistachiopier standin upstream --replicas 40 --behaviour '{slots: 2, service: 2ms, versions: [41, 42]}'`,
		run:     func(out io.Writer) error { return runStandIn(options, out) },
	}
}

func runStandIn(options standInOptions, out io.Writer) error {
	signals, stop := untilStopped()
	defer stop()
	var started standInStarted
	var err error
	switch options.kind {
	case standInPlatform:
		started, err = startStandInPlatform(options)
	case standInUpstream:
		started, err = startStandInUpstreams(options)
	default:
		err = fault.NotRun(fault.CodeBadRequest, strconv.Quote(options.kind)+" is not a stand-in", "write platform or upstream")
	}
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(started); err != nil {
		return fault.Step("print the addresses", err)
	}
	// The process's end closes the sockets.
	<-signals.Done()
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
	return started(standInPlatform, []string{platform.Address()}, control), nil
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
	return started(standInUpstream, addresses, control), nil
}

func started(kind string, addresses []string, control *standin.Control) standInStarted {
	return standInStarted{Event: "standin_started", Kind: kind, Addresses: addresses, Control: control.Address()}
}
