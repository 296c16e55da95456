package mirror

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// ErrHistoryGone is returned when the store no longer has the changes after the requested revision.
// The whole copy has to be read again.
var ErrHistoryGone = errors.New("the store no longer has the requested history")

// OlderEraError is returned for a reply of the store from an era before the known one: its contents
// have been replaced since.
type OlderEraError struct{ Received, Known uint64 }

// Error implements error.
func (e *OlderEraError) Error() string {
	return fmt.Sprintf("the store answered from era %d, but era %d is known already", e.Received, e.Known)
}

// errEraChanged is returned when the store was restored from a copy while its pages were read.
var errEraChanged = errors.New("the store was restored from a copy while it was read")

// Page is a part of all items, in the order of their keys.
type Page struct {
	Items []Item
	// More is set when further items come after the last one.
	More bool
	// Revision is the store's revision when the page was read.
	Revision uint64
	// Era is the store's era when the page was read; 0 where it announces none.
	Era uint64
}

// Store is the store in which items are published.
type Store interface {
	// Page reads the items after a key; "" is the start. A stale page may be seconds old.
	Page(ctx context.Context, after string, stale bool) (Page, error)
	// Watch waits for changes after a revision, for at most the given time.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Delta, error)
	// Close closes idle connections.
	Close()
}

// Role is a node's part in reading the store.
type Role int

// The roles, in the order in which a change reaches them.
const (
	// Reader nodes read the store for all nodes.
	Reader Role = iota
	// Head nodes follow the readers, and serve the other nodes of their data centre.
	Head
	// Other nodes follow the heads.
	Other
)

// Peers gives access to the copies of other nodes.
type Peers interface {
	// Sources lists the nodes to read from, the best one first, and this node's role when the given
	// number of nodes read the store.
	Sources(readers int) (sources []peer.Target, role Role)
	// Fetch reads the changes in a node's copy beyond a position, and the status of that copy. It waits for
	// changes for at most the given time.
	Fetch(ctx context.Context, from peer.Target, position Position, wait time.Duration) (Delta, Status, error)
}

// readAll reads every item. The pages are not a snapshot: the result has the revision of the first
// page, and a watch from there returns what changed between the pages.
func readAll(ctx context.Context, store Store, stale bool) (Delta, error) {
	delta := Delta{Whole: true}
	after := ""
	for {
		page, err := store.Page(ctx, after, stale)
		if err != nil {
			return Delta{}, err
		}
		if after == "" {
			delta.Era, delta.UpTo = page.Era, page.Revision
		}
		if page.Era != delta.Era {
			return Delta{}, errEraChanged
		}
		delta.Items = append(delta.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return delta, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}
