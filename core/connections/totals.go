package connections

const (
	// callerBytes and peerBytes are the memory of a connection without its requests: buffers,
	// the stacks of its goroutines and what the collector leaves until it runs.
	callerBytes = 16 << 10
	peerBytes   = 32 << 10
	// callerMemoryPercent and peerMemoryPercent are the parts of the memory that connections may
	// use. With the buffers of requests, 25 percent, they stay under the soft limit of the runtime,
	// 60 percent, also for two processes on one VM that serve peers only.
	callerMemoryPercent = 15
	peerMemoryPercent   = 10
	// callerShare, peerShare and serviceShare are parts of the descriptors that are not
	// reserved, in percent. Three service addresses and the others together take all of them.
	callerShare  = 60
	peerShare    = 25
	serviceShare = 5
	// minConnections lets a process with odd settings serve.
	minConnections = 8
	// maxService bounds the connections of readiness, operators and metrics: a balancer, a few
	// operators and a few collectors.
	maxService = 64
	// unknownDescriptors stands for an unknown limit on descriptors.
	unknownDescriptors = 1024
)

// Totals are the numbers of connections at the addresses of a process.
type Totals struct {
	// Callers and Peers are for the addresses of callers and of other processes, and Service
	// for each other address.
	Callers, Peers, Service int
}

// Derive returns the totals for the memory in bytes and the descriptors of a process, of which
// reservedPercent are left for targets, peers that are called, and files. 0 means unknown memory
// or descriptors.
func Derive(memory int64, descriptors, reservedPercent int) Totals {
	if descriptors <= 0 {
		descriptors = unknownDescriptors
	}
	free := descriptors * (100 - reservedPercent) / 100
	t := Totals{Callers: free * callerShare / 100, Peers: free * peerShare / 100, Service: min(maxService, free*serviceShare/100)}
	if memory > 0 {
		t.Callers = min(t.Callers, int(memory*callerMemoryPercent/100/callerBytes))
		t.Peers = min(t.Peers, int(memory*peerMemoryPercent/100/peerBytes))
	}
	t.Callers, t.Peers, t.Service = max(t.Callers, minConnections), max(t.Peers, minConnections), max(t.Service, minConnections)
	return t
}
