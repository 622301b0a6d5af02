package intake

import "time"

const (
	mebibyte = 1 << 20
	// connectionBytes is the memory planned for a connection: 64 KiB for the buffers of its
	// socket and 32 KiB for its goroutines, buffers and header.
	connectionBytes = 96 << 10
	// Clients get a quarter of the memory for connections and a sixteenth for bodies; the
	// heap limit of the process is 0.55 of it, and a leader needs most of that.
	callerConnectionsFraction = 4
	peerConnectionsFraction   = 16
	bodyFraction              = 16
	// minCallerConnections lets 95 clients with two connections each connect to an instance.
	minCallerConnections = 192
	maxCallerConnections = 4096
	// An instance accepts one link from the leader of each shard, and a second one while the
	// leader changes.
	minPeerConnections = 32
	maxPeerConnections = 256
	// probeConnections is the bound of the addresses that only balancers and monitoring use.
	probeConnections = 32
	// reservedDescriptors are kept for files.
	reservedDescriptors = 200
	// callerDescriptorsDivisor leaves half of the descriptors to workers, peers and the store.
	callerDescriptorsDivisor = 2
	// minBodyBytes holds a few bodies of the largest legal size, 256 KiB.
	minBodyBytes         = 2 * mebibyte
	defaultHeaderTimeout = 5 * time.Second
	// defaultBodyTimeout is the longest time that a client can ask for in X-Deadline-Ms.
	defaultBodyTimeout = time.Minute
)

// Bounds are the bounds of one process.
type Bounds struct {
	CallerConnections int
	PeerConnections   int
	ProbeConnections  int           // of each address of balancers and monitoring
	BodyBytes         int64         // bytes of bodies of all connections
	HeaderTimeout     time.Duration // for the header of a request
	BodyTimeout       time.Duration // for the body of a request
}

// DefaultBounds returns the bounds for a machine. The number of descriptors is zero if it is
// unknown.
func DefaultBounds(memoryMegabytes, descriptors int64) Bounds {
	memory := memoryMegabytes * mebibyte
	callers := max(minCallerConnections, min(maxCallerConnections, memory/callerConnectionsFraction/connectionBytes))
	if descriptors > 0 {
		callers = min(callers, max(1, (descriptors-reservedDescriptors)/callerDescriptorsDivisor))
	}
	return Bounds{
		CallerConnections: int(callers),
		PeerConnections:   int(max(minPeerConnections, min(maxPeerConnections, memory/peerConnectionsFraction/connectionBytes))),
		ProbeConnections:  probeConnections,
		BodyBytes:         max(minBodyBytes, memory/bodyFraction),
		HeaderTimeout:     defaultHeaderTimeout,
		BodyTimeout:       defaultBodyTimeout,
	}
}
