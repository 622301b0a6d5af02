package instance

import "time"

const (
	// minLoadConnections and maxLoadConnections limit the calls to the store that read all jobs
	// of a shard at the same time.
	minLoadConnections = 3
	maxLoadConnections = 72
	// loadQueueTime is how long other data waits on the link behind the answers of these calls.
	loadQueueTime = 250 * time.Millisecond
	// windowBytes is how much of an answer is in transit on one connection.
	windowBytes = 64 << 10
)

// loadConnections returns how many calls may read the jobs of a shard at the same time. On a slow
// link their answers would fill its queue, and nothing else would arrive in time.
func (s *Settings) loadConnections() int {
	if s.LinkMegabits <= 0 {
		return maxLoadConnections
	}
	queueBytes := s.LinkMegabits * 1e6 / 8 * loadQueueTime.Seconds()
	return min(max(minLoadConnections, int(queueBytes/windowBytes)), maxLoadConnections)
}
