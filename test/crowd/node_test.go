// Package crowd_test runs the built program on loopback beside clients that keep to no limit, and checks that the process
// lives within the memory and the descriptors of its VM and that an ordinary request is answered afterwards.
//
// The tests measure a process, so that they run one at a time and apart from other load: `.ci/run` gives them a step
// of their own.
package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/platform/platformtest"
	"github.com/pistachiopier/pistachiopier/test/e2e/harness"
)

// The users' smallest VM.
const (
	smallestMemoryMB    = 136
	smallestDescriptors = 2870
)

const (
	callerHost = "search.example"
	// fewShards and manyShards are numbers of services that a gathered request asks; the users have up to 180.
	fewShards, manyShards = 20, 150
	// Ordinary requests are for plainPath and gatheredPath. Those for the held paths go to replicas of their own, which never
	// answer them.
	plainPath, gatheredPath         = "/plain/x", "/all/x"
	heldPlainPath, heldGatheredPath = "/heldplain/x", "/heldall/x"

	// replicaSlots is high, so that a crowd's requests are sent and not rejected.
	replicaSlots = 1000

	requestTimeout = 20 * time.Second
	headerTimeout  = 10 * time.Second
	samplePause    = 5 * time.Millisecond
	// patience is how long a client waits for a node.
	patience = 2 * time.Second
)

// vm is what the settings file of a node states of its VM.
type vm struct{ memoryMB, descriptors int }

// node is one process of the forwarding tier, with a store and replicas as stand-ins.
type node struct {
	*harness.Process
	t  *testing.T
	vm vm
	ip string
	// mostDescriptors is the highest number of open descriptors that was seen.
	mostDescriptors atomic.Int64
	stopSampling    context.CancelFunc
	requests        int
}

// Ports of a node; nodes differ in their addresses.
const (
	callerPort    = 8104
	readyPort     = 8108
	directoryPort = 8100
	firstPeerPort = 7380
	metricsPort   = 7395
)

// startedNodes counts the nodes of this test process, each of which has an address of its own.
var startedNodes atomic.Int64

// startNode starts a node and waits until it serves.
func startNode(t *testing.T, v vm) *node { return startNodeOf(t, v, fewShards) }

// startNodeOf is startNode with a number of shards.
func startNodeOf(t *testing.T, v vm, shards int) *node {
	t.Helper()
	store := startUpstreams(t, shards)
	n := &node{t: t, vm: v, ip: fmt.Sprintf("127.%d.%d.1", 20+os.Getpid()%200, startedNodes.Add(1))}
	settingsPath := filepath.Join(t.TempDir(), "boot.conf")
	settings := fmt.Sprintf("node=vm-1\nzone=east\nip=%s\nlistenAddrs.front=%s\nlistenAddrs.ready=%s\nlistenAddrs.directory=%s\nportRange=%d,%d\nlimits.cpuShare=0.4\nlimits.memoryMb=%d\nlimits.maxFds=%d\nbounds.graceS=3\nbounds.configApplyMs=3000\nplatform.address=%s\n",
		n.ip, n.address(callerPort), n.address(readyPort), n.address(directoryPort), firstPeerPort, metricsPort, v.memoryMB, v.descriptors, store.Address())
	require.NoError(t, os.WriteFile(settingsPath, []byte(settings), 0o600))
	n.Process = harness.Start(t, binary, "the node", "edge", "--settings", settingsPath)
	ctx, cancel := context.WithCancel(context.Background())
	n.stopSampling = cancel
	t.Cleanup(cancel)
	go n.sampleDescriptors(ctx)
	n.requireServed()
	return n
}

// startUpstreams starts a store and the replicas that it lists.
func startUpstreams(t *testing.T, shards int) *platformtest.Store {
	t.Helper()
	store, err := platformtest.StartStore()
	require.NoError(t, err)
	t.Cleanup(store.Close)
	config := platformtest.Config{Version: 1, Limits: platformtest.DefaultLimits()}
	config.Limits.MaxBodyBytes = legalBodyBytes
	config.Limits.HeaderTimeoutMs = headerTimeout.Milliseconds()
	for prefix, behaviour := range map[string]platformtest.Behaviour{"": platformtest.Answer, "held": platformtest.Hang} {
		config.Routes = append(config.Routes, newRoute(prefix+"plain"), newRoute(prefix+"all"))
		plain, all := &config.Routes[len(config.Routes)-2], &config.Routes[len(config.Routes)-1]
		plain.Service, all.TopK, all.MinCoverage = prefix+"notes", 3, 0.5
		for i := range shards {
			all.Gather = append(all.Gather, fmt.Sprintf("%sshard%d", prefix, i))
		}
		for _, name := range append([]string{plain.Service}, all.Gather...) {
			startReplica(t, store, name, behaviour)
			config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: replicaSlots})
		}
	}
	store.Publish(config)
	return store
}

func newRoute(name string) platformtest.Route {
	return platformtest.Route{Name: name, Host: callerHost, Prefix: "/" + name + "/", Kind: platformtest.KindIdempotent, TimeoutMs: requestTimeout.Milliseconds(), MaxAttempts: 1}
}

// startReplica starts a replica with one behaviour.
func startReplica(t *testing.T, store *platformtest.Store, service string, behaviour platformtest.Behaviour) {
	t.Helper()
	replica, err := platformtest.StartReplica("i-"+service, service, []byte(strings.Repeat("r", 16)))
	require.NoError(t, err)
	t.Cleanup(replica.Close)
	replica.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return behaviour })
	entry := replica.Entry("east", platformtest.StateReady)
	entry["slots"] = replicaSlots
	store.Put(replica.Key(), entry)
}

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, strconv.Itoa(port)) }

// sampleDescriptors keeps the highest number of open descriptors until the context ends.
func (n *node) sampleDescriptors(ctx context.Context) {
	for ctx.Err() == nil {
		n.mostDescriptors.Store(max(n.mostDescriptors.Load(), n.descriptors()))
		time.Sleep(samplePause)
	}
}

// descriptors returns how many descriptors the process has open, 0 once it has ended.
func (n *node) descriptors() int64 {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.PID()))
	if err != nil {
		return 0
	}
	return int64(len(open))
}

// peakMemoryMB returns the most memory that a process has had resident.
func peakMemoryMB(t *testing.T, p *harness.Process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	require.NoError(t, err)
	for line := range bytes.Lines(status) {
		if name, value, _ := bytes.Cut(line, []byte(":")); string(name) == "VmHWM" {
			kilobytes, err := strconv.Atoi(string(bytes.TrimSuffix(bytes.TrimSpace(value), []byte(" kB"))))
			require.NoError(t, err)
			return kilobytes >> 10
		}
	}
	require.FailNow(t, "the process does not tell its memory")
	return 0
}

// requireWithinVM checks the process against its VM after a crowd, and that it answers an ordinary request.
func (n *node) requireWithinVM() {
	n.t.Helper()
	require.False(n.t, n.Exited(), "the process has ended")
	n.requireServed()
	peak, descriptors := peakMemoryMB(n.t, n.Process), n.mostDescriptors.Load()
	n.t.Logf("peak memory %d MB of %d, descriptors %d of %d", peak, n.vm.memoryMB, descriptors, n.vm.descriptors)
	require.LessOrEqual(n.t, peak, n.vm.memoryMB, "peak memory in MB")
	require.LessOrEqual(n.t, descriptors, int64(n.vm.descriptors), "open descriptors")
}

// requireDescriptorsBack waits until a crowd, whose clients are still there, holds none of the node's descriptors.
func (n *node) requireDescriptorsBack(calm int64) {
	n.t.Helper()
	const ownVariation = 16
	harness.Await(n.t, "the node lets the crowd go", func() bool { return n.descriptors() <= calm+ownVariation })
}

// requireServed sends an ordinary request of each kind until it is answered, as clients do that are told to come back.
func (n *node) requireServed() {
	n.t.Helper()
	for _, target := range []string{plainPath, gatheredPath} {
		harness.Await(n.t, "an answer to "+target, func() bool { return n.ask(target) == http.StatusOK })
	}
}

// ask sends one request on a new connection and returns its status, 0 if it got none.
func (n *node) ask(target string) int {
	n.requests++
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	request, err := http.NewRequest(http.MethodGet, "http://"+n.address(callerPort)+target, nil)
	require.NoError(n.t, err)
	request.Host = callerHost
	request.Header.Set("Pistachiopier-Request-Id", fmt.Sprint("ordinary-", n.requests))
	request.Header.Set("Pistachiopier-Deadline-Ms", "2000")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
