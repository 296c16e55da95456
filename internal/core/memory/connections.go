package memory

const (
	// connectionBytes is what a connection between requests takes at most: its goroutine, its buffers and a head of
	// FreeHeadBytes that is not finished.
	connectionBytes = 40 << 10
	// connectionShare is the part of a VM's memory that callers' connections may take.
	connectionShare = 0.25
	// fileDescriptors are those of a process that are no sockets.
	fileDescriptors = 200
	// callerDescriptorShare is the part of all sockets that callers may take. Replicas, the store and other listeners
	// need the rest.
	callerDescriptorShare = 0.5
	// Listeners other than the callers' get a part of the callers' limit each.
	directoryDivisor = 4
	checkDivisor     = 16
	maxChecks        = 32
	// reservedDivisor is the part of all sockets that remains for the store, other nodes and connections on their way out.
	reservedDivisor = 16
)

// Connections are the most connections that a node accepts, and opens to replicas.
type Connections struct {
	Callers, Directory int
	// Checks is that of the readiness check and of the metrics each.
	Checks int
	// Replicas is that to all replicas.
	Replicas int
}

// ConnectionLimits returns the limits of a VM with the given memory, where 0 or less is unknown, and of a process with
// the given descriptors.
func ConnectionLimits(vmBytes int64, descriptors int) Connections {
	sockets := max(descriptors-fileDescriptors, 1)
	byMemory := connectionShare * float64(knownVMBytes(vmBytes)) / connectionBytes
	limits := Connections{Callers: max(int(min(callerDescriptorShare*float64(sockets), byMemory)), 1)}
	limits.Directory = max(limits.Callers/directoryDivisor, 1)
	limits.Checks = min(max(limits.Callers/checkDivisor, 1), maxChecks)
	limits.Replicas = max(sockets-limits.Callers-limits.Directory-2*limits.Checks-sockets/reservedDivisor, 1)
	return limits
}

// knownVMBytes returns the memory of a VM, or that at which LimitBytes gives the default if it is unknown.
func knownVMBytes(vmBytes int64) int64 {
	if vmBytes > 0 {
		return vmBytes
	}
	return int64(DefaultLimitBytes / vmShare)
}
