package edge_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry asks for relief. Callers ask any node for addresses, so that all must hear of it, those too that start later.
func TestAllDirectoriesHearOfAnOverloadedEntry(t *testing.T) {
	h := newHarness(t)
	h.replica("notes", "east")
	h.serve("east", "east", "west")
	overloaded := h.nodes[0]
	overloaded.MarkOverloaded()
	h.startOne("west", nil)
	for _, node := range h.nodes[1:] {
		h.waitForRelief(node, overloaded.Settings.CallerAddress)
		require.Eventually(t, func() bool {
			answer := h.resolve(node, "east")
			require.Contains(t, answer, h.nodes[1].Settings.CallerAddress)
			return !strings.Contains(answer, overloaded.Settings.CallerAddress)
		}, waitLimit, time.Millisecond)
	}
}

// waitForRelief waits until a node has heard that an entry asks for relief.
func (h *harness) waitForRelief(node *node, address string) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		_, dump := h.get("http://"+node.Settings.MetricsAddress+"/dump", nil)
		return strings.Contains(dump, `"entries_relieved":["`+address+`"]`)
	}, waitLimit, 10*time.Millisecond)
}
