// Package rig plays the scripted cases of the second review: it starts nodes of the forwarding tier as separate
// processes, with a store, replicas and clients of its own around them, and checks one rule from what these see.
//
// It is a test binary, built by review/build-2.sh: its stand-ins speak to the product as the platform does. It has no
// tests of its own, so that the default test run plays nothing.
package rig

import (
	"errors"
	"fmt"
	"os"
	"testing"
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

// Environment variables that choose the case and the file of its record, and switch its disruption off.
const (
	caseVariable    = "REVIEW_CASE"
	recordVariable  = "REVIEW_RECORD"
	troubleVariable = "TROUBLE"
)

// TestMain plays the case that the environment names. The exit code is 0 if the rule held, 1 if it was broken and 2 if the
// case could not run. Without a case it runs the package's tests, of which there are none.
func TestMain(m *testing.M) {
	name := os.Getenv(caseVariable)
	if name == "" {
		os.Exit(m.Run())
	}
	run := scenarios[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Getenv(recordVariable)))
}

func play(run scenario, path string) int {
	trouble := os.Getenv(troubleVariable) != "0"
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
