// Command pistachiopier is the query tier: daemon, stand-ins and the client for
// operators in one binary.
package main

import (
	"os"

	"github.com/pistachiopier/pistachiopier/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
