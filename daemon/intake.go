package daemon

import (
	"time"

	"fuchsiacross/boundedhttp"
	"fuchsiacross/document"
	"fuchsiacross/home"
	"fuchsiacross/intake"
	"fuchsiacross/settings"
)

const (
	mebibyte = 1 << 20
	// connectionBytes is the memory planned for a connection of a caller or a stream: 32 KiB
	// in the process and, on average, 16 KiB in its socket.
	connectionBytes = 48 << 10
	// Callers get a quarter of the memory for connections, an eighth for bodies that are
	// received and a sixth for requests.
	connectionsFraction = 4
	bodyFraction        = 8
	requestFraction     = 6
	// minCallerConnections lets 95 clients with two connections each connect to an instance.
	minCallerConnections = 192
	// maxPeerConnections allows for a link and its successor with each instance of the cell
	// that docs/CAPACITY.md plans.
	maxPeerConnections = 1024
	// operatorConnections allows for a second connection of each concurrent call.
	operatorConnections = 128
	metricsConnections  = 32
	// largestRequests is the number of requests of the largest size that are received, or kept,
	// at the same time whatever the memory is.
	largestRequests = 2
	// wholeFactor is what a whole body counts until it is decoded.
	wholeFactor = 2
)

// intakeBounds returns the bounds on callers, operators and monitoring.
func intakeBounds(l *settings.Limits) intake.Bounds {
	memory := l.MemoryMegabytes * mebibyte
	b := intake.Bounds{
		CallerConnections: int(l.MaxConnections),
		PeerConnections:   maxPeerConnections,
		ProbeConnections:  metricsConnections,
		BodyBytes:         max(memory/bodyFraction, wholeFactor*largestRequests*largestRequest(l)),
		HeaderTimeout:     time.Duration(l.HeaderTimeoutMilliseconds) * time.Millisecond,
		BodyTimeout:       time.Duration(l.BodyTimeoutMilliseconds) * time.Millisecond,
	}
	if b.CallerConnections == 0 {
		b.CallerConnections = int(max(minCallerConnections, memory/connectionsFraction/connectionBytes))
	}
	return b
}

// largestRequest returns the number of bytes of the largest encoded request: a body in base64,
// or a section of the document.
func largestRequest(l *settings.Limits) int64 {
	return 4 * max(l.MaxBodyBytes, document.MaxSectionBytes) / 3
}

// requestBytes returns the limit of the memory of the requests that the instance keeps.
func requestBytes(l *settings.Limits) int64 {
	return max(l.MemoryMegabytes*mebibyte/requestFraction, largestRequests*(l.MaxBodyBytes+l.MaxTasks*home.TaskBytes))
}

// listenerOptions returns the options of the listeners of each kind of client.
func listenerOptions(b intake.Bounds) (callers, operators, peers, monitoring intake.Options) {
	callers = intake.Options{MaxConnections: b.CallerConnections, ReceiveBytes: boundedhttp.CallerSocketBytes, SendBytes: boundedhttp.CallerSocketBytes}
	operators, monitoring, peers = callers, callers, callers
	operators.MaxConnections, monitoring.MaxConnections = operatorConnections, b.ProbeConnections
	peers = intake.Options{MaxConnections: b.PeerConnections, ReceiveBytes: boundedhttp.PeerSocketBytes}
	return callers, operators, peers, monitoring
}
