package command

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/chart"
	"github.com/pistachiopier/pistachiopier/internal/fault"
)

func chartsCommand() *command {
	parser := flaggy.NewSubcommand("charts")
	parser.Description = "print the state charts as Mermaid diagrams"
	var name string
	parser.AddPositionalValue(&name, "chart", 1, false, "the name of one chart (default: all)")
	return &command{
		parser:  parser,
		example: "pistachiopier charts config",
		run:     func(out io.Writer) error { return charts(name, out) },
	}
}

func charts(name string, out io.Writer) error {
	names := chart.Names()
	if name != "" {
		if !slices.Contains(names, name) {
			return fault.NotRun(fault.CodeBadRequest, "unknown chart "+name, "the charts are "+strings.Join(names, ", "))
		}
		names = []string{name}
	}
	for _, chartName := range names {
		text, err := chart.Mermaid(chartName)
		if err != nil {
			return err
		}
		fmt.Fprint(out, text)
	}
	return nil
}
