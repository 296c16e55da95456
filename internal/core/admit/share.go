package admit

// Divisors of the connection limit of a replica.
const (
	// reserveDivisor reserves an eighth of the limit for connections of operators' tools, connections of a
	// crashed node whose end has not been detected, and old connections that are still closing after a
	// change of the share.
	reserveDivisor = 8
	// An owner gets two fifths of the rest and a fallback owner one fifth, so that two owners with
	// divergent views and one fallback owner together use exactly the rest.
	shareParts    = 5
	ownerParts    = 2
	fallbackParts = 1
)

// Role is the reason for which a node connects to a replica.
type Role uint8

const (
	// RoleOwner is the first node in the bundle's order, according to the node's own view.
	RoleOwner Role = iota
	// RoleFallback is any later node in the order, used while the owner does not respond.
	RoleFallback
	// RoleDirect is any node, when the configuration defines no owners.
	RoleDirect
)

// String returns the name of the role that operators see.
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

// ConnectionShare returns how many connections one node may hold to a replica that accepts limit
// connections. The number of nodes in the node's view is used for RoleDirect only. The usable part is
// the limit less a reserve of an eighth (at least 1 from a limit of 3).
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
// An owner never takes more than half, so two owners that do not know of each other, or an owner and a
// fallback owner, stay within any limit; from a limit of 3, two owners and a fallback owner do as
// well. With a limit of 2 each of two owners has one connection and there is no reserve. A limit of 1
// cannot be shared by two nodes that may not know of each other, so no node connects: the replica
// counts as unusable, which is reported to the operators.
//
// RoleDirect divides the usable part by the number of nodes, which gives 0 when there are more nodes
// than connections. The limit is kept only while all nodes have the same view: each half of a
// partitioned fleet would use the whole.
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

// atLeastOne gives each node at least one connection from a limit of 2.
func atLeastOne(limit, share int) int {
	if limit < 2 {
		return 0
	}
	return max(1, share)
}
