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
	name      string
	rounds    int
	rate      float64
	json      bool
	outFolder string
}

func experimentCommand() *command {
	parser := flaggy.NewSubcommand("experiment")
	parser.Description = "run a named comparison on stand-ins in this process, or list all"
	var options experimentOptions
	parser.AddPositionalValue(&options.name, "name", 1, false, "the experiment (default: list all)")
	parser.Int(&options.rounds, "r", "rounds", "number of rounds, overriding that of the experiment")
	parser.Float64(&options.rate, "", "rate", "requests per second, overriding the rate of the experiment")
	parser.Bool(&options.json, "j", "json", "print the report as JSON")
	parser.String(&options.outFolder, "o", "out", "the folder for the JSON report and the SVG plot")
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
	return compare(chosen, options.json, options.outFolder, out)
}

func listExperiments(out io.Writer) {
	for _, listed := range experiment.All() {
		fmt.Fprintf(out, "%-12s %s\n", listed.Name, listed.About)
	}
	fmt.Fprintf(out, "%-12s %s\n", slopesName, "the cost of one more sub-request, link, shard or query on this machine")
}

// compare runs an experiment and writes its report.
func compare(e experiment.Experiment, json bool, folder string, out io.Writer) error {
	result, err := experiment.Run(context.Background(), e, runtime.NumCPU())
	if err != nil {
		return err
	}
	return writeReport(result.Report(), e.Name, folder, json, out)
}

// reportWriter is a report that can be written as text, JSON and an SVG plot.
type reportWriter interface {
	WriteText(out io.Writer)
	WriteJSON(out io.Writer) error
	SVG() string
}

// writeReport writes a report to out and, if folder is not empty, into that folder.
func writeReport(report reportWriter, name, folder string, json bool, out io.Writer) error {
	if err := writeReportFiles(folder, name, report); err != nil {
		return err
	}
	if json {
		return report.WriteJSON(out)
	}
	report.WriteText(out)
	return nil
}

// writeReportFiles writes NAME.json and NAME.svg, or nothing if folder is empty.
func writeReportFiles(folder, name string, report reportWriter) error {
	if folder == "" {
		return nil
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return reportWriteError(folder, err)
	}
	file, err := os.Create(filepath.Join(folder, name+".json"))
	if err != nil {
		return reportWriteError(folder, err)
	}
	defer func() { _ = file.Close() }()
	if err := report.WriteJSON(file); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, name+".svg"), []byte(report.SVG()), 0o644); err != nil {
		return reportWriteError(folder, err)
	}
	return nil
}

func reportWriteError(folder string, err error) error {
	return &fault.Error{Code: fault.CodeBadRequest, Message: "cannot write into " + folder, Fix: "give a writable folder", Cause: err}
}
