// Package backlog bounds the memory of the jobs that wait at a leader.
//
// A leader keeps every accepted job in memory until it ends. Meter adds up their sizes by
// queue and names the queues of which no further job is to be accepted. Gate applies this at
// an instance that hands jobs in, as the leaders of the shards announce it.
//
// Up to three quarters of the limit any queue may use. The rest is left to queues below an
// equal share of the limit, so that a queue that nothing runs does not close the others. At the
// limit all queues with jobs are refused.
//
// # Usage
//
// The leader counts jobs and announces what it refuses:
//
//	meter := backlog.NewMeter(limit)
//	meter.Add(queue, bytes)
//	refusals := meter.Refusals(now, configuredQueues)
//
// Every instance keeps the announcements and asks before it stores a job:
//
//	gate.Announce(shard, backlog.Announcement{Refusals: refusals, At: now})
//	retryAfter, refused := gate.Admit(now, shard, queue, bytes)
package backlog
