package command

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/settings"
)

type settingsOptions struct {
	json     bool
	markdown bool
}

func settingsCommand() *command {
	parser := flaggy.NewSubcommand("settings")
	parser.Description = "print all settings of a node with their defaults and units"
	var options settingsOptions
	parser.Bool(&options.json, "j", "json", "print JSON")
	parser.Bool(&options.markdown, "m", "markdown", "print the settings as Markdown, as in docs/SETTINGS.md")
	return &command{
		parser:  parser,
		example: "pistachiopier settings",
		run:     func(out io.Writer) error { return printSettings(options, out) },
	}
}

func printSettings(options settingsOptions, out io.Writer) error {
	switch {
	case options.json:
		return printJSON(settings.Reference(), out)
	case options.markdown:
		_, err := io.WriteString(out, settings.Markdown())
		return err
	}
	table := newTable(out)
	fmt.Fprintln(table, "KEY\tDEFAULT\tUNIT\tSETS")
	for _, e := range settings.Reference() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", e.Key, e.Default, e.Unit, e.About)
	}
	return table.Flush()
}
