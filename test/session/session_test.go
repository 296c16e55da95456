package session

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

const suffix = ".session"

// Each file under testdata tells its own story. After a change that is meant,
// read the difference and run: go test ./test/session -update
func TestSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*" + suffix)
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	golden := goldie.New(t)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), suffix)
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			require.NoError(t, err)
			require.True(t, strings.HasPrefix(string(text), "#"), "a session begins with its story")
			got, err := Run(string(text))
			require.NoError(t, err)
			golden.Assert(t, name, []byte(got))
			again, err := Run(string(text))
			require.NoError(t, err)
			require.Equal(t, got, again, "a session gives the same actions each time")
		})
	}
}

// A golden file without a session would be checked by nobody.
func TestEveryGoldenFileHasItsSession(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.golden")
	require.NoError(t, err)
	for _, path := range paths {
		require.FileExists(t, strings.TrimSuffix(path, ".golden")+suffix)
	}
}

func TestFaultsNameTheLine(t *testing.T) {
	faults := map[string]string{
		"at 0ms started":                        "line 1: the first line must be: machine NAME",
		"machine cook":                          `line 1: there is no machine "cook"`,
		"machine query\nservice top needs=base": `line 2: service "base" is not written above`,
		"machine query\nservice top\nat 1ms part shard=top/4":        "line 3: shard top/4 is not in the plan",
		"machine query\nservice top\nat 1ms part colour=7":           `line 3: part_arrived has no field "colour"`,
		"machine query\nservice top\nat 2ms woken\nat 1ms woken":     "line 4: the time runs backwards",
		"machine admit\nconfig slots=1\nat soon woken":               `line 3: "soon" is not a time such as 5ms`,
		"machine admit\nconfig slots=1\nat 1ms try_ended outcome=ok": `line 3: outcome: "ok" is none of unknown, done and not_run`,
	}
	for text, want := range faults {
		_, err := Run(text)
		require.EqualError(t, err, want)
	}
}
