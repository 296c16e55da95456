// Command rig plays the scripted cases of the second review: it starts nodes of the forwarding tier as separate
// processes, with a store, replicas and clients of its own around them, and checks one rule from what these see.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strings"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is wrapped by failures that prevent a case from running.
var errNotRun = errors.New("the case could not run")

// scenario plays one case. It returns the violations that it found.
type scenario func(w *world, trouble bool) (violations []string, err error)

var scenarios = map[string]scenario{
	"drain-under-load": drainUnderLoad,
	"popular-request":  popularRequest,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		names := make([]string, 0, len(scenarios))
		for name := range scenarios {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, where CASE is one of", strings.Join(names, ", "))
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2]))
}

func play(run scenario, path string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	w.record("trouble: %v", trouble)
	violations, err := run(w, trouble)
	if err != nil {
		w.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, violation := range violations {
		w.record("VIOLATION: %s", violation)
	}
	w.record("result: %d violations", len(violations))
	fmt.Printf("%d violations; see %s\n", len(violations), path)
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
