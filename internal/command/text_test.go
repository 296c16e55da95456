package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/catalog"
)

const magnolia = "../../examples/magnolia.yaml"

func TestCheckExplainsAsTextAndJSON(t *testing.T) {
	code, out, _ := run("check", magnolia, "--explain", "plate-costing")
	assert.Equal(t, ExitOK, code)
	assert.Contains(t, out, "is valid: 52 services, 52 bundles, 3 customers")
	assert.Contains(t, out, "a query to plate-costing needs 20 shards of 20 services, on 40 replicas")
	code, out, _ = run("check", magnolia, "--explain", "plate-costing", "--json")
	assert.Equal(t, ExitOK, code)
	var report checkReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.True(t, report.Valid)
	assert.Equal(t, 40, report.Explained.Replicas)
}

func TestCheckReportsProblemsAsJSON(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(path, []byte("version: 1\nindexez: []\n"), 0o600))
	code, out, _ := run("check", path, "--json")
	assert.Equal(t, ExitFailure, code)
	var report checkReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	assert.False(t, report.Valid)
	assert.Equal(t, 2, report.Problems[0].Line)
	assert.Contains(t, report.Problems[0].Fix, "indexes")
}

func TestDiffAsTextAndJSON(t *testing.T) {
	text, err := os.ReadFile(magnolia)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "new.yaml")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(string(text), "services: 30", "services: 31", 1)), 0o600))
	code, out, _ := run("diff", magnolia, path)
	assert.Equal(t, ExitOK, code)
	assert.Contains(t, out, "service added: supplier-import-31\n")
	assert.Contains(t, out, "1 of 53 bundles move")
	code, out, _ = run("diff", magnolia, path, "--json")
	assert.Equal(t, ExitOK, code)
	var d catalog.Difference
	require.NoError(t, json.Unmarshal([]byte(out), &d))
	assert.Len(t, d.ReplicasAdded, 2)
	_, out, _ = run("diff", magnolia, magnolia)
	assert.Equal(t, "the texts are equivalent\n", out)
}

// A node that is restarted with a broken settings file exits at once. Its log on standard
// output must contain the reason, since log collection may not include standard error.
func TestStartFailureIsLogged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.conf")
	require.NoError(t, os.WriteFile(path, []byte("node=vm-1\nportRange=none,0\n"), 0o600))
	code, out, errors := run("edge", "--settings", path)
	require.NotEqual(t, ExitOK, code)
	require.Contains(t, errors, "portRange")
	var line struct{ Event, Error, Code, Fix string }
	require.NoError(t, json.Unmarshal([]byte(out), &line))
	require.Equal(t, "node_failed", line.Event)
	require.Equal(t, "settings_invalid", line.Code)
	require.Contains(t, line.Error, "portRange")
}
