package command

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/keys"
)

// run executes a command line and returns its exit code, output and error output.
func run(arguments ...string) (int, string, string) {
	var out, errors bytes.Buffer
	code := Run(arguments, &out, &errors)
	return code, out.String(), errors.String()
}

// Guards against mistyped commands in scripts: the message must name the error and
// the exit code must be 2. An ignored flag would run something other than
// requested.
func TestUsageErrorsAreNamedAndExitWithTwo(t *testing.T) {
	cases := map[string][]string{
		"no command given":                {},
		`unknown command "nonsense"`:      {"nonsense"},
		"query has no flag --bogus":       {"query", "a", "--bogus"},
		"query has no flag -z":            {"query", "a", "-z", "1"},
		"query needs SERVICE":             {"query"},
		"query takes 1 arguments, got 2":  {"query", "a", "b"},
		"no value given for --address":    {"status", "--address"},
		"no address given":                {"problems"},
		"unknown chart nope":              {"charts", "nope"},
		"neither --nodes nor --check":     {"keys"},
		"is not a valid node id":          {"keys", "--nodes", "../up"},
		"--days must be positive":         {"keys", "--nodes", "a", "--days", "0"},
		"many":                            {"keys", "--nodes", "a", "--days", "many"},
		"soon":                            {"query", "a", "--timeout", "soon"},
		"the question is not JSON":        {"query", "a", "--address", "x", "--question", "pork"},
		"cannot read /does/not/exist":     {"check", "/does/not/exist"},
		"serve needs --settings FILE":     {"serve"},
		"settings has no flag --settings": {"settings", "--settings=a"},
	}
	for message, arguments := range cases {
		t.Run(strings.Join(arguments, " "), func(t *testing.T) {
			code, _, errors := run(arguments...)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, errors, message)
		})
	}
}

func TestEachCommandsHelpHasAnExample(t *testing.T) {
	for _, c := range allCommands() {
		code, out, _ := run(c.parser.Name, "--help")
		require.Equal(t, ExitOK, code)
		require.Contains(t, out, "example: pistachiopier "+c.parser.Name)
	}
	code, out, _ := run("--help")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "exit codes")
}

func TestKeysIssuesCertificatesAndWarnsBeforeExpiry(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "keys")
	code, _, errors := run("keys", "--nodes", "vm-1", "--folder", folder, "--days", "20")
	require.Equal(t, ExitOK, code, errors)
	code, _, errors = run("keys", "--nodes", "vm-2", "--folder", folder)
	require.Equal(t, ExitOK, code, errors)
	code, _, errors = run("keys", "--nodes", "vm-2", "--folder", folder)
	require.Equal(t, ExitFailure, code, "an existing key must not be overwritten")
	require.Contains(t, errors, "cannot write")

	read := func(name string) []byte {
		text, err := os.ReadFile(filepath.Join(folder, name))
		require.NoError(t, err)
		return text
	}
	for _, node := range []string{"vm-1", "vm-2"} {
		pair := keys.Pair{Certificate: read(node + ".crt"), Key: read(node + ".key")}
		_, err := keys.TLSConfig(read("authority.crt"), pair)
		require.NoError(t, err)
		name, err := keys.CommonName(pair.Certificate)
		require.NoError(t, err)
		require.Equal(t, node, name)
	}
	info, err := os.Stat(filepath.Join(folder, "vm-1.key"))
	require.NoError(t, err)
	require.Equal(t, os.FileMode(keyFileMode), info.Mode().Perm())

	paths := filepath.Join(folder, "vm-1.crt") + "," + filepath.Join(folder, "vm-2.crt")
	code, out, _ := run("keys", "--check", paths)
	require.Equal(t, ExitOK, code, out)
	code, out, _ = run("keys", "--check", paths, "--warn-days", "30")
	require.Equal(t, ExitFailure, code)
	require.Equal(t, 1, strings.Count(out, "under 30 days"))
}

func TestKeysPrintsWhenNoFolderIsGiven(t *testing.T) {
	code, out, _ := run("keys", "--nodes", "vm-1,vm-2")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 3, strings.Count(out, "BEGIN CERTIFICATE"))
}

func TestSettingsAndChartsPrint(t *testing.T) {
	code, out, _ := run("settings", "--json")
	require.Equal(t, ExitOK, code)
	var list []map[string]string
	require.NoError(t, json.Unmarshal([]byte(out), &list))
	require.Equal(t, "node", list[0]["key"])
	code, out, _ = run("charts", "config")
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "stateDiagram-v2")
}

// New users run the demo first: it must show each of its steps and end by itself.
func TestDemoShowsEachStepAndEnds(t *testing.T) {
	started := time.Now()
	code, out, errors := run("demo")
	require.Equal(t, ExitOK, code, errors)
	for _, step := range []string{"whole answer", "THIN answer", "drain", "in force on all 3 nodes", "revision 2"} {
		require.Contains(t, out, step)
	}
	require.Less(t, time.Since(started), demoTimeout, "the demo must end within its own time limit")
}
