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
	defaultRate           = 100.0
	defaultDuration       = 10 * time.Second
	defaultMaxRequests    = 100000
	defaultMaxOutstanding = 1000
	defaultRounds         = 5
	defaultLoadNodes      = 8
	defaultSeed           = 1
	loadGracePeriod       = time.Minute
)

type loadOptions struct {
	callerAddresses []string
	directories     []string
	dataCentre      string
	services        string
	customers       string
	rate            float64
	duration        time.Duration
	maxRequests     int
	maxOutstanding  int
	arrivals        string
	timeout         time.Duration
	seed            int
	embedded        bool
	textPath        string
	nodes           int
	firstVariant    string
	secondVariant   string
	rounds          int
	slopes          bool
	json            bool
	outFolder       string
}

func loadCommand() *command {
	parser := flaggy.NewSubcommand("load")
	parser.Description = "generate open-loop load and report latency, coverage and outcomes"
	o := &loadOptions{
		customers:      "small=1",
		rate:           defaultRate,
		duration:       defaultDuration,
		maxRequests:    defaultMaxRequests,
		maxOutstanding: defaultMaxOutstanding,
		arrivals:       string(load.ArrivalsPoisson),
		nodes:          defaultLoadNodes,
		rounds:         defaultRounds,
		seed:           defaultSeed,
	}
	parser.AddPositionalValue(&o.secondVariant, "second", 1, false, "the second variant of --compare")
	parser.StringSlice(&o.callerAddresses, "a", "address", "the callers' address of a node (repeatable)")
	parser.StringSlice(&o.directories, "", "directory", "the directory address of a node of the forwarding tier (repeatable)")
	parser.String(&o.dataCentre, "", "data-centre", "with --directory: the data centre of the callers")
	parser.String(&o.services, "s", "service", "services to query, as NAME or NAME=WEIGHT,NAME=WEIGHT; with --directory as HOST/PATH")
	parser.String(&o.customers, "c", "customers", "customers to send requests for, as NAME=WEIGHT,NAME=WEIGHT")
	parser.Float64(&o.rate, "", "rate", "mean requests per second")
	parser.Duration(&o.duration, "d", "duration", "how long to send; with --compare, in each slice")
	parser.Int(&o.maxRequests, "", "max-requests", "the maximum number of requests to send")
	parser.Int(&o.maxOutstanding, "", "max-outstanding", "the maximum number of requests in flight; requests above it are counted as unsent")
	parser.String(&o.arrivals, "", "arrivals", "the arrival process: poisson, fixed or bursty")
	parser.Duration(&o.timeout, "t", "timeout", "the time-out of each request; 0 uses that of the service")
	parser.Int(&o.seed, "", "seed", "the random seed of the arrivals and the request mix")
	parser.Bool(&o.embedded, "e", "embedded", "start stand-ins and nodes in this process")
	parser.String(&o.textPath, "", "text", "with --embedded or --compare: an operators' text whose services, shards and replicas to emulate")
	parser.Int(&o.nodes, "n", "nodes", "with --embedded or --compare: the number of nodes")
	parser.String(&o.firstVariant, "", "compare", "compare two variants, such as --compare owner direct; also naive, bundle-N")
	parser.Int(&o.rounds, "r", "rounds", "with --compare: slices of each variant")
	parser.Bool(&o.slopes, "", "slopes", "measure the cost of one more sub-request, link, shard or query")
	parser.Bool(&o.json, "j", "json", "print the report as JSON")
	parser.String(&o.outFolder, "o", "out", "the folder for the JSON report and the SVG plot")
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
	if o.services == "" && (o.embedded || o.firstVariant != "") {
		o.services = shape.Services[0].Name
	}
	profile, err := o.profile()
	if err != nil {
		return err
	}
	switch {
	case o.firstVariant != "":
		return o.compare(shape, profile, out)
	case o.embedded:
		return o.runEmbedded(shape, profile, out)
	default:
		return o.runRemote(profile, out)
	}
}

// shape returns the shape to emulate: that of the given text or, without one, the main search.
func (o loadOptions) shape() (fleet.Shape, error) {
	if o.textPath == "" {
		return fleet.MainSearch(), nil
	}
	text, err := readFile(o.textPath)
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
		MaxOutstanding: o.maxOutstanding,
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

// weightedName is a customer or service with its weight in the request mix.
type weightedName struct {
	name   string
	weight float64
}

// parseWeights parses a list of NAME or NAME=WEIGHT, separated by commas.
func parseWeights(text string) ([]weightedName, error) {
	var list []weightedName
	for _, field := range strings.Split(text, ",") {
		name, number, given := strings.Cut(field, "=")
		entry := weightedName{name: name, weight: 1}
		if given {
			parsed, err := strconv.ParseFloat(number, 64)
			if err != nil || parsed <= 0 {
				return nil, fault.NotRun(fault.CodeBadRequest, "no positive weight in "+strconv.Quote(field), "give NAME=WEIGHT")
			}
			entry.weight = parsed
		}
		if name != "" {
			list = append(list, entry)
		}
	}
	return list, nil
}

func (o loadOptions) runRemote(profile load.Profile, out io.Writer) error {
	caller, err := o.newCaller()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), o.duration+loadGracePeriod)
	defer cancel()
	recorder := load.NewRecorder()
	if err := load.Run(ctx, profile, caller, recorder); err != nil {
		return err
	}
	report := recorder.Report("load", runtime.NumCPU())
	if err := writeReportFiles(o.outFolder, "load", report); err != nil {
		return err
	}
	if o.json {
		return report.WriteJSON(out)
	}
	report.WriteText(out)
	return nil
}

// closableSender is a load.Sender that holds connections and must be closed.
type closableSender interface {
	load.Sender
	Close()
}

// newCaller returns a caller of the given nodes or of the forwarding tier.
func (o loadOptions) newCaller() (closableSender, error) {
	switch {
	case len(o.directories) > 0:
		return load.NewTierCaller(o.directories, o.dataCentre), nil
	case len(o.callerAddresses) > 0:
		return load.NewCaller(o.callerAddresses), nil
	default:
		return nil, missingAddressError("add --address IP:PORT of any node, --directory IP:PORT of the forwarding tier, or --embedded")
	}
}

// runEmbedded runs a comparison with a single variant.
func (o loadOptions) runEmbedded(shape fleet.Shape, profile load.Profile, out io.Writer) error {
	variant, err := experiment.NamedVariant("owner")
	if err != nil {
		return err
	}
	variant.Nodes = o.nodes
	variant.Profile = profile
	e := experiment.Experiment{Name: "embedded", About: "the system on stand-ins", Shape: shape, Rounds: 1, Variants: []experiment.Variant{variant}}
	return compare(e, o.json, o.outFolder, out)
}

func (o loadOptions) compare(shape fleet.Shape, profile load.Profile, out io.Writer) error {
	if o.secondVariant == "" {
		return fault.NotRun(fault.CodeBadRequest, "--compare needs two variants", "for example --compare owner direct")
	}
	e := experiment.Experiment{Name: "compare", About: o.firstVariant + " and " + o.secondVariant, Shape: shape, Rounds: o.rounds}
	for _, name := range []string{o.firstVariant, o.secondVariant} {
		variant, err := experiment.NamedVariant(name)
		if err != nil {
			return err
		}
		variant.Nodes = o.nodes
		variant.Profile = profile
		e.Variants = append(e.Variants, variant)
	}
	return compare(e, o.json, o.outFolder, out)
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
