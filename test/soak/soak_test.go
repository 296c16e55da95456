// Package soak_test runs the built program as processes on loopback and injects faults from
// outside, drawn from a seed: the same seed gives the same schedule. It checks the promises
// from what callers and replicas see.
//
//	go test ./test/soak -soak.seeds 50          fifty fresh seeds
//	go test ./test/soak -soak.seed 12345        one seed again
package soak_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

var (
	seeds  = flag.Int("soak.seeds", 1, "fresh seeds to play")
	seed   = flag.Uint64("soak.seed", 0, "play this seed only")
	keep   = flag.Bool("soak.keep", false, "keep the nodes' logs of seeds that pass, too")
	length = flag.Duration("soak.length", 8*time.Second, "how long faults come")
)

// servedAgain is the time within which all is well after the last fault.
const servedAgain = 12 * time.Second

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes real processes and half a minute")
	}
	binary, folder, err := harness.Build()
	require.NoError(t, err)
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	for number, one := range toPlay(t) {
		t.Run(strconv.FormatUint(one.seed, 10), func(t *testing.T) {
			t.Parallel()
			if broken := play(t, binary, one, number%100); len(broken) > 0 {
				t.Errorf("seed %d broke a promise:\n%s", one.seed, strings.Join(broken, "\n"))
			}
		})
	}
}

// run is a seed and how many of the kinds of faults it draws from.
type run struct {
	seed  uint64
	kinds int
}

// toPlay are the seeds that ever failed, with the number of kinds of their time, and the
// fresh ones.
func toPlay(t *testing.T) []run {
	if *seed != 0 {
		return []run{{*seed, len(drawn)}}
	}
	file, err := os.Open("seeds")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	var list []run
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var one run
		if _, err := fmt.Sscanf(lines.Text(), "%d %d ", &one.seed, &one.kinds); err == nil {
			list = append(list, one)
		}
	}
	for range *seeds {
		list = append(list, run{rand.Uint64() >> 1, len(drawn)})
	}
	return list
}

// play plays a seed in a world with a number of its own and returns the broken promises.
func play(t *testing.T, binary string, played run, number int) []string {
	w := newWorld(t, binary, played.seed, number)
	defer w.close()
	c := &callers{w: w, posts: map[string]int{}}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.run(ctx)
	}()
	w.play(schedule(w.random, *length, drawn[:played.kinds]))
	w.note("the last fault is over")
	c.awaitService()
	w.changeInCalm()
	stop()
	<-ended
	c.checkLedgers()
	c.checkExtra()
	w.checkLogs()
	t.Logf("seed %d: %d requests, %d served", played.seed, c.asked.Load(), c.served.Load())
	if len(w.broken) > 0 {
		t.Logf("schedule:\n%s", strings.Join(w.log, "\n"))
	}
	if *keep || len(w.broken) > 0 {
		keepLogs(t, w)
	}
	return w.broken
}

// changeInCalm drains a replica, evacuates a data centre, changes the configuration and the shards, and stops a node
// while nothing else happens: the promises with a time bound hold only then, and are checked
// at least once a seed.
func (w *world) changeInCalm() {
	time.Sleep(stable + slack)
	w.note("a drain and a change in calm")
	backup := w.store.Backup()
	w.configure()
	w.repartition()
	var leaving sync.WaitGroup
	leaving.Go(func() { w.evacuate(fault{draw: w.seed << 40}) })
	leaving.Go(func() { w.sendDeadly(fault{draw: w.seed}) })
	w.drain(fault{draw: w.random.Uint64()})
	leaving.Wait()
	w.restoreInCalm(backup)
	w.note("a planned stop in calm")
	w.disturb(w.nodes[w.random.IntN(nodeCount)], fault{kind: stopNode})
	time.Sleep(slack)
}

// awaitService waits until nearly all requests of a second are served.
func (c *callers) awaitService() {
	const enough = 0.95
	for deadline := time.Now().Add(servedAgain); time.Now().Before(deadline); {
		asked, served := c.asked.Load(), c.served.Load()
		time.Sleep(time.Second)
		if asked = c.asked.Load() - asked; asked > 0 && float64(c.served.Load()-served) >= enough*float64(asked) {
			return
		}
	}
	c.w.fail("%v after the last fault requests are still not served", servedAgain)
}

// checkLogs checks that nodes wrote nothing but JSON lines that name their event, and that no
// process failed.
func (w *world) checkLogs() {
	for _, one := range w.nodes {
		failures, err := os.ReadFile(one.failures.Name())
		require.NoError(w.t, err)
		if len(failures) > 0 {
			w.fail("vm %s failed: %.300s", one.ip, failures)
		}
		text, err := os.ReadFile(one.out.Name())
		require.NoError(w.t, err)
		var highest uint64
		for line := range strings.Lines(string(text)) {
			var read logLine
			if err := json.Unmarshal([]byte(line), &read); err != nil || read.Event == "" || read.Node == "" {
				w.fail("vm %s wrote a line that is no event: %s", one.ip, line)
			}
			highest = w.checkVersion(one, read, highest)
		}
	}
}

// keepLogs copies the nodes' logs of a failed seed to a place that outlives the test.
func keepLogs(t *testing.T, w *world) {
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", w.seed))
	require.NoError(t, err)
	for i, one := range w.nodes {
		text, err := os.ReadFile(one.out.Name())
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(fmt.Sprintf("%s/vm-%d.log", folder, i), text, 0o600))
	}
	t.Logf("logs kept in %s", folder)
}
