package mirror

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/pistachiopier/pistachiopier/internal/peer"
)

// ErrHistoryGone says that the store no longer knows the changes asked for: the
// copy has to be read anew.
var ErrHistoryGone = errors.New("the store has dropped the history that was asked for")

// OlderEraError is an answer of the store from an era before the one that is known: whatever is in
// it was replaced since.
type OlderEraError struct{ Received, Known uint64 }

// Error implements error.
func (e *OlderEraError) Error() string {
	return fmt.Sprintf("the store answers from era %d, era %d is known already", e.Received, e.Known)
}

// errEraChanged is a store that came back from a copy while its pages were read.
var errEraChanged = errors.New("the store came back from a copy while it was read")

// Page is a part of all items.
type Page struct {
	Items []Item
	// More is set when further items come after the last one.
	More bool
	// Revision is the store's revision at the reading of the page.
	Revision uint64
	// Era is the store's era at that moment; 0 where it tells none.
	Era uint64
}

// Store is where items are published.
type Store interface {
	// Page reads the items behind a key; "" is the start. A stale one may be seconds old.
	Page(ctx context.Context, after string, stale bool) (Page, error)
	// Watch waits for changes behind a revision, at most for the given time.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Delta, error)
	// Close ends the connections that are idle.
	Close()
}

// Role is a node's part in reading the store.
type Role int

// The roles, in the order in which a change reaches them.
const (
	// Reader nodes read the store for all.
	Reader Role = iota
	// Head nodes follow the readers for the others of their data centre.
	Head
	// Other nodes follow the heads.
	Other
)

// Peers are the other nodes' copies.
type Peers interface {
	// Sources lists the nodes to read from, the best first, and this node's role where the given
	// number of nodes read the store.
	Sources(readers int) (sources []peer.Target, role Role)
	// Fetch reads what a node's copy has beyond what was reached, and how long ago
	// that copy was confirmed by the store. It waits for changes at most for the
	// given time.
	Fetch(ctx context.Context, from peer.Target, reached Position, wait time.Duration) (Delta, time.Duration, error)
}

// readAll reads every item. Pages are not a snapshot: what changes between them is
// brought by the watch from the first page's revision, which the result bears.
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
