// Command pistachiopier is the query tier: the daemon, the stand-ins and the
// operators' client in one binary.
package main

import (
	"os"

	"github.com/pistachiopier/pistachiopier/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
