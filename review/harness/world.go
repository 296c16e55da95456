package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/platform"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	nodeProgram = "target/pistachiopier"
	// readyTimeout bounds the start of a node, killTimeout its end.
	readyTimeout = 15 * time.Second
	killTimeout  = 10 * time.Second
	pollInterval = 20 * time.Millisecond
	// dialTimeout is how long a client waits for a connection.
	dialTimeout = time.Second
)

// stability is how long a machine must have been without disruption to be in touch, as on the users' sheets.
const stability = 4 * time.Second

// drainTime is drainMs of the users' sheets.
const drainTime = 3 * time.Second

// world is a small deployment on loopback addresses.
type world struct {
	store    *platformtest.Store
	nodes    []*node
	replicas []*replica
	folder   string
	started  time.Time
	// network is the second and third byte of all loopback addresses of the nodes.
	network string

	mutex  sync.Mutex
	record *os.File
}

func newWorld(recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, err
	}
	network := fmt.Sprintf("%d.%d", 1+rand.IntN(250), rand.IntN(250))
	return &world{store: store, folder: folder, started: time.Now(), network: network, record: record}, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	_, _ = fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and stand-ins.
func (w *world) close() error {
	var failures []error
	for _, n := range w.nodes {
		failures = append(failures, n.kill())
		n.store.close()
	}
	for _, r := range w.replicas {
		r.close()
	}
	w.store.Close()
	return errors.Join(append(failures, os.RemoveAll(w.folder))...)
}

// node is a process of the tier.
type node struct {
	world   *world
	name    string
	zone    string
	callers string
	ready   string
	// store is the node's own way to the store.
	store   *storeProxy
	process *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
}

// startNodes starts a node in each of the given zones, and waits until all are ready.
func (w *world) startNodes(zones ...string) error {
	for i, zone := range zones {
		ip := fmt.Sprintf("127.%s.%d", w.network, i+1)
		store, err := startStoreProxy(w.store.Address())
		if err != nil {
			return err
		}
		n := &node{world: w, name: fmt.Sprintf("front-%d", i+1), zone: zone, callers: ip + ":8104", ready: ip + ":8108", store: store, ended: make(chan struct{})}
		if err := n.start(ip); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of a node as the platform writes them.
func (n *node) settings(ip string) string {
	return strings.Join([]string{
		"node=" + n.name, "role=edge", "machineClass=front", "serves=front,control,directory", "ip=" + ip,
		"zone=" + n.zone, "region=east", "zones.hall-a=east", "zones.hall-b=east", "zones.hall-c=east",
		"listenAddrs.front=" + n.callers, "listenAddrs.ready=" + n.ready, "listenAddrs.control=" + ip + ":8106", "listenAddrs.directory=" + ip + ":8100",
		"portRange=7380,7395", "seeds=127." + n.world.network + ".1:8106", "bootstrap=true", "faultCounted=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=directory", "heartbeatMs=1200",
		"bounds.stabilityMs=4000", "bounds.ackMs=5000", "bounds.drainMs=3000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000",
		"bounds.downgradeMs=250", "bounds.maxSkewMs=12000", "bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.retrySlack=56", "bounds.recoveryS=12",
		"platform.address=" + n.store.address(), "platform.form=read", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576",
	}, "\n") + "\n"
}

// start starts the process with the command of the deploy file.
func (n *node) start(ip string) error {
	path := filepath.Join(n.world.folder, n.name+".conf")
	if err := os.WriteFile(path, []byte(n.settings(ip)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.world.folder, n.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.process = exec.Command(nodeProgram, "edge", "--metrics-port", "9464")
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.world.folder, platform.SettingsVariable + "=" + path}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.world.note("%s starts at %s", n.name, n.callers)
	go func() {
		_ = n.process.Wait()
		n.world.note("%s has ended: %s", n.name, n.process.ProcessState)
		close(n.ended)
	}()
	return nil
}

func (n *node) awaitReady() error {
	client := newClient()
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		response, err := client.Get("http://" + n.ready + platform.PathReady)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == 200 {
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

// signal sends a signal to the process.
func (n *node) signal(signal syscall.Signal) error {
	n.world.note("%s gets %s", n.name, signal)
	return n.process.Process.Signal(signal)
}

// kill ends the process if it still runs.
func (n *node) kill() error {
	select {
	case <-n.ended:
		return nil
	default:
	}
	if err := n.process.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-n.ended:
		return nil
	case <-time.After(killTimeout):
		return errors.New(n.name + " did not end")
	}
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// listen listens on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
