package command

import (
	"fmt"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/pistachiopier/pistachiopier/internal/fault"
)

// validate checks a command line before flaggy reads it. flaggy passes over
// unknown flags and surplus arguments, and answers missing ones with its own
// help page and the end of the process.
func validate(commands []*command, arguments []string) error {
	if len(arguments) == 0 {
		return usage("no command is given", "see pistachiopier --help")
	}
	for _, one := range commands {
		if one.parser.Name == arguments[0] {
			return validateCommand(one, arguments[1:])
		}
	}
	return usage(fmt.Sprintf("there is no command %q", arguments[0]), "see pistachiopier --help")
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
			return usage(fmt.Sprintf("%s has no flag %s", c.parser.Name, name), help)
		}
		if _, isBool := flag.AssignmentVar.(*bool); isBool || joined {
			continue
		}
		i++
		if i == len(arguments) {
			return usage("no value follows "+name, help)
		}
	}
	return validatePositionals(c, positionals, help)
}

func validatePositionals(c *command, given int, help string) error {
	taken := c.parser.PositionalFlags
	if given > len(taken) {
		return usage(fmt.Sprintf("%s takes %d arguments, %d are given", c.parser.Name, len(taken), given), help)
	}
	for i, positional := range taken {
		if positional.Required && i >= given {
			return usage(fmt.Sprintf("%s needs %s", c.parser.Name, strings.ToUpper(positional.Name)), help)
		}
	}
	return nil
}

// findFlag finds a flag as written: -s or --long.
func findFlag(parser *flaggy.Subcommand, written string) *flaggy.Flag {
	for _, flag := range parser.Flags {
		if written == "--"+flag.LongName || written == "-"+flag.ShortName {
			return flag
		}
	}
	return nil
}

func usage(message, fix string) error {
	return fault.NotRun(fault.CodeBadRequest, message, fix)
}
