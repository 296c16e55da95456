package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	. "github.com/pistachiopier/pistachiopier/internal/core/member"
)

// There is no VM list: 76 nodes start within moments of each other and know the bare peer
// addresses of three. All must soon know all, with their data centres and the addresses for
// callers, or callers are sent to a part of the fleet only.
func TestSeedsAloneBringAFleetTogether(t *testing.T) {
	const count, repairs = 76, 3
	w := emptyMesh(5)
	for i := range count {
		w.addWith(Config{Self: place(i), Incarnation: 1, MaxRepairs: repairs})
	}
	w.seed(w.nodes)
	require.Less(t, w.runUntil(30*time.Second, w.placed), 10*time.Second)
	kb := w.bytes / count / 1024
	w.run(10 * time.Second)
	require.True(t, w.placed(), "nobody is lost again")
	require.Less(t, kb, 60, "kilobytes a node until all know all")
}
