package membership

import "time"

// Timing holds the intervals and timeouts of a View.
type Timing struct {
	HeartbeatIntervalMilliseconds int64 // between heartbeats to a peer of the data centre
	SuspicionTimeoutMilliseconds  int64 // without a heartbeat from such a peer before it is suspected
	ForgetTimeoutMilliseconds     int64 // without a heartbeat from an unlisted instance before it is removed
}

// DefaultTiming returns the default timing. An instance is suspected after four
// missed heartbeats (0.8 s), which leaves 1.6 s of the 2.4 s that a takeover may
// take.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatIntervalMilliseconds: 200,
		SuspicionTimeoutMilliseconds:  800,
		ForgetTimeoutMilliseconds:     60_000,
	}
}

// RemotePeersPerHeartbeat is the number of peers outside the data centre to which
// one heartbeat is sent. With 93 remote peers, each of them receives every 12th
// heartbeat, and the instance sends 40 heartbeats/s to them instead of 465.
const RemotePeersPerHeartbeat = 8

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
