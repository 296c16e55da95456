package command

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const mixedLog = `
collector 1 {"event":"config_in_force","node":"vm-1","time":"2030-01-01T00:00:01Z","version":7}
{"event":"config_in_force","node":"vm-1","time":"2030-01-01T00:00:02Z","version":9}
{"event":"config_in_force","node":"vm-2","time":"2030-01-01T00:00:02Z","version":8}
not a line of ours
{"event":"request_ended","node":"vm-1","time":"2030-01-01T00:00:04Z","request":"r1","outcome":"failed","status":502}
{"event":"send_failed","node":"vm-1","time":"2030-01-01T00:00:03Z","request":"r1","replica":"i-7","cause":"unexpected EOF","status":0}
{"event":"request_ended","node":"vm-1","time":"2030-01-01T00:00:05Z","request":"r2","outcome":"partial"}
{"event":"config_in_force","node":"vm-1","time":"2030-01-01T00:00:06Z","version":10}
`

// explainLog returns what explain prints for a request and a log.
func explainLog(t *testing.T, request, log string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "nodes.log")
	require.NoError(t, os.WriteFile(path, []byte(log), 0o600))
	code, out, errors := run("explain", request, path)
	require.Equal(t, ExitOK, code, errors)
	return out
}

// The lines of a request are interleaved with those of others and out of order, and the state
// of the node has changed since. The output must hold the lines of this request only, in order,
// with the state of the node at that time.
func TestExplainShowsOneRequestWithTheNodeStateOfItsTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.log")
	require.NoError(t, os.WriteFile(path, []byte(mixedLog), 0o600))
	code, out, errors := run("explain", "r1", path)
	require.Equal(t, ExitOK, code, errors)
	require.Contains(t, out, "version=9")
	for _, absent := range []string{"version=7", "version=8", "version=10", "r2", "partial"} {
		require.NotContains(t, out, absent)
	}
	require.Less(t, strings.Index(out, "unexpected EOF"), strings.Index(out, "outcome=failed"))
	code, out, _ = run("explain", "r9", path)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "no line on request r9")
	code, _, _ = run("explain", "r1", path+".missing")
	require.Equal(t, ExitUsage, code)
}

// An answer lacks parts because of full replicas. The output must say which rooms were short and how many were ahead, and
// show the most urgent priority, which is 0.
func TestExplainShowsWhatWasShort(t *testing.T) {
	out := explainLog(t, "r1", `
{"event":"no_place","node":"vm-1","time":"2030-01-01T00:00:01Z","request":"r1","service":"s1","short":"slots","ahead":3}
{"event":"no_place","node":"vm-1","time":"2030-01-01T00:00:02Z","request":"r1","service":"s2","short":"slots","ahead":0}
{"event":"no_place","node":"vm-1","time":"2030-01-01T00:00:03Z","request":"r1","service":"s1","short":"slots","ahead":5}
{"event":"request_ended","node":"vm-1","time":"2030-01-01T00:00:04Z","request":"r1","outcome":"partial","priority":0}
`)
	require.Contains(t, out, "slots of s1: 2 sends without a place, 5 ahead at most")
	require.Contains(t, out, "slots of s2: 1 sends without a place, 0 ahead at most")
	require.Contains(t, out, "priority=0")
}

// An answer was thin while a data centre was evacuated. The output must show that data centre as evacuated at
// the time, although its evacuation ended later, and an earlier evacuation of another one as ended.
func TestExplainShowsEvacuatedDataCentres(t *testing.T) {
	out := explainLog(t, "r1", `
{"event":"evacuation_in_force","node":"vm-1","time":"2030-01-01T00:00:01Z","data_centre":"east"}
{"event":"evacuation_ended","node":"vm-1","time":"2030-01-01T00:00:02Z","data_centre":"east"}
{"event":"evacuation_in_force","node":"vm-1","time":"2030-01-01T00:00:03Z","data_centre":"west"}
{"event":"request_ended","node":"vm-1","time":"2030-01-01T00:00:04Z","request":"r1","outcome":"partial"}
{"event":"evacuation_ended","node":"vm-1","time":"2030-01-01T00:00:05Z","data_centre":"west"}
`)
	require.Contains(t, out, "evacuation_in_force data_centre=west")
	require.Contains(t, out, "evacuation_ended data_centre=east")
	require.NotContains(t, out, "evacuation_in_force data_centre=east")
	require.NotContains(t, out, "evacuation_ended data_centre=west")
}

// A request was late. The output must show each replica that the node believed to be slow at the time, and whether the
// node asked for relief.
func TestExplainShowsWhatTheNodeWasToldOfReplicas(t *testing.T) {
	out := explainLog(t, "r1", `
{"event":"replica_believed","node":"vm-1","time":"2030-01-01T00:00:01Z","replica":"i-1","from":"vm-2","slowness":5}
{"event":"replica_believed","node":"vm-1","time":"2030-01-01T00:00:02Z","replica":"i-2","from":"vm-3","unreachable":true}
{"event":"relief_asked","node":"vm-1","time":"2030-01-01T00:00:02Z","in_flight":90}
{"event":"relief_ended","node":"vm-1","time":"2030-01-01T00:00:03Z","in_flight":5}
{"event":"request_ended","node":"vm-1","time":"2030-01-01T00:00:04Z","request":"r1","outcome":"whole"}
`)
	require.Contains(t, out, "replica=i-1")
	require.Contains(t, out, "replica=i-2")
	require.Contains(t, out, "relief_ended")
	require.NotContains(t, out, "relief_asked")
}

// An attempt of a request that ends replicas was sent although three replicas had ended before. The output must show when
// which node learned of each end under the earlier attempts, and nothing of other requests.
func TestExplainShowsWhatTheNodesLearnedOfEndedReplicas(t *testing.T) {
	out := explainLog(t, "try-2", `
{"event":"replica_ended","node":"vm-1","time":"2030-01-01T00:00:01Z","replica":"i-1","evidence":"connection_refused","after_ms":1,"requests":[{"id":"try-1","key":"aa"},{"id":"beside","key":"bb"}]}
{"event":"request_suspected","node":"vm-2","time":"2030-01-01T00:00:02Z","key":"aa","from":"vm-1","replicas_ended":1}
{"event":"request_suspected","node":"vm-2","time":"2030-01-01T00:00:02Z","key":"bb","from":"vm-1","replicas_ended":1}
{"event":"sent","node":"vm-2","time":"2030-01-01T00:00:03Z","request":"try-2","at_ms":0,"replica":"i-2","trial":true}
{"event":"request_ended","node":"vm-2","time":"2030-01-01T00:00:04Z","request":"try-2","outcome":"failed","standing":"suspect","known_ended":1}
{"event":"replica_ended","node":"vm-2","time":"2030-01-01T00:00:05Z","replica":"i-2","evidence":"successor_listed","after_ms":190,"requests":[{"id":"try-2","key":"aa"}]}
{"event":"replica_ended","node":"vm-2","time":"2030-01-01T00:00:06Z","replica":"i-3","requests":[{"id":"beside-2","key":"bb"}]}
`)
	require.Contains(t, out, "vm-1 replica_ended after_ms=1 attempts=try-1 evidence=connection_refused replica=i-1")
	require.Contains(t, out, "vm-2 request_suspected from=vm-1 key=aa replicas_ended=1")
	require.Contains(t, out, "vm-2 replica_ended after_ms=190 attempts=try-2 evidence=successor_listed replica=i-2")
	require.Contains(t, out, "standing=suspect")
	require.Contains(t, out, "trial=true")
	for _, absent := range []string{"bb", "beside", "i-3"} {
		require.NotContains(t, out, absent)
	}
}
