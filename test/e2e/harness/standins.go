package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/confservice"
	"github.com/pistachiopier/pistachiopier/internal/standin"
)

// StandIn is a stand-in process with its control interface.
type StandIn struct {
	*Process
	// Addresses holds the replicas' addresses, or the platform's address.
	Addresses []string `json:"addresses"`
	Control   string   `json:"control"`
}

// AllReplicas selects every replica of a stand-in process.
const AllReplicas = -1

// StartUpstreams starts one process with the given number of replicas; behaviour is
// YAML.
func StartUpstreams(t testing.TB, binary string, replicas int, behaviour string) *StandIn {
	t.Helper()
	return startStandIn(t, binary, "upstream", "--replicas", strconv.Itoa(replicas), "--behaviour", behaviour)
}

func startStandIn(t testing.TB, binary, kind string, arguments ...string) *StandIn {
	t.Helper()
	arguments = append([]string{"standin", kind}, arguments...)
	s := &StandIn{Process: Start(t, binary, "stand-in "+kind, arguments...)}
	s.AwaitEvent("standin_started", s)
	return s
}

// PatchBehaviour changes the given keys of the behaviour, for one replica or
// AllReplicas.
func (s *StandIn) PatchBehaviour(replica int, behaviour string) {
	s.t.Helper()
	path := standin.PathBehaviour
	if replica != AllReplicas {
		path += fmt.Sprintf("?%s=%d", standin.ParamReplica, replica)
	}
	s.call(http.MethodPatch, path, []byte(behaviour), nil)
}

// Counts reads the counts of each replica, in order.
func (s *StandIn) Counts() []standin.Counts {
	s.t.Helper()
	var counts []standin.Counts
	s.call(http.MethodGet, standin.PathCounts, nil, &counts)
	return counts
}

func (s *StandIn) call(method, path string, body []byte, out any) {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.Control+path, bytes.NewReader(body))
	require.NoError(s.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(s.t, http.StatusOK, response.StatusCode)
	if out != nil {
		require.NoError(s.t, json.NewDecoder(response.Body).Decode(out))
	}
}

// Platform is a stand-in platform process.
type Platform struct{ *StandIn }

// StartPlatform starts a stand-in platform.
func StartPlatform(t testing.TB, binary string) *Platform {
	t.Helper()
	return &Platform{StandIn: startStandIn(t, binary, "platform")}
}

// Publish sets the revision and text that the configuration service returns; the
// revision may be lower than the current one.
func (p *Platform) Publish(revision uint64, text string) {
	p.t.Helper()
	p.put(standin.PathConfig, confservice.Config{Revision: revision, Text: text})
}

// SetVMs sets the VM list that the platform returns.
func (p *Platform) SetVMs(vms []confservice.VM) {
	p.t.Helper()
	p.put(standin.PathVMs, vms)
}

// ReadCounts reads the counts of calls to the platform.
func (p *Platform) ReadCounts() standin.PlatformCounts {
	p.t.Helper()
	var counts standin.PlatformCounts
	p.call(http.MethodGet, standin.PathCounts, nil, &counts)
	return counts
}

func (p *Platform) put(path string, value any) {
	p.t.Helper()
	body, err := json.Marshal(value)
	require.NoError(p.t, err)
	p.call(http.MethodPut, path, body, nil)
}
