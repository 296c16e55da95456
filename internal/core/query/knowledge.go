package query

import (
	"slices"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// Knowledge remembers which versions each shard last said it serves. It only
// chooses the version to try first; an answer is checked by its own parts.
type Knowledge struct {
	serves map[core.ShardRef][]core.Version
}

// NewKnowledge makes an empty Knowledge.
func NewKnowledge() *Knowledge {
	return &Knowledge{serves: map[core.ShardRef][]core.Version{}}
}

// Learn takes a shard's own word.
func (k *Knowledge) Learn(ref core.ShardRef, serves []core.Version) {
	if len(serves) > 0 {
		k.serves[ref] = serves
	}
}

// Preferred returns the newest version that no shard of the plan is known to
// lack, or 0 when nothing is known.
func (k *Knowledge) Preferred(plan *Plan) core.Version {
	var candidates []core.Version
	known := false
	for _, need := range plan.Needs {
		serves, ok := k.serves[need.Ref]
		if !ok {
			continue
		}
		if !known {
			candidates = slices.Clone(serves)
			known = true
			continue
		}
		candidates = slices.DeleteFunc(candidates, func(v core.Version) bool { return !slices.Contains(serves, v) })
	}
	if len(candidates) == 0 {
		return 0
	}
	return slices.Max(candidates)
}
