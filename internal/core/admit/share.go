package admit

// Divisors of a replica's connection limit.
const (
	// reserveDivisor keeps an eighth of the limit unused: connections of
	// operators' tools, of a crashed node whose end has not been noticed, and of
	// a changed share whose old connections still close.
	reserveDivisor = 8
	// An owner takes two fifths of the rest and a fallback owner one fifth, so
	// that two owners under divergent views and one fallback owner together use
	// the rest up and no more.
	shareParts    = 5
	ownerParts    = 2
	fallbackParts = 1
)

// Role is how a node comes to connect to a replica.
type Role uint8

const (
	// RoleOwner is the first node of the bundle's order in the node's own view.
	RoleOwner Role = iota
	// RoleFallback is any later node, asked while the owner is silent.
	RoleFallback
	// RoleDirect is any node when the text has no owners.
	RoleDirect
)

// String names the role for operators.
func (r Role) String() string {
	switch r {
	case RoleOwner:
		return "owner"
	case RoleFallback:
		return "fallback"
	default:
		return "direct"
	}
}

// ConnectionShare is how many connections one node may hold to a replica that
// accepts limit of them, where nodes is the size of its view (used by
// RoleDirect only). What is usable is the limit less a fixed reserve of an
// eighth (at least 1 from a limit of 3).
//
//	limit   reserve   owner   fallback
//	    1         0       0          0
//	    2         0       1          1
//	    3         1       1          1
//	    5         1       1          1
//	    8         1       2          1
//	   25         3       8          4
//	   50         6      17          8
//	  100        12      35         17
//
// An owner never takes more than half, so two owners that do not know of each
// other, or an owner and a fallback owner, stay within the limit at every limit;
// from 3 on, two owners and a fallback owner do as well. With a limit of 2 each
// of two owners has one connection and nothing is in reserve. A limit of 1
// cannot be shared by two nodes that may not know of each other, so nobody
// connects: the replica counts as unusable and the operators are told.
//
// RoleDirect splits the usable part by the number of nodes and gets 0 when there
// are more nodes than that. It holds only while all nodes see the same view:
// two halves of a split fleet would each split the whole.
func ConnectionShare(limit int, role Role, nodes int) int {
	usable := limit - reserve(limit)
	switch role {
	case RoleDirect:
		return usable / max(1, nodes)
	case RoleFallback:
		return atLeastOne(limit, usable*fallbackParts/shareParts)
	default:
		return atLeastOne(limit, usable*ownerParts/shareParts)
	}
}

func reserve(limit int) int {
	if limit < 3 {
		return 0
	}
	return max(1, limit/reserveDivisor)
}

// atLeastOne lets a node serve at all from a limit of 2 on.
func atLeastOne(limit, share int) int {
	if limit < 2 {
		return 0
	}
	return max(1, share)
}
