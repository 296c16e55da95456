package owner

import (
	"sort"

	"github.com/pistachiopier/pistachiopier/internal/core"
	"github.com/pistachiopier/pistachiopier/internal/core/admit"
)

// ShardDump is one shard's state for operators.
type ShardDump struct {
	Shard core.ShardRef `json:"shard"`
	Role  string        `json:"role"`
	admit.State
}

// inspected asks a loop for the state of its shards.
type inspected struct{ reply chan<- []ShardDump }

func (inspected) isEvent() {}

// Dump returns the state of every shard that this node serves, by name. It
// waits for the loops; after Close it returns what the loops had answered.
func (o *Owner) Dump() []ShardDump {
	var dump []ShardDump
	for _, l := range o.loops {
		reply := make(chan []ShardDump, 1)
		if l.events.Put(l.ctx, inspected{reply: reply}) != nil {
			continue
		}
		select {
		case part := <-reply:
			dump = append(dump, part...)
		case <-l.ctx.Done():
		}
	}
	sort.Slice(dump, func(i, j int) bool { return dump[i].Shard.String() < dump[j].Shard.String() })
	return dump
}

func (l *loop) inspect(e inspected) {
	part := make([]ShardDump, 0, len(l.shards))
	for ref, s := range l.shards {
		part = append(part, ShardDump{Shard: ref, Role: s.role.String(), State: s.machine.State(l.options.Now())})
	}
	e.reply <- part
}
