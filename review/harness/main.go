// Command harness plays the cases of the review that have a script: it starts nodes of the tier as separate processes,
// and plays their clients, replicas and metadata store.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the cases by their names. Each reports whether the rule was broken; without trouble it plays the same without
// the disruption.
var cases = map[string]func(world *world, trouble bool) (broken bool, err error){
	"settings-change-while-stopping": settingsChangeWhileStopping,
	"removal-while-readers-are-dark": removalWhileReadersAreDark,
	"drain-while-bodies-wait":        drainWhileBodiesWait,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, recordPath string) int {
	w, err := newWorld(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, disruption: %t", name, trouble)
	broken, err := cases[name](w, trouble)
	err = errors.Join(err, w.close())
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	default:
		w.note("the rule held")
		return exitHeld
	}
}
