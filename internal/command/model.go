package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/loadmodel"
)

type modelOptions struct {
	pattern   string
	seeds     int
	json      bool
	outFolder string
}

// With defaultModelSeeds, means differ by less than 0.01 between sets of seeds; maxModelSeeds
// take some minutes.
const (
	defaultModelSeeds = 12
	maxModelSeeds     = 1000
)

func modelCommand() *command {
	parser := flaggy.NewSubcommand("model")
	parser.Description = "simulate a load pattern on the decision logic of the forwarding tier in virtual time, or list the patterns"
	options := modelOptions{seeds: defaultModelSeeds}
	parser.AddPositionalValue(&options.pattern, "pattern", 1, false, "the pattern (default: list all)")
	parser.Int(&options.seeds, "s", "seeds", "the number of simulation runs per figure")
	parser.Bool(&options.json, "j", "json", "print the report as JSON")
	parser.String(&options.outFolder, "o", "out", "the folder for the JSON report and the SVG plot")
	return &command{
		parser:  parser,
		example: "pistachiopier model all-slow --seeds 100",
		run:     func(out io.Writer) error { return runModel(options, out) },
	}
}

func runModel(options modelOptions, out io.Writer) error {
	if options.pattern == "" {
		for _, pattern := range loadmodel.Patterns() {
			_, _ = fmt.Fprintf(out, "%-14s %s\n", pattern.Name, pattern.Description)
		}
		return nil
	}
	if options.seeds < 1 || options.seeds > maxModelSeeds {
		return &fault.Error{Code: fault.CodeBadRequest, Message: fmt.Sprintf("--seeds %d is out of range", options.seeds), Fix: fmt.Sprintf("give 1 to %d", maxModelSeeds)}
	}
	pattern, err := loadmodel.FindPattern(options.pattern)
	if err != nil {
		return err
	}
	return writeReport(loadmodel.Compare(pattern, options.seeds), pattern.Name, options.outFolder, options.json, out)
}
