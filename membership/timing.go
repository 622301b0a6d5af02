package membership

import "time"

// Timing holds the amounts of time that a View works with.
type Timing struct {
	HeartbeatIntervalMilliseconds int64 // between two heartbeats to one peer of the data centre
	SuspicionTimeoutMilliseconds  int64 // silence after which such a peer is suspected
	ForgetTimeoutMilliseconds     int64 // an unlisted instance is forgotten after this silence
}

// DefaultTiming returns the timing of the design: four missed heartbeats make
// an instance suspected, which leaves 1.6 s of the 2.4 s for a takeover.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatIntervalMilliseconds: 200,
		SuspicionTimeoutMilliseconds:  800,
		ForgetTimeoutMilliseconds:     60_000,
	}
}

// RemotePerHeartbeat is the number of peers outside the data centre that one
// heartbeat goes to. With 93 remote peers each of them hears from this instance
// every 12 heartbeats, and heartbeats leave at 40 a second instead of 465.
const RemotePeersPerHeartbeat = 8

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
