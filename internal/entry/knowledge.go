package entry

import (
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// knowledge is what the node's loops have learnt of the shards' versions. It is
// one for all: with one for each loop, a new version was met four times over.
type knowledge struct {
	mutex    sync.RWMutex
	core     *query.ShardVersions
	revision uint64
}

func newKnowledge() *knowledge { return &knowledge{core: query.NewShardVersions()} }

// learn takes a shard's own word. Nearly always it is known already, and then
// readers go on beside it.
func (k *knowledge) learn(ref core.ShardRef, serves []core.Version) {
	k.mutex.RLock()
	known := k.core.UpToDate(ref, serves)
	k.mutex.RUnlock()
	if known {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.core.Update(ref, serves)
}

func (k *knowledge) preferred(plan *query.Plan) core.Version {
	k.mutex.RLock()
	defer k.mutex.RUnlock()
	return k.core.Preferred(plan)
}

// retain forgets the shards that a newer text no longer lists, once for each
// revision; a loop that still holds an older text forgets nothing by it.
func (k *knowledge) retain(config *belief.Config) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if config.Revision <= k.revision {
		return
	}
	k.revision = config.Revision
	k.core.Retain(func(ref core.ShardRef) bool { return config.Catalog.Shard(ref) != nil })
}
