package command

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/experiment"
	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/fleet"
	"github.com/pistachiopier/pistachiopier/internal/load"
)

// Defaults of the load command.
const (
	defaultRate        = 100.0
	defaultDuration    = 10 * time.Second
	defaultMaxRequests = 100000
	defaultOutstanding = 1000
	defaultRounds      = 5
	defaultLoadNodes   = 8
	defaultSeed        = 1
	loadSetupTime      = time.Minute
)

type loadOptions struct {
	addresses   []string
	directories []string
	dataCentre  string
	services    string
	customers   string
	rate        float64
	duration    time.Duration
	maxRequests int
	outstanding int
	arrivals    string
	timeout     time.Duration
	seed        int
	embedded    bool
	text        string
	nodes       int
	first       string
	second      string
	rounds      int
	slopes      bool
	json        bool
	folder      string
}

func loadCommand() *command {
	parser := flaggy.NewSubcommand("load")
	parser.Description = "send an open-loop load and report latency, coverage and outcomes"
	o := &loadOptions{
		customers:   "small=1",
		rate:        defaultRate,
		duration:    defaultDuration,
		maxRequests: defaultMaxRequests,
		outstanding: defaultOutstanding,
		arrivals:    string(load.ArrivalsPoisson),
		nodes:       defaultLoadNodes,
		rounds:      defaultRounds,
		seed:        defaultSeed,
	}
	parser.AddPositionalValue(&o.second, "second", 1, false, "the second setting of --compare")
	parser.StringSlice(&o.addresses, "a", "address", "the callers' address of a node; may be repeated")
	parser.StringSlice(&o.directories, "", "directory", "the directory's address of a node of the forwarding tier; may be repeated")
	parser.String(&o.dataCentre, "", "data-centre", "with --directory: the callers' data centre")
	parser.String(&o.services, "s", "service", "services to ask, as NAME or NAME=WEIGHT,NAME=WEIGHT; with --directory as HOST/PATH")
	parser.String(&o.customers, "c", "customers", "customers to ask for, as NAME=WEIGHT,NAME=WEIGHT")
	parser.Float64(&o.rate, "", "rate", "mean requests a second")
	parser.Duration(&o.duration, "d", "duration", "how long to send; with --compare each slice")
	parser.Int(&o.maxRequests, "", "max-requests", "the most requests to send")
	parser.Int(&o.outstanding, "", "max-outstanding", "the most requests in flight; more are counted as unsent")
	parser.String(&o.arrivals, "", "arrivals", "poisson, fixed or bursty")
	parser.Duration(&o.timeout, "t", "timeout", "the time each request may take; 0 is the service's")
	parser.Int(&o.seed, "", "seed", "the seed of arrivals and mix")
	parser.Bool(&o.embedded, "e", "embedded", "start stand-ins and nodes in this process")
	parser.String(&o.text, "", "text", "with --embedded or --compare: an operators' text whose sizes to emulate")
	parser.Int(&o.nodes, "n", "nodes", "with --embedded or --compare: the number of nodes")
	parser.String(&o.first, "", "compare", "compare two settings, such as --compare owner direct; also naive, bundle-N")
	parser.Int(&o.rounds, "r", "rounds", "with --compare: slices of each setting")
	parser.Bool(&o.slopes, "", "slopes", "measure what one more sub-request, link, shard or question costs")
	parser.Bool(&o.json, "j", "json", "print the report as JSON")
	parser.String(&o.folder, "o", "out", "a folder to write the JSON report and the SVG plot into")
	return &command{
		parser:  parser,
		example: "pistachiopier load --embedded --rate 200 --duration 10s",
		run:     func(out io.Writer) error { return runLoad(*o, out) },
	}
}

func runLoad(o loadOptions, out io.Writer) error {
	if o.slopes {
		return runSlopes(o.json, out)
	}
	shape, err := o.shape()
	if err != nil {
		return err
	}
	if o.services == "" && (o.embedded || o.first != "") {
		o.services = shape.Services[0].Name
	}
	profile, err := o.profile()
	if err != nil {
		return err
	}
	switch {
	case o.first != "":
		return o.compare(shape, profile, out)
	case o.embedded:
		return o.runEmbedded(shape, profile, out)
	default:
		return o.runAgainst(profile, out)
	}
}

// shape is the size to emulate: that of the text given, or the main search.
func (o loadOptions) shape() (fleet.Shape, error) {
	if o.text == "" {
		return fleet.MainSearch(), nil
	}
	text, err := readFile(o.text)
	if err != nil {
		return fleet.Shape{}, err
	}
	parsed, err := catalog.Parse(text)
	if err != nil {
		return fleet.Shape{}, err
	}
	return fleet.ShapeOf(parsed), nil
}

func (o loadOptions) profile() (load.Profile, error) {
	services, err := parseWeights(o.services)
	if err != nil {
		return load.Profile{}, err
	}
	customers, err := parseWeights(o.customers)
	if err != nil {
		return load.Profile{}, err
	}
	profile := load.Profile{
		Arrivals:       load.Arrivals(o.arrivals),
		Rate:           o.rate,
		Duration:       o.duration,
		MaxRequests:    o.maxRequests,
		MaxOutstanding: o.outstanding,
		Timeout:        o.timeout,
		Seed:           uint64(o.seed),
	}
	for _, service := range services {
		for _, customer := range customers {
			profile.Mix = append(profile.Mix, load.MixEntry{Customer: core.Customer(customer.name), Service: service.name, Weight: service.weight * customer.weight})
		}
	}
	return profile, profile.Validate()
}

// weighted is one name of a mix.
type weighted struct {
	name   string
	weight float64
}

// parseWeights reads NAME or NAME=WEIGHT, separated by commas.
func parseWeights(text string) ([]weighted, error) {
	var list []weighted
	for _, field := range strings.Split(text, ",") {
		name, number, given := strings.Cut(field, "=")
		one := weighted{name: name, weight: 1}
		if given {
			parsed, err := strconv.ParseFloat(number, 64)
			if err != nil || parsed <= 0 {
				return nil, fault.NotRun(fault.CodeBadRequest, "no weight above 0 in "+strconv.Quote(field), "write NAME=WEIGHT")
			}
			one.weight = parsed
		}
		if name != "" {
			list = append(list, one)
		}
	}
	return list, nil
}

func (o loadOptions) runAgainst(profile load.Profile, out io.Writer) error {
	caller, err := o.caller()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), o.duration+loadSetupTime)
	defer cancel()
	recorder := load.NewRecorder()
	if err := load.Run(ctx, profile, caller, recorder); err != nil {
		return err
	}
	report := recorder.Report("load", runtime.NumCPU())
	if err := writeFolder(o.folder, "load", report); err != nil {
		return err
	}
	if o.json {
		return report.WriteJSON(out)
	}
	report.WriteText(out)
	return nil
}

// closingAsker is a load.Sender with connections.
type closingAsker interface {
	load.Sender
	Close()
}

// caller asks the nodes or the forwarding tier that were named.
func (o loadOptions) caller() (closingAsker, error) {
	switch {
	case len(o.directories) > 0:
		return load.NewTierCaller(o.directories, o.dataCentre), nil
	case len(o.addresses) > 0:
		return load.NewCaller(o.addresses), nil
	default:
		return nil, noAddress("add --address IP:PORT of any node, --directory IP:PORT of the forwarding tier, or --embedded")
	}
}

// runEmbedded is a comparison of one.
func (o loadOptions) runEmbedded(shape fleet.Shape, profile load.Profile, out io.Writer) error {
	variant, err := experiment.NamedVariant("owner")
	if err != nil {
		return err
	}
	variant.Nodes = o.nodes
	variant.Profile = profile
	e := experiment.Experiment{Name: "embedded", About: "the system on stand-ins", Shape: shape, Rounds: 1, Variants: []experiment.Variant{variant}}
	return compare(e, o.json, o.folder, out)
}

func (o loadOptions) compare(shape fleet.Shape, profile load.Profile, out io.Writer) error {
	if o.second == "" {
		return fault.NotRun(fault.CodeBadRequest, "--compare needs two settings", "write --compare owner direct")
	}
	e := experiment.Experiment{Name: "compare", About: o.first + " and " + o.second, Shape: shape, Rounds: o.rounds}
	for _, name := range []string{o.first, o.second} {
		variant, err := experiment.NamedVariant(name)
		if err != nil {
			return err
		}
		variant.Nodes = o.nodes
		variant.Profile = profile
		e.Variants = append(e.Variants, variant)
	}
	return compare(e, o.json, o.folder, out)
}

func runSlopes(json bool, out io.Writer) error {
	slopes, err := experiment.MeasureSlopes()
	if err != nil {
		return err
	}
	if json {
		return slopes.WriteJSON(out)
	}
	fmt.Fprintf(out, "slopes on %d cores\n", runtime.NumCPU())
	slopes.WriteText(out)
	return nil
}
