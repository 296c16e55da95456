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
	parser.AddPositionalValue(&name, "chart", 1, false, "one chart by name; all when not given")
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
			return fault.NotRun(fault.CodeBadRequest, "there is no chart "+name, "the charts are "+strings.Join(names, ", "))
		}
		names = []string{name}
	}
	for _, one := range names {
		text, err := chart.Mermaid(one)
		if err != nil {
			return err
		}
		fmt.Fprint(out, text)
	}
	return nil
}
