package owner

import (
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
)

// ShardDump is the state of one shard, for operators.
type ShardDump struct {
	Shard core.ShardRef `json:"shard"`
	Role  string        `json:"role"`
	admit.State
}

// dumpRequested requests the state of a loop's shards.
type dumpRequested struct{ reply chan<- []ShardDump }

func (dumpRequested) isEvent() {}

// Dump returns the state of all shards that this node serves, sorted by name. It waits
// for each loop; loops that were closed before they answered are left out.
func (o *Owner) Dump() []ShardDump {
	var dump []ShardDump
	for _, l := range o.loops {
		reply := make(chan []ShardDump, 1)
		if l.events.Put(l.ctx, dumpRequested{reply: reply}) != nil {
			continue
		}
		select {
		case shards := <-reply:
			dump = append(dump, shards...)
		case <-l.ctx.Done():
		}
	}
	sort.Slice(dump, func(i, j int) bool { return dump[i].Shard.String() < dump[j].Shard.String() })
	return dump
}

func (l *loop) dump(e dumpRequested) {
	shards := make([]ShardDump, 0, len(l.shards))
	for ref, s := range l.shards {
		shards = append(shards, ShardDump{Shard: ref, Role: s.role.String(), State: s.machine.State(l.options.Now())})
	}
	e.reply <- shards
}
