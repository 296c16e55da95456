package harness

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The tests run the built program. The go command caches a test result while
	// the packages that the test imports are unchanged: without this import a
	// change of the program would pass without a run.
	_ "github.com/pistachiopier/pistachiopier/internal/command"
)

// Main builds the program, stores its path in binary, runs the tests of a package
// and returns their exit code. With -short the tests are skipped.
func Main(m *testing.M, binary *string) int {
	flag.Parse()
	if testing.Short() {
		fmt.Println("tests of processes are skipped by -short")
		return 0
	}
	built, folder, err := Build()
	defer func() { _ = os.RemoveAll(folder) }()
	if err != nil {
		fmt.Println("the program cannot be built:", err)
		return 1
	}
	*binary = built
	return m.Run()
}
