package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
	"github.com/pistachiopier/pistachiopier/internal/loadmodel"
)

type modelOptions struct {
	pattern string
	seeds   int
	json    bool
	folder  string
}

// defaultModelSeeds give means that move by less than 0.01 with other seeds; mostModelSeeds take
// some minutes.
const (
	defaultModelSeeds = 12
	mostModelSeeds    = 1000
)

func modelCommand() *command {
	parser := flaggy.NewSubcommand("model")
	parser.Description = "play a load pattern against the forwarding tier's decisions in virtual time, or list the patterns"
	options := modelOptions{seeds: defaultModelSeeds}
	parser.AddPositionalValue(&options.pattern, "pattern", 1, false, "the pattern; none lists them")
	parser.Int(&options.seeds, "s", "seeds", "how many plays each figure rests on")
	parser.Bool(&options.json, "j", "json", "print the report as JSON")
	parser.String(&options.folder, "o", "out", "a folder to write the JSON report and the SVG plot into")
	return &command{
		parser:  parser,
		example: "pistachiopier model all-slow --seeds 100",
		run:     func(out io.Writer) error { return runModel(options, out) },
	}
}

func runModel(options modelOptions, out io.Writer) error {
	if options.pattern == "" {
		for _, p := range loadmodel.Patterns() {
			_, _ = fmt.Fprintf(out, "%-14s %s\n", p.Name, p.Description)
		}
		return nil
	}
	if options.seeds < 1 || options.seeds > mostModelSeeds {
		return &fault.Error{Code: fault.CodeBadRequest, Message: fmt.Sprintf("%d seeds were asked for", options.seeds), Fix: fmt.Sprintf("give 1 to %d", mostModelSeeds)}
	}
	p, err := loadmodel.FindPattern(options.pattern)
	if err != nil {
		return err
	}
	return tellReport(loadmodel.Compare(p, options.seeds), p.Name, options.folder, options.json, out)
}
