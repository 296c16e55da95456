package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/faultproxy"
	"github.com/pistachiopier/pistachiopier/platform/platformtest"
)

// Ports are the same on all VMs of a world. Worlds that run side by side differ in their
// loopback addresses: runs in the second number, by the process, and seeds in the third.
const (
	callerPort, readyPort, controlPort, directoryPort, peerPort = 8104, 8108, 8106, 8100, 7380
	// peerListenPort is where a node listens for what the proxy on peerPort forwards.
	peerListenPort = 7390

	nodeCount = 4
	// stable is how long things must have been calm for a promise with a time bound.
	stable = 4 * time.Second
	// drainWait and applyWait are such bounds; slack is for a busy machine.
	drainWait, applyWait, slack = 3 * time.Second, 3 * time.Second, 1500 * time.Millisecond
	graceSeconds                = 3
	// usualWork and longWork are how long replicas work on a request.
	usualWork, longWork = 3 * time.Millisecond, 150 * time.Millisecond
	// The bound on extra arrivals is low, so that a storm of retries crosses it.
	extraRatio, extraAllowance, extraWindow = 0.1, 20, 10 * time.Second
)

// world is one run: a store behind a proxy for each node, replicas, and nodes as processes.
type world struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	binary string
	store  *platformtest.Store
	nodes  []*vm

	mutex    sync.Mutex
	replicas map[string]*upstream
	made     int
	version  uint64
	// current and former are the plain route's services, changedAt when current came.
	current, former string
	changedAt       time.Time
	// partition numbers the set of shards in force, repartitionedAt is when it came.
	partition       int
	repartitionedAt time.Time
	// storeCalm is since when the store has been without trouble.
	storeCalm time.Time
	troubled  int
	// evacuating is set while a data centre is evacuated.
	evacuating atomic.Bool
	// reviving counts the replicas that ended under a request and are to start again.
	reviving sync.WaitGroup
	broken   []string
	log      []string
	began    time.Time
}

// dataCentres is the number of data centres that replicas are spread over.
const dataCentres = 2

func dataCentreName(number int) string { return fmt.Sprint("dc", number) }

// vm is one node's place; its process comes and goes.
type vm struct {
	ip string
	// store is the way to the store, links that from the other nodes.
	store *faultproxy.TCP
	links *faultproxy.UDP
	path  string
	text  string
	out   *os.File
	// failures is the standard error, which stays empty unless the process fails.
	failures *os.File

	mutex sync.Mutex
	cmd   *exec.Cmd
	// troubles counts the faults on it, calm is since when there has been none.
	troubles int
	calm     time.Time
	// held is set while the process is being killed, stopped or paused.
	held bool
	// launches counts the processes that were started.
	launches int
	// planned is set while the only thing that happens to it is a planned stop.
	planned bool
	// reloading is the number of the process whose settings are being changed, 0 for none.
	reloading int
}

// upstream is a replica and its place in the registry.
type upstream struct {
	*platformtest.Replica
	// proxy is the way to it from all nodes; the registry has the proxy's address.
	proxy      *faultproxy.TCP
	dataCentre string
	drainedAt  time.Time
	// gone is set when it has crashed.
	gone bool
	// born is when it started, in Unix milliseconds.
	born int64
}

// entry is the replica's item in the store.
func (u *upstream) entry(state string) map[string]any {
	item := u.Entry(u.dataCentre, state)
	item["address"] = u.proxy.Address()
	item["born"] = u.born
	return item
}

func newWorld(t *testing.T, binary string, seed uint64, number int) *world {
	store, err := platformtest.StartStore()
	require.NoError(t, err)
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), binary: binary, store: store, replicas: map[string]*upstream{}, storeCalm: time.Now(), began: time.Now(), current: "notes-a", former: "notes-b", repartitionedAt: time.Now()}
	for _, service := range w.services() {
		for range 2 {
			w.addReplica(service)
		}
	}
	w.configure()
	for i := range nodeCount {
		w.addNode(number, i)
	}
	for _, one := range w.nodes {
		w.launch(one)
	}
	return w
}

func (w *world) services() []string {
	return slices.Concat([]string{"notes-a", "notes-b", "invoices"}, shards(0), shards(1))
}

// shards names the services of one of the two sets of shards.
func shards(partition int) []string {
	var names []string
	for i := range 4 + partition {
		names = append(names, fmt.Sprintf("shard%d.%d", partition, i))
	}
	return names
}

// records are those of a service; they do not depend on the replica.
func records(service string) []byte {
	var b strings.Builder
	for i := range 5 {
		fmt.Fprintf(&b, "%-16.16s", fmt.Sprintf("%c%s", 'a'+(len(service)*7+i*11+int(service[len(service)-1]))%26, service))
	}
	return []byte(b.String())
}

func (w *world) addReplica(service string) *upstream {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	one := w.newReplica(service)
	proxy, err := faultproxy.StartTCP(one.Address(), w.seed+uint64(w.made))
	require.NoError(w.t, err)
	one.proxy = proxy
	w.store.Put(one.Key(), one.entry(platformtest.StateReady))
	return one
}

// newReplica starts a replica that is not listed yet; the mutex must be held.
func (w *world) newReplica(service string) *upstream {
	w.made++
	one, err := platformtest.StartReplica(fmt.Sprintf("i-%s-%d", service, w.made), service, records(service))
	require.NoError(w.t, err)
	one.SetServiceTime(usualWork)
	one.SetCrashOn(deadly)
	added := &upstream{Replica: one, dataCentre: dataCentreName(w.made % dataCentres), born: time.Now().UnixMilli()}
	one.OnCrash(func() { w.revive(added) })
	w.replicas[one.ID] = added
	return added
}

// configure publishes the next version, with the plain route at the other service.
func (w *world) configure() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.current, w.former = w.former, w.current
	w.changedAt = time.Now()
	w.publish()
}

// repartition publishes the next version, with the other set of shards.
func (w *world) repartition() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.partition = 1 - w.partition
	w.repartitionedAt = time.Now()
	w.publish()
}

// publish writes the configuration; the mutex must be held.
func (w *world) publish() {
	w.version += 3
	route := func(name, kind string) platformtest.Route {
		return platformtest.Route{Name: name, Host: "search.example", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 1500, TargetLatencyMs: 200, MaxAttempts: 2}
	}
	plain, once, all := route("plain", platformtest.KindIdempotent), route("once", platformtest.KindNonIdempotent), route("all", platformtest.KindIdempotent)
	plain.Service, once.Service = w.current, "invoices"
	all.Gather, all.TopK, all.MinCoverage = shards(w.partition), 3, 0.5
	config := platformtest.Config{Version: w.version, Routes: []platformtest.Route{plain, once, all}, Limits: platformtest.DefaultLimits()}
	config.Limits.MaxBodyBytes = 4096
	for _, name := range w.services() {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: 40})
	}
	w.store.Publish(config)
}

func (w *world) addNode(number, i int) {
	proxy, err := faultproxy.StartTCP(w.store.Address(), w.seed+uint64(i))
	require.NoError(w.t, err)
	one := &vm{ip: fmt.Sprintf("127.%d.%d.%d", block(), number, i+1), store: proxy}
	one.links, err = faultproxy.StartUDPOn(fmt.Sprintf("%s:%d", one.ip, peerPort), fmt.Sprintf("%s:%d", one.ip, peerListenPort), w.seed+uint64(i))
	require.NoError(w.t, err)
	folder := w.t.TempDir()
	one.path = filepath.Join(folder, "boot.conf")
	one.out, err = os.Create(filepath.Join(folder, "log"))
	require.NoError(w.t, err)
	one.failures, err = os.Create(filepath.Join(folder, "failures"))
	require.NoError(w.t, err)
	one.text = fmt.Sprintf("node=vm-%d\nzone=dc%d\nip=%s\nlistenAddrs.front=%s:%d\nlistenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\nlistenAddrs.directory=%s:%d\nportRange=%d,%d\nseeds=127.%d.%d.1:%d,127.%d.%d.2:%d\nlimits.cpuShare=0.4\nbounds.graceS=%d\nbounds.configApplyMs=3000\nbounds.retryBudgetRatio=%g\nbounds.retryWindowS=%g\nbounds.retrySlack=%d\nplatform.address=%s\n",
		i, i%2, one.ip, one.ip, callerPort, one.ip, readyPort, one.ip, controlPort, one.ip, directoryPort, peerPort, peerPort+15, block(), number, controlPort, block(), number, controlPort, graceSeconds, extraRatio, extraWindow.Seconds(), extraAllowance, proxy.Address())
	require.NoError(w.t, os.WriteFile(one.path, []byte(one.text), 0o600))
	w.nodes = append(w.nodes, one)
}

// block is the second number of this run's loopback addresses.
func block() int {
	const first, count = 20, 200
	return first + os.Getpid()%count
}

// launch starts a node's process.
func (w *world) launch(one *vm) {
	cmd := exec.Command(w.binary, "edge", "--settings", one.path, "--peer-listen", fmt.Sprintf("%s:%d", one.ip, peerListenPort))
	cmd.Stdout, cmd.Stderr = one.out, one.failures
	require.NoError(w.t, cmd.Start())
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.cmd, one.calm, one.planned = cmd, time.Now(), false
	one.launches++
}

// signal sends a signal to a node's process, by its id.
func (one *vm) signal(what os.Signal) *exec.Cmd {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	_ = one.cmd.Process.Signal(what)
	return one.cmd
}

// process numbers the process that a request now goes to.
func (one *vm) process() int {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.launches
}

// trouble notes a fault on a node; what it returns notes its end.
func (one *vm) trouble() (over func()) {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.troubles++
	return func() {
		one.mutex.Lock()
		defer one.mutex.Unlock()
		one.troubles--
		one.calm = time.Now()
	}
}

// hold reserves the process for one fault at a time; false when another has it.
func (one *vm) hold() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	held := one.held
	one.held = true
	return !held
}

func (one *vm) release() {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	one.held = false
}

// calmFor reports whether a node has run without a fault for so long.
func (one *vm) calmFor(d time.Duration) bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.troubles == 0 && time.Since(one.calm) >= d
}

// close ends every process and stand-in that this world started.
func (w *world) close() {
	w.reviving.Wait()
	for _, one := range w.nodes {
		cmd := one.signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = one.store.Close()
		_ = one.links.Close()
		_ = one.out.Close()
		_ = one.failures.Close()
	}
	for _, one := range w.replicas {
		one.Close()
		_ = one.proxy.Close()
	}
	w.store.Close()
}

// fail notes a broken promise; the first ones are told with the schedule.
func (w *world) fail(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.broken) < 5 {
		w.broken = append(w.broken, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, values...))
	}
}

func (w *world) note(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.log = append(w.log, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, values...))
}
