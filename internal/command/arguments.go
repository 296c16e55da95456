package command

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// validate checks a command line before flaggy parses it. flaggy ignores
// unknown flags and surplus arguments, and on a missing argument prints its own
// help page and exits.
func validate(commands []*command, arguments []string) error {
	if len(arguments) == 0 {
		return usageError("no command given", "see pistachiopier --help")
	}
	for _, candidate := range commands {
		if candidate.parser.Name == arguments[0] {
			return validateCommand(candidate, arguments[1:])
		}
	}
	return usageError(fmt.Sprintf("unknown command %q", arguments[0]), "see pistachiopier --help")
}

func validateCommand(c *command, arguments []string) error {
	positionals := 0
	help := "see pistachiopier " + c.parser.Name + " --help"
	for i := 0; i < len(arguments); i++ {
		if !strings.HasPrefix(arguments[i], "-") {
			positionals++
			continue
		}
		name, _, joined := strings.Cut(arguments[i], "=")
		flag := findFlag(c.parser, name)
		if flag == nil {
			return usageError(fmt.Sprintf("%s has no flag %s", c.parser.Name, name), help)
		}
		if _, isBool := flag.AssignmentVar.(*bool); isBool || joined {
			continue
		}
		i++
		if i == len(arguments) {
			return usageError("no value given for "+name, help)
		}
	}
	return validatePositionals(c, positionals, help)
}

func validatePositionals(c *command, given int, help string) error {
	defined := c.parser.PositionalFlags
	if given > len(defined) {
		return usageError(fmt.Sprintf("%s takes %d arguments, got %d", c.parser.Name, len(defined), given), help)
	}
	for i, positional := range defined {
		if positional.Required && i >= given {
			return usageError(fmt.Sprintf("%s needs %s", c.parser.Name, strings.ToUpper(positional.Name)), help)
		}
	}
	return nil
}

// findFlag looks up a flag by its form on the command line, -s or --long.
func findFlag(parser *flaggy.Subcommand, written string) *flaggy.Flag {
	for _, flag := range parser.Flags {
		if written == "--"+flag.LongName || written == "-"+flag.ShortName {
			return flag
		}
	}
	return nil
}

func usageError(message, fix string) error {
	return fault.NotRun(fault.CodeBadRequest, message, fix)
}
