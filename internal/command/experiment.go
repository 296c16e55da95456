package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/experiment"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

const slopesName = "slopes"

type experimentOptions struct {
	name   string
	rounds int
	rate   float64
	json   bool
	folder string
}

func experimentCommand() *command {
	parser := flaggy.NewSubcommand("experiment")
	parser.Description = "run a named comparison on stand-ins in this process, or list them"
	var options experimentOptions
	parser.AddPositionalValue(&options.name, "name", 1, false, "the experiment; none lists them")
	parser.Int(&options.rounds, "r", "rounds", "rounds in place of the experiment's own")
	parser.Float64(&options.rate, "", "rate", "requests a second in place of the experiment's own")
	parser.Bool(&options.json, "j", "json", "print the report as JSON")
	parser.String(&options.folder, "o", "out", "a folder to write the JSON report and the SVG plot into")
	return &command{
		parser:  parser,
		example: "pistachiopier experiment whole-path --out plots",
		run:     func(out io.Writer) error { return runExperiment(options, out) },
	}
}

func runExperiment(options experimentOptions, out io.Writer) error {
	switch options.name {
	case "":
		listExperiments(out)
		return nil
	case slopesName:
		return runSlopes(options.json, out)
	}
	chosen, err := experiment.Find(options.name)
	if err != nil {
		return err
	}
	if options.rounds > 0 {
		chosen.Rounds = options.rounds
	}
	for i := range chosen.Variants {
		if options.rate > 0 {
			chosen.Variants[i].Profile.Rate = options.rate
		}
	}
	return compare(chosen, options.json, options.folder, out)
}

func listExperiments(out io.Writer) {
	for _, e := range experiment.All() {
		fmt.Fprintf(out, "%-12s %s\n", e.Name, e.About)
	}
	fmt.Fprintf(out, "%-12s %s\n", slopesName, "what one more sub-request, link, shard or question costs on this machine")
}

// compare runs an experiment and reports it.
func compare(e experiment.Experiment, json bool, folder string, out io.Writer) error {
	result, err := experiment.Run(context.Background(), e, runtime.NumCPU())
	if err != nil {
		return err
	}
	return tellReport(result.Report(), e.Name, folder, json, out)
}

// pictured is a report that can be written for people, as JSON, and drawn.
type pictured interface {
	WriteText(out io.Writer)
	WriteJSON(out io.Writer) error
	SVG() string
}

// tellReport writes a report into a folder, where one is given, and to out.
func tellReport(report pictured, name, folder string, json bool, out io.Writer) error {
	if err := writeFolder(folder, name, report); err != nil {
		return err
	}
	if json {
		return report.WriteJSON(out)
	}
	report.WriteText(out)
	return nil
}

// writeFolder writes NAME.json and NAME.svg; an empty folder is none.
func writeFolder(folder, name string, report pictured) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return unwritable(folder, err)
	}
	document, err := os.Create(filepath.Join(folder, name+".json"))
	if err != nil {
		return unwritable(folder, err)
	}
	defer func() { _ = document.Close() }()
	if err := report.WriteJSON(document); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".svg"), []byte(report.SVG()), 0o644); err != nil {
		return unwritable(folder, err)
	}
	return nil
}

func unwritable(folder string, err error) error {
	return &fault.Error{Code: fault.CodeBadRequest, Message: "cannot write into " + folder, Fix: "give a folder that can be written", Cause: err}
}
