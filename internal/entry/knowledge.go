package entry

import (
	"sync"

	"github.com/pistachiopier/pistachiopier/internal/belief"
	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/query"
)

// versionTable holds the index versions that the shards serve. All loops of the node
// share it: with one table for each loop, each of the four had to learn a new version.
type versionTable struct {
	mutex    sync.RWMutex
	core     *query.ShardVersions
	revision uint64
}

func newVersionTable() *versionTable { return &versionTable{core: query.NewShardVersions()} }

// update records the versions that a shard reports. They are almost always known
// already, and then only the read lock is taken, which does not block other readers.
func (v *versionTable) update(ref core.ShardRef, serves []core.Version) {
	v.mutex.RLock()
	known := v.core.UpToDate(ref, serves)
	v.mutex.RUnlock()
	if known {
		return
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.core.Update(ref, serves)
}

func (v *versionTable) preferred(plan *query.Plan) core.Version {
	v.mutex.RLock()
	defer v.mutex.RUnlock()
	return v.core.Preferred(plan)
}

// retain removes the shards that a newer configuration no longer lists, once for each
// revision. It ignores the older configuration of a loop that has not caught up.
func (v *versionTable) retain(config *belief.Config) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if config.Revision <= v.revision {
		return
	}
	v.revision = config.Revision
	v.core.Retain(func(ref core.ShardRef) bool { return config.Catalog.Shard(ref) != nil })
}
