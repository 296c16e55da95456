// Package command implements the command line, with one file for each command.
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

// Exit codes of all commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// command is one subcommand. run is called after the arguments are parsed.
type command struct {
	parser  *flaggy.Subcommand
	example string
	run     func(out io.Writer) error
}

// shutdownContext returns a context that is cancelled by SIGINT or SIGTERM.
func shutdownContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// errReported makes a command exit with ExitFailure after it has printed its findings.
var errReported = errors.New("problem found")

// Run executes the command line and returns the exit code.
func Run(arguments []string, out, errors io.Writer) int {
	parser := flaggy.NewParser("pistachiopier")
	parser.Description = "a query tier over many shards"
	parser.ShowHelpOnUnexpected = false
	parser.ShowHelpWithHFlag = false
	parser.ShowVersionWithVersionFlag = false
	commands := allCommands()
	for _, c := range commands {
		parser.AttachSubcommand(c.parser, 1)
	}
	if wantsHelp(arguments) {
		return printHelp(commands, arguments, out)
	}
	err := validate(commands, arguments)
	if err == nil {
		err = parse(parser, arguments)
	}
	if err != nil {
		fmt.Fprintln(errors, err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.parser.Used {
			return exitCode(c.run(out), errors)
		}
	}
	printHelp(commands, nil, errors)
	return ExitUsage
}

// allCommands lists the commands in the order of the help page.
func allCommands() []*command {
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

// parse runs the parser. flaggy exits the process on some errors unless it is set
// to panic, so its panics are turned into errors here.
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

func printHelp(commands []*command, arguments []string, out io.Writer) int {
	for _, c := range commands {
		if len(arguments) > 0 && c.parser.Name == arguments[0] {
			printCommandHelp(c, out)
			return ExitOK
		}
	}
	fmt.Fprintln(out, "pistachiopier COMMAND: a query tier over many shards")
	for _, c := range commands {
		fmt.Fprintf(out, "  %-10s %s\n", c.parser.Name, c.parser.Description)
	}
	fmt.Fprintln(out, "pistachiopier COMMAND --help shows the arguments of a command and an example.")
	fmt.Fprintln(out, "exit codes: 0 success, 1 failure or problem found, 2 usage error")
	return ExitOK
}

func printCommandHelp(c *command, out io.Writer) {
	fmt.Fprintf(out, "%s: %s\n", c.parser.Name, c.parser.Description)
	for _, positional := range c.parser.PositionalFlags {
		fmt.Fprintf(out, "  %-24s %s\n", strings.ToUpper(positional.Name), positional.Description)
	}
	for _, flag := range c.parser.Flags {
		fmt.Fprintf(out, "  --%-22s %s\n", flag.LongName, flag.Description)
	}
	fmt.Fprintf(out, "example: %s\n", c.example)
}

func exitCode(err error, out io.Writer) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errReported):
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
