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
)

// Connections are the most connections that a node accepts.
type Connections struct {
	Callers, Directory int
	// Checks is that of the readiness check and of the metrics each.
	Checks int
}

// ConnectionLimits returns the limits of a VM with the given memory, where 0 or less is unknown, and of a process with
// the given descriptors.
func ConnectionLimits(vmBytes int64, descriptors int) Connections {
	bySockets := callerDescriptorShare * float64(descriptors-fileDescriptors)
	byMemory := connectionShare * float64(knownVMBytes(vmBytes)) / connectionBytes
	callers := max(int(min(bySockets, byMemory)), 1)
	return Connections{Callers: callers, Directory: max(callers/directoryDivisor, 1), Checks: min(max(callers/checkDivisor, 1), maxChecks)}
}

// knownVMBytes returns the memory of a VM, or that at which LimitBytes gives the default if it is unknown.
func knownVMBytes(vmBytes int64) int64 {
	if vmBytes > 0 {
		return vmBytes
	}
	return int64(DefaultLimitBytes / vmShare)
}
