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

// Each session under testdata begins with a comment on its purpose. After an
// intended change of behaviour, run: go test ./test/session -update, and review
// the difference.
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
			require.True(t, strings.HasPrefix(string(text), "#"), "a session must begin with a comment on its purpose")
			got, err := Run(string(text))
			require.NoError(t, err)
			golden.Assert(t, name, []byte(got))
			again, err := Run(string(text))
			require.NoError(t, err)
			require.Equal(t, got, again, "a session must give the same actions each time")
		})
	}
}

// A golden file without a session would never be compared.
func TestEveryGoldenFileHasItsSession(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.golden")
	require.NoError(t, err)
	for _, path := range paths {
		require.FileExists(t, strings.TrimSuffix(path, ".golden")+suffix)
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	faults := map[string]string{
		"at 0ms started":                        "line 1: the first line must be: machine NAME",
		"machine cook":                          `line 1: unknown machine "cook"`,
		"machine query\nservice top needs=base": `line 2: service "base" is not declared above`,
		"machine query\nservice top\nat 1ms part shard=top/4":        "line 3: shard top/4 is not in the plan",
		"machine query\nservice top\nat 1ms part colour=7":           `line 3: part_arrived has no field "colour"`,
		"machine query\nservice top\nat 2ms woken\nat 1ms woken":     "line 4: the time is before that of the previous event",
		"machine admit\nconfig slots=1\nat soon woken":               `line 3: "soon" is not a duration such as 5ms`,
		"machine admit\nconfig slots=1\nat 1ms try_ended outcome=ok": `line 3: outcome: "ok" is not one of unknown, done and not_run`,
	}
	for text, want := range faults {
		_, err := Run(text)
		require.EqualError(t, err, want)
	}
}
