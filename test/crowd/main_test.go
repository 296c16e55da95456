package crowd_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	// The tests run the built program. The go command caches a test result while the packages that the test imports are
	// unchanged: without this import a change of the program would pass without a run.
	_ "github.com/pistachiopier/pistachiopier/internal/command"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("tests of crowds are skipped by -short")
		os.Exit(0)
	}
	os.Exit(run(m))
}

func run(m *testing.M) int {
	built, folder, err := harness.Build()
	defer func() { _ = os.RemoveAll(folder) }()
	if err != nil {
		fmt.Println("the program cannot be built:", err)
		return 1
	}
	binary = built
	return m.Run()
}
