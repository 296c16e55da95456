// Package command is the command line: one file for each command.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// The exit codes of every command.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// command is one subcommand. run is called after its arguments are parsed.
type command struct {
	parser  *flaggy.Subcommand
	example string
	run     func(out io.Writer) error
}

// untilStopped is a context that ends when the process is told to stop.
func untilStopped() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// errTrouble ends a command with ExitFailure after it has said what it found.
var errTrouble = errors.New("trouble found")

// Run executes the command line and returns the exit code.
func Run(arguments []string, out, errors io.Writer) int {
	parser := flaggy.NewParser("pistachiopier")
	parser.Description = "a query tier over many shards"
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	commands := all()
	for _, one := range commands {
		parser.AttachSubcommand(one.parser, 1)
	}
	if wantsHelp(arguments) {
		return help(commands, arguments, out)
	}
	err := validate(commands, arguments)
	if err == nil {
		err = parse(parser, arguments)
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return ExitUsage
	}
	for _, one := range commands {
		if one.parser.Used {
			return finish(one.run(out), errors)
		}
	}
	help(commands, nil, errors)
	return ExitUsage
}

// all lists the commands in the order of the help.
func all() []*command {
	return []*command{
		serveCommand(),
		edgeCommand(),
		explainCommand(),
		checkCommand(),
		diffCommand(),
		queryCommand(),
		submitCommand(),
		statusCommand(),
		problemsCommand(),
		dumpCommand(),
		chartsCommand(),
		settingsCommand(),
		keysCommand(),
		demoCommand(),
		standInCommand(),
		loadCommand(),
		experimentCommand(),
		modelCommand(),
	}
}

// parse runs the parser. flaggy ends the process on some faults unless its
// panics are wanted, so they are turned into errors here.
func parse(parser *flaggy.Parser, arguments []string) (err error) {
	flaggy.PanicInsteadOfExit = true
	defer func() {
		if caught := recover(); caught != nil {
			err = fault.NotRun(fault.CodeBadRequest, fmt.Sprint(caught), "see pistachiopier --help")
		}
	}()
	return parser.ParseArgs(arguments)
}

func wantsHelp(arguments []string) bool {
	for _, argument := range arguments {
		if argument == "--help" || argument == "-h" {
			return true
		}
	}
	return false
}

func help(commands []*command, arguments []string, out io.Writer) int {
	for _, one := range commands {
		if len(arguments) > 0 && one.parser.Name == arguments[0] {
			describe(one, out)
			return ExitOK
		}
	}
	fmt.Fprintln(out, "pistachiopier COMMAND: a query tier over many shards")
	for _, one := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", one.parser.Name, one.parser.Description)
	}
	fmt.Fprintln(out, "pistachiopier COMMAND --help shows a command's arguments and an example.")
	fmt.Fprintln(out, "exit codes: 0 fine, 1 trouble found, 2 bad usage")
	return ExitOK
}

func describe(one *command, out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n", one.parser.Name, one.parser.Description)
	for _, positional := range one.parser.PositionalFlags {
		fmt.Fprintf(out, "  %-24s %s\n", strings.ToUpper(positional.Name), positional.Description)
	}
	for _, flag := range one.parser.Flags {
		fmt.Fprintf(out, "  --%-22s %s\n", flag.LongName, flag.Description)
	}
	fmt.Fprintf(out, "example: %s\n", one.example)
}

func finish(err error, out io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errTrouble):
		return ExitFailure
	}
	fmt.Fprintln(out, err)
	if fault.As(err).Code == fault.CodeBadRequest {
		return ExitUsage
	}
	return ExitFailure
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &fault.Error{Code: fault.CodeBadRequest, Message: "cannot read " + path, Fix: "give a readable file", Cause: err}
	}
	return text, nil
}
