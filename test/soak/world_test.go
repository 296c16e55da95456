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

// Ports are the same on all VMs of a cluster. Clusters that run at the same time differ in their
// loopback addresses: the second byte depends on the test process, and the third on the seed.
const (
	callerPort, readyPort, controlPort, directoryPort, peerPort = 8104, 8108, 8106, 8100, 7380
	// peerListenPort is the port on which a node receives the traffic that the proxy on peerPort forwards.
	peerListenPort = 7390

	nodeCount = 4
	// stablePeriod is the time without faults after which guarantees with a time bound must hold.
	stablePeriod = 4 * time.Second
	// drainBound and applyBound are such time bounds; slack allows for a busy machine.
	drainBound, applyBound, slack = 3 * time.Second, 3 * time.Second, 1500 * time.Millisecond
	graceSeconds                  = 3
	// usualServiceTime and longServiceTime are service times of replicas.
	usualServiceTime, longServiceTime = 3 * time.Millisecond, 150 * time.Millisecond
	// The bound on extra arrivals is low, so that a retry storm exceeds it.
	extraRatio, extraAllowance, extraWindow = 0.1, 20, 10 * time.Second
)

// cluster is the environment of one run: a store behind a proxy for each node, stand-in replicas, and
// nodes as processes.
type cluster struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	binary string
	store  *platformtest.Store
	nodes  []*vm
	// callers send the requests of the run.
	callers *callers

	mutex           sync.Mutex
	replicas        map[string]*upstream
	replicasStarted int
	version         uint64
	// current and previous are the plain route's services; current is in use since changedAt.
	current, previous string
	changedAt         time.Time
	// partition is the number of the set of shards in use since repartitionedAt.
	partition       int
	repartitionedAt time.Time
	// storeHealthySince is the end of the last fault of the store.
	storeHealthySince time.Time
	activeStoreFaults int
	// evacuating is set while a data centre is evacuated.
	evacuating atomic.Bool
	// restarting counts the crashed replicas that will start again.
	restarting sync.WaitGroup
	violations []string
	eventLog   []string
	startedAt  time.Time
}

// dataCentres is the number of data centres of the replicas.
const dataCentres = 2

func dataCentreName(number int) string { return fmt.Sprint("dc", number) }

// vm is the VM of one node, whose process is started several times.
type vm struct {
	ip string
	// store is the proxy to the store, links the proxy for traffic from the other nodes.
	store        *faultproxy.TCP
	links        *faultproxy.UDP
	settingsPath string
	settings     string
	stdout       *os.File
	// stderr must stay empty.
	stderr *os.File

	mutex sync.Mutex
	cmd   *exec.Cmd
	// activeFaults counts the VM's current faults; healthySince is the end of the last one.
	activeFaults int
	healthySince time.Time
	// reserved is set while a fault has exclusive use of the process.
	reserved bool
	// launches counts the processes started.
	launches int
	// plannedStop is set while the process stops as planned, without other faults.
	plannedStop bool
	// reloading is the number of the process whose settings are being changed; 0 is none.
	reloading int
}

// upstream is a stand-in replica with its proxy and registry fields.
type upstream struct {
	*platformtest.Replica
	// proxy forwards requests of all nodes; the registry entry has the proxy's address.
	proxy      *faultproxy.TCP
	dataCentre string
	drainedAt  time.Time
	// crashed is set once the replica has crashed or has been replaced.
	crashed bool
	// born is the start time in Unix milliseconds.
	born int64
}

// entry returns the replica's registry entry in the store.
func (u *upstream) entry(state string) map[string]any {
	item := u.Entry(u.dataCentre, state)
	item["address"] = u.proxy.Address()
	item["born"] = u.born
	return item
}

func newCluster(t *testing.T, binary string, seed uint64, number int) *cluster {
	store, err := platformtest.StartStore()
	require.NoError(t, err)
	cl := &cluster{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), binary: binary, store: store, replicas: map[string]*upstream{}, storeHealthySince: time.Now(), startedAt: time.Now(), current: "notes-a", previous: "notes-b", repartitionedAt: time.Now()}
	for _, service := range cl.services() {
		for range 2 {
			cl.addReplica(service)
		}
	}
	for range bulkReplicas {
		cl.addReplica(bulkService)
	}
	cl.configure()
	for i := range nodeCount {
		cl.addNode(number, i)
	}
	for _, node := range cl.nodes {
		cl.launch(node)
	}
	return cl
}

func (cl *cluster) services() []string {
	return slices.Concat([]string{"notes-a", "notes-b", "invoices"}, shards(0), shards(1))
}

// shards returns the names of the services of one of the two sets of shards.
func shards(partition int) []string {
	var names []string
	for i := range 4 + partition {
		names = append(names, fmt.Sprintf("shard%d.%d", partition, i))
	}
	return names
}

// records returns the records of a service; all its replicas have the same.
func records(service string) []byte {
	if service == bulkService {
		return bulkRecords()
	}
	var b strings.Builder
	for i := range 5 {
		fmt.Fprintf(&b, "%-16.16s", fmt.Sprintf("%c%s", 'a'+(len(service)*7+i*11+int(service[len(service)-1]))%26, service))
	}
	return []byte(b.String())
}

func (cl *cluster) addReplica(service string) *upstream {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	replica := cl.newReplica(service)
	proxy, err := faultproxy.StartTCP(replica.Address(), cl.seed+uint64(cl.replicasStarted))
	require.NoError(cl.t, err)
	replica.proxy = proxy
	cl.store.Put(replica.Key(), replica.entry(platformtest.StateReady))
	return replica
}

// newReplica starts a replica without a registry entry; the mutex must be held.
func (cl *cluster) newReplica(service string) *upstream {
	cl.replicasStarted++
	replica, err := platformtest.StartReplica(fmt.Sprintf("i-%s-%d", service, cl.replicasStarted), service, records(service))
	require.NoError(cl.t, err)
	replica.SetServiceTime(usualServiceTime)
	replica.SetCrashOn(crashesReplica)
	added := &upstream{Replica: replica, dataCentre: dataCentreName(cl.replicasStarted % dataCentres), born: time.Now().UnixMilli()}
	replica.OnCrash(func() { cl.restartAfterCrash(added) })
	cl.replicas[replica.ID] = added
	return added
}

// configure publishes the next version, with the other service for the plain route.
func (cl *cluster) configure() {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.current, cl.previous = cl.previous, cl.current
	cl.changedAt = time.Now()
	cl.publish()
}

// repartition publishes the next version, with the other set of shards.
func (cl *cluster) repartition() {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.partition = 1 - cl.partition
	cl.repartitionedAt = time.Now()
	cl.publish()
}

// publish writes the configuration; the mutex must be held.
func (cl *cluster) publish() {
	cl.version += 3
	route := func(name, kind string) platformtest.Route {
		return platformtest.Route{Name: name, Host: "search.example", Prefix: "/" + name + "/", Kind: kind, TimeoutMs: 1500, TargetLatencyMs: 200, MaxAttempts: 2}
	}
	plain, once, all := route("plain", platformtest.KindIdempotent), route("once", platformtest.KindNonIdempotent), route("all", platformtest.KindIdempotent)
	bulk := route("bulk", platformtest.KindIdempotent)
	bulk.Service, bulk.Priority = bulkService, 3
	plain.Service, once.Service = cl.current, "invoices"
	all.Gather, all.TopK, all.MinCoverage = shards(cl.partition), 3, 0.5
	config := platformtest.Config{Version: cl.version, Routes: []platformtest.Route{plain, once, all, bulk}, Limits: platformtest.DefaultLimits()}
	config.Limits.MaxBodyBytes = 4096
	for _, name := range append(cl.services(), bulkService) {
		config.Services = append(config.Services, platformtest.Service{Name: name, MaxConns: 40})
	}
	cl.store.Publish(config)
}

func (cl *cluster) addNode(number, i int) {
	proxy, err := faultproxy.StartTCP(cl.store.Address(), cl.seed+uint64(i))
	require.NoError(cl.t, err)
	node := &vm{ip: fmt.Sprintf("127.%d.%d.%d", addressBlock(), number, i+1), store: proxy}
	node.links, err = faultproxy.StartUDPOn(fmt.Sprintf("%s:%d", node.ip, peerPort), fmt.Sprintf("%s:%d", node.ip, peerListenPort), cl.seed+uint64(i))
	require.NoError(cl.t, err)
	folder := cl.t.TempDir()
	node.settingsPath = filepath.Join(folder, "boot.conf")
	node.stdout, err = os.Create(filepath.Join(folder, "log"))
	require.NoError(cl.t, err)
	node.stderr, err = os.Create(filepath.Join(folder, "failures"))
	require.NoError(cl.t, err)
	node.settings = fmt.Sprintf("node=vm-%d\nzone=dc%d\nip=%s\nlistenAddrs.front=%s:%d\nlistenAddrs.ready=%s:%d\nlistenAddrs.control=%s:%d\nlistenAddrs.directory=%s:%d\nportRange=%d,%d\nseeds=127.%d.%d.1:%d,127.%d.%d.2:%d\nlimits.cpuShare=0.4\nlimits.memoryMb=%d\nbounds.graceS=%d\nbounds.configApplyMs=3000\nbounds.retryBudgetRatio=%g\nbounds.retryWindowS=%g\nbounds.retrySlack=%d\nplatform.address=%s\n",
		i, i%2, node.ip, node.ip, callerPort, node.ip, readyPort, node.ip, controlPort, node.ip, directoryPort, peerPort, peerPort+15, addressBlock(), number, controlPort, addressBlock(), number, controlPort, memoryMb, graceSeconds, extraRatio, extraWindow.Seconds(), extraAllowance, proxy.Address())
	require.NoError(cl.t, os.WriteFile(node.settingsPath, []byte(node.settings), 0o600))
	cl.nodes = append(cl.nodes, node)
}

// addressBlock returns the second byte of this process's loopback addresses.
func addressBlock() int {
	const first, count = 20, 200
	return first + os.Getpid()%count
}

// launch starts a node's process.
func (cl *cluster) launch(node *vm) {
	cmd := exec.Command(cl.binary, "edge", "--settings", node.settingsPath, "--peer-listen", fmt.Sprintf("%s:%d", node.ip, peerListenPort))
	cmd.Stdout, cmd.Stderr = node.stdout, node.stderr
	require.NoError(cl.t, cmd.Start())
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.cmd, node.healthySince, node.plannedStop = cmd, time.Now(), false
	node.launches++
}

// signal sends a signal to the node's process and returns its command.
func (v *vm) signal(sig os.Signal) *exec.Cmd {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	_ = v.cmd.Process.Signal(sig)
	return v.cmd
}

// process returns the number of the current process.
func (v *vm) process() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.launches
}

// beginFault records the start of a fault; the returned function records its end.
func (v *vm) beginFault() (endFault func()) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.activeFaults++
	return func() {
		v.mutex.Lock()
		defer v.mutex.Unlock()
		v.activeFaults--
		v.healthySince = time.Now()
	}
}

// reserve reserves the process for one fault; false if another fault has reserved it.
func (v *vm) reserve() bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	reserved := v.reserved
	v.reserved = true
	return !reserved
}

func (v *vm) release() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.reserved = false
}

// healthyFor reports whether the node has had no fault for at least the duration.
func (v *vm) healthyFor(d time.Duration) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.activeFaults == 0 && time.Since(v.healthySince) >= d
}

// close ends every process and stand-in of the cluster.
func (cl *cluster) close() {
	cl.restarting.Wait()
	for _, node := range cl.nodes {
		cmd := node.signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = node.store.Close()
		_ = node.links.Close()
		_ = node.stdout.Close()
		_ = node.stderr.Close()
	}
	for _, replica := range cl.replicas {
		replica.Close()
		_ = replica.proxy.Close()
	}
	cl.store.Close()
}

// recordViolation records a violated guarantee with its time; only the first five are kept.
func (cl *cluster) recordViolation(format string, values ...any) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	if len(cl.violations) < 5 {
		cl.violations = append(cl.violations, fmt.Sprintf("%6.2f s ", time.Since(cl.startedAt).Seconds())+fmt.Sprintf(format, values...))
	}
}

func (cl *cluster) logEvent(format string, values ...any) {
	cl.mutex.Lock()
	defer cl.mutex.Unlock()
	cl.eventLog = append(cl.eventLog, fmt.Sprintf("%6.2f s ", time.Since(cl.startedAt).Seconds())+fmt.Sprintf(format, values...))
}
