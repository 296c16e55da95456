package crowd_test

import (
	"os"
	"testing"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// binary is the path of the built program.
var binary string

func TestMain(m *testing.M) { os.Exit(harness.Main(m, &binary)) }
