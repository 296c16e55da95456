package api

import "sync/atomic"

// Rotation orders the address answer: each answer starts one place further on,
// so that callers which all take the first address still spread.
type Rotation struct{ turn atomic.Uint64 }

// Order puts the entries of the caller's data centre first, rotates both groups
// and keeps at most limit of them.
func (r *Rotation) Order(entries []EntryAddress, dataCentre string, limit int) []EntryAddress {
	turn := r.turn.Add(1) - 1
	var near, far []EntryAddress
	for _, entry := range entries {
		if dataCentre != "" && entry.DataCentre == dataCentre {
			near = append(near, entry)
		} else {
			far = append(far, entry)
		}
	}
	ordered := append(rotated(near, turn), rotated(far, turn)...)
	return ordered[:min(limit, len(ordered))]
}

func rotated(entries []EntryAddress, turn uint64) []EntryAddress {
	if len(entries) == 0 {
		return nil
	}
	start := int(turn % uint64(len(entries)))
	return append(append([]EntryAddress(nil), entries[start:]...), entries[:start]...)
}
