package rig

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

const (
	// heartbeatInterval is heartbeatMs of the settings.
	heartbeatInterval = 1200 * time.Millisecond
	// drainTime, graceTime and stabilityTime are drainMs, graceS and stabilityMs of the settings.
	drainTime     = 3000 * time.Millisecond
	graceTime     = 6 * time.Second
	stabilityTime = 4000 * time.Millisecond
	// readyTimeout bounds the wait until all nodes are ready.
	readyTimeout = 10 * time.Second
	// host is the host of all routes.
	host = "search.example"
)

// zones are the zones of the deployment.
var zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}

// world is a small deployment: nodes as processes, and stand-ins for all else.
type world struct {
	started time.Time
	store   *platformtest.Store
	dir     string
	binary  string

	mutex    sync.Mutex
	out      *os.File
	nodes    []*node
	replicas []*server
	done     chan struct{}
	tasks    sync.WaitGroup
}

// node is one process of the tier.
type node struct {
	name, ip, zone string
	ports          ports
	settings       string
	process        *exec.Cmd
	log            bytes.Buffer
	exited         chan struct{}
}

// ports are the ports of all nodes, each of which has an address of its own.
type ports struct{ front, ready, control, directory, peers int }

func newWorld(path string) (*world, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/pistachiopier")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("%w: build the deploy file first: %v", errNotRun, err)
	}
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, err
	}
	return &world{started: time.Now(), store: store, dir: dir, binary: binary, out: out, done: make(chan struct{})}, nil
}

// at returns the time since the start of the case.
func (w *world) at() time.Duration { return time.Since(w.started) }

// record writes a line to the record.
func (w *world) record(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.out, "%9.3f ", w.at().Seconds())
	fmt.Fprintf(w.out, format+"\n", values...)
}

// publish writes a configuration to the store.
func (w *world) publish(config platformtest.Config) {
	w.store.Publish(config)
	w.record("configuration %d acknowledged", config.Version)
}

// startNodes starts nodes, spread over the zones, and waits until all are ready.
func (w *world) startNodes(count int) error {
	shared, ips, err := freePorts(count)
	if err != nil {
		return err
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%d", i+1), ip: ips[i], zone: zones[i%len(zones)], ports: shared}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, n := range w.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready: %s", errNotRun, n.name, n.log.String())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.record("%d nodes are ready", count)
	return nil
}

// freePorts finds loopback addresses and ports that are free on all of them.
func freePorts(count int) (ports, []string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		base := 20000 + rand.IntN(9000)
		var ips []string
		free := true
		for i := range count {
			ip := fmt.Sprintf("%s.%d", prefix, i+1)
			ips = append(ips, ip)
			for offset := range 4 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, base+offset))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return ports{front: base, ready: base + 1, control: base + 2, directory: base + 3, peers: base + 4}, ips, nil
		}
	}
	return ports{}, nil, fmt.Errorf("%w: no free ports", errNotRun)
}

// writeSettings writes the settings file of a node.
func (w *world) writeSettings(n *node) error {
	var seeds []string
	for _, seed := range w.nodes[:min(len(w.nodes), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", seed.ip, seed.ports.control))
	}
	var text strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&text, "%s=%v\n", name, value) }
	line("node", n.name)
	line("role", "edge")
	line("machineClass", "front")
	line("serves", "front,control,directory")
	line("ip", n.ip)
	line("zone", n.zone)
	line("region", "dixie-east")
	for _, zone := range zones {
		line("zones."+zone, "dixie-east")
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }
	line("listenAddrs.front", address(n.ports.front))
	line("listenAddrs.ready", address(n.ports.ready))
	line("listenAddrs.control", address(n.ports.control))
	line("listenAddrs.directory", address(n.ports.directory))
	line("portRange", fmt.Sprintf("%d,%d", n.ports.peers, n.ports.peers+15))
	line("seeds", strings.Join(seeds, ","))
	line("bootstrap", "true")
	line("limits.cpuShare", 0.4)
	line("limits.cores", 1)
	line("limits.memoryMb", 284)
	line("limits.maxFds", 4100)
	line("limits.linkMbps", 1000)
	line("limits.diskMb", 0)
	line("discovery", "platform")
	line("entry", "directory")
	line("heartbeatMs", heartbeatInterval.Milliseconds())
	line("contracts", "base,drain,config,cost,retry,recover,scatter,platform")
	line("faultTolerance.machines", 2)
	for name, value := range map[string]any{
		"seedLagS": 3, "addrReuseS": 2, "stabilityMs": stabilityTime.Milliseconds(), "ackMs": 5000, "catchUpS": 4, "drainMs": drainTime.Milliseconds(),
		"graceS": int(graceTime.Seconds()), "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250, "maxSkewMs": 12000,
		"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 54, "recoveryS": 12, "ttl_max_s": 5,
	} {
		line("bounds."+name, value)
	}
	line("platform.address", w.store.Address())
	line("platform.form", "read")
	line("platform.readsPerS", 2000)
	line("platform.historyS", 20)
	line("platform.valueBytes", 1<<20)
	n.settings = filepath.Join(w.dir, n.name+".conf")
	return os.WriteFile(n.settings, []byte(text.String()), 0o600)
}

// startNode starts the process of a node with the command of the deploy file.
func (w *world) startNode(n *node) error {
	if err := w.writeSettings(n); err != nil {
		return err
	}
	process := exec.Command(w.binary, "edge", "--metrics-port", "9464")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "PISTACHIOPIER_CONFIG=" + n.settings}
	process.Stdout, process.Stderr = &n.log, &n.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	n.process, n.exited = process, make(chan struct{})
	exited := n.exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	w.record("%s (%s, %s) starts", n.name, n.ip, n.zone)
	return nil
}

func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/pistachiopier/ready", n.ip, n.ports.ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// running reports whether the process of the node runs.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// run starts a task that ends by itself or when the world is closed.
func (w *world) run(task func()) {
	w.tasks.Add(1)
	go func() {
		defer w.tasks.Done()
		task()
	}()
}

// sleep waits, and reports false if the world is closed meanwhile.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.done:
		return false
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	close(w.done)
	for _, n := range w.nodes {
		if n.process != nil && n.running() {
			_ = n.process.Process.Kill()
			<-n.exited
		}
	}
	for _, s := range w.replicas {
		s.exit()
	}
	w.store.Close()
	w.tasks.Wait()
	_ = w.out.Close()
	_ = os.RemoveAll(w.dir)
}
