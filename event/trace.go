package event

// TraceKind is the kind of a timeline record. The timeline records what
// happened in a process.
type TraceKind string

// The kinds of timeline records that the reducer writes.
const (
	TraceSubmitted        TraceKind = "submitted"
	TraceAccepted         TraceKind = "accepted"
	TraceQueued           TraceKind = "queued"
	TraceForwarded        TraceKind = "forwarded"
	TraceReserved         TraceKind = "reserved"
	TraceIntent           TraceKind = "intent"
	TraceStart            TraceKind = "start"
	TraceStarted          TraceKind = "started"
	TraceFinished         TraceKind = "finished"
	TraceRetry            TraceKind = "retry"
	TraceRefused          TraceKind = "refused"
	TraceUncertain        TraceKind = "uncertain"
	TraceFenced           TraceKind = "fenced"
	TraceSettled          TraceKind = "settled"
	TraceCancelled        TraceKind = "cancelled"
	TracePreempted        TraceKind = "preempted"
	TraceLeaseGranted     TraceKind = "lease_granted"
	TraceLeaseLost        TraceKind = "lease_lost"
	TraceLeaseReleased    TraceKind = "lease_released"
	TraceQuarantined      TraceKind = "quarantined"
	TraceDraining         TraceKind = "draining"
	TracePeerUp           TraceKind = "peer_up"
	TracePeerSuspected    TraceKind = "peer_suspected"
	TracePartitionClaimed TraceKind = "partition_claimed"
	TracePartitionLost    TraceKind = "partition_lost"
	TraceDocumentInForce  TraceKind = "document_in_force"
	TraceDocumentBehind   TraceKind = "document_behind"
	TraceShutdown         TraceKind = "shutdown"
)
