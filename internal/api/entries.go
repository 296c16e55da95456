package api

import "sync/atomic"

// Rotation orders the entries in answers: each answer starts one entry later, so
// that callers which all use the first address are spread over the entries.
type Rotation struct{ turn atomic.Uint64 }

// Order puts the entries of the caller's data centre first, rotates both groups
// and returns at most limit entries.
func (r *Rotation) Order(entries []EntryAddress, dataCentre string, limit int) []EntryAddress {
	turn := r.turn.Add(1) - 1
	var local, remote []EntryAddress
	for _, entry := range entries {
		if dataCentre != "" && entry.DataCentre == dataCentre {
			local = append(local, entry)
		} else {
			remote = append(remote, entry)
		}
	}
	ordered := append(rotate(local, turn), rotate(remote, turn)...)
	return ordered[:min(limit, len(ordered))]
}

func rotate(entries []EntryAddress, turn uint64) []EntryAddress {
	if len(entries) == 0 {
		return nil
	}
	start := int(turn % uint64(len(entries)))
	return append(append([]EntryAddress(nil), entries[start:]...), entries[:start]...)
}
