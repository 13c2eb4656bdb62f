package clientbudget

const (
	// clientShare is the share of a process's memory that clients may use.
	clientShare = 0.25
	// DefaultMemoryMB is the memory of a process whose settings do not state it, in MB.
	DefaultMemoryMB = 256
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// ownShare is the share of the sockets for the process's own connections, to each other router and to
	// the store.
	ownShare = 1.0 / 8
	// callersShare is the part of the rest up to which callers may use it. What is above is kept for peers,
	// checks and connections to backend servers.
	callersShare = 7.0 / 8
	// Shares of the sockets that other listeners may use. Each router may be connected with each other one.
	peersShare = 1.0 / 6
	otherShare = 1.0 / 64 // readiness and metrics, each
	// minConnections is the least number of connections of a listener, and maxOther the most of
	// readiness and of metrics.
	minConnections = 4
	maxOther       = 128
	// kernelShare is the share of a process's memory that the kernel may use for bytes that callers and
	// backend servers have sent and that were not read, and kernelCost what it is in bytes for a
	// connection at most.
	kernelShare = 0.35
	kernelCost  = 24 << 10
	// connectionMemoryShare is the share of the clients' memory that open connections may use.
	connectionMemoryShare = 0.85
	// bodyShare is the share of the largest account that its body may use.
	bodyShare = 0.75
)

// Limits bound what a process holds for its clients.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Connections is the number of open connections by listener.
	Connections map[Listener]int
	// Sockets is the number of accepted connections and of those to backend servers together; 0 means
	// that only the limits of the listeners apply.
	Sockets int
}

// NewLimits returns the limits of a process with the given memory in MB and number of descriptors;
// 0 means that the memory is unknown.
func NewLimits(memoryMB float64, descriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = DefaultMemoryMB
	}
	memory := int64(min(clientShare*memoryMB*(1<<20), 1<<50))
	sockets := float64(max(descriptors-reservedDescriptors, descriptors/2))
	shared := min((1-ownShare)*sockets, kernelShare*memoryMB*(1<<20)/kernelCost)
	connections := func(n float64) int {
		return max(int(min(n, connectionMemoryShare*float64(memory)/connectionCost)), minConnections)
	}
	return Limits{Memory: memory, Sockets: max(int(shared), 4*minConnections), Connections: map[Listener]int{
		Callers:   connections(callersShare * shared),
		Peers:     connections(peersShare * sockets),
		Readiness: min(connections(otherShare*sockets), maxOther),
		Metrics:   min(connections(otherShare*sockets), maxOther),
	}}
}

// LargestBody returns the size in bytes of the largest body that an empty budget holds, beside its
// header.
func (l Limits) LargestBody() int64 {
	return int64(bodyShare * (1 - reserveShare) * float64(l.Memory))
}
