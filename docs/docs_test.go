// Package docs_test checks that the documentation pages match the code.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachiopier/pistachiopier/internal/observe"
)

func read(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(text)
}

// requireListed finds the names that the pattern's group matches in the source, and
// requires each of them on the page, after a backquote or a quotation mark.
func requireListed(t *testing.T, source, pattern, page string) {
	t.Helper()
	found := regexp.MustCompile(pattern).FindAllStringSubmatch(source, -1)
	require.NotEmpty(t, found, pattern)
	text := read(t, page)
	for _, match := range found {
		named := regexp.MustCompile("[`\"][^`\n]*\\b" + regexp.QuoteMeta(match[1]) + "\\b")
		require.True(t, named.MatchString(text), "%s does not list %s", page, match[1])
	}
}

// sources returns the joined source of internal/ without the tests.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("../internal", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			all.WriteString(read(t, path))
		}
		return err
	})
	require.NoError(t, err)
	return all.String()
}

func TestOperationsPageListsEveryLogEventAndProblem(t *testing.T) {
	requireListed(t, sources(t), `(?:"event"|FieldEvent)[,:]\s+"([a-z_]+)"[,:})]`, "OPERATIONS.md")
	for _, kind := range observe.Kinds() {
		require.Contains(t, read(t, "OPERATIONS.md"), "| `"+string(kind)+"` |")
	}
	declared := regexp.MustCompile(`\bKind\s+= "`).FindAllString(read(t, "../internal/observe/problems.go"), -1)
	require.Len(t, observe.Kinds(), len(declared), "observe.Kinds does not list all kinds of problems")
}

func TestInterfacePageListsEveryKeyCodeAndReason(t *testing.T) {
	requireListed(t, read(t, "../internal/catalog/text.go"), `yaml:"([a-z_]+)"`, "INTERFACE.md")
	requireListed(t, read(t, "../internal/core/core.go"), `Reason\w+ +Reason = "([a-z_]+)"`, "INTERFACE.md")
	requireListed(t, read(t, "../internal/fault/fault.go"), `Code\w+ +Code = "([a-z_]+)"`, "INTERFACE.md")
	requireListed(t, read(t, "../internal/upstream/protocol.go"), `Header\w+ += "([A-Za-z-]+)"`, "INTERFACE.md")
	for _, source := range []string{"documents.go", "failures.go", "submit.go"} {
		requireListed(t, read(t, "../internal/api/"+source), `json:"([a-z_]+),?`, "INTERFACE.md")
	}
}

func TestLinksBetweenPagesResolve(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	design, err := filepath.Glob("design/*.md")
	require.NoError(t, err)
	pages = append(pages, design...)
	for _, page := range append(pages, "../README.md", "../CONTRIBUTING.md", "../CHANGELOG.md") {
		for _, link := range regexp.MustCompile(`\]\(([^):#]+)\)`).FindAllStringSubmatch(read(t, page), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			require.NoError(t, err, "%s has a broken link to %s", page, link[1])
		}
	}
}

func TestDesignPageListsEveryPackage(t *testing.T) {
	entries, err := os.ReadDir("../internal")
	require.NoError(t, err)
	page := read(t, "DESIGN.md")
	table := page[strings.Index(page, "## Packages"):strings.Index(page, "## Decisions apart")]
	for _, entry := range entries {
		require.Contains(t, table, "`"+entry.Name()+"`", "missing from the package table of DESIGN.md")
	}
}

// LOGS.md must explain every event that an engineer on call may find in the logs.
func TestLogsPageListsEveryDecision(t *testing.T) {
	source := sources(t)
	requireListed(t, source, `(?:\.Life|\.Decision)\("([a-z_]+)"`, "LOGS.md")
	requireListed(t, source, `(?:step|Line)\{Event: "([a-z_]+)"`, "LOGS.md")
}
