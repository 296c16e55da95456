package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	. "github.com/pistachiopier/pistachiopier/internal/core/member"
)

// Without a VM list, 76 nodes start almost at once and know the peer addresses of three seeds. All
// must soon know each other with data centres and addresses for callers, since callers are
// otherwise sent to only a part of the fleet.
func TestFleetFormsFromSeedsAlone(t *testing.T) {
	const count, repairs = 76, 3
	w := emptyNetwork(5)
	for i := range count {
		w.addWith(Config{Self: testNode(i), Incarnation: 1, MaxRepairs: repairs})
	}
	w.listSeeds(w.nodes)
	require.Less(t, w.runUntil(30*time.Second, w.complete), 10*time.Second)
	kb := w.bytes / count / 1024
	w.run(10 * time.Second)
	require.True(t, w.complete(), "no node is declared dead again")
	require.Less(t, kb, 60, "kilobytes per node until every node knows all")
}
