// Package leadercapacity estimates which share of a full shard's load an instance can lead.
//
// A full shard has 500 workers for one processor and about 2 starts a second for each
// worker. A leader with too little of another resource than the processor falls behind
// although its processor is idle: with a link of 10 Mbit/s, 1,000 starts timed out within
// two seconds while the processor was two thirds idle.
//
// # Usage
//
//	capacity := leadercapacity.Estimate(0.4, 1, 1000, 284, 10250, 0)
package leadercapacity

import "math"

// Bytes of HTTP or WebSocket on a connection that is already open, in both directions
// together. The test of this package measures them.
const (
	StartBytes   = 600  // a start order with its answer
	ReadingBytes = 1100 // a reading of a worker with eight active runs and one ended run
	MessageBytes = 256  // a message about advice for 16 workers to an instance
)

const (
	// startsPerSecond is the load of a full shard: 500 workers with 2 starts a second each.
	startsPerSecond = 1000
	// messagesPerStart are a request for advice, its answer, and the notice of a job.
	messagesPerStart = 3
	// linkHeadroom allows for bursts, the headers of packets and the calls to the store.
	linkHeadroom = 2
	// fullShardMegabits is the link that a full shard needs. Each start is followed by a
	// reading with the end of its run.
	fullShardMegabits = linkHeadroom * startsPerSecond * (StartBytes + ReadingBytes + messagesPerStart*MessageBytes) * 8 / 1e6
	// fullShardMegabytes is the memory that a full shard needs: 255 MB were measured at 900
	// starts a second, on instances with 284 MB.
	fullShardMegabytes = 284
	// reservedDescriptors are not available for connections to workers, of which a full
	// shard needs fullShardDescriptors: up to 1,766 connections were counted with 300
	// workers, which is six for each worker.
	reservedDescriptors  = 200
	fullShardDescriptors = 3000
)

// Estimate returns the share of the load of a full shard that an instance can lead for one
// more shard. The processor time, divided by the slowdown and by the number of shards, is
// reduced in proportion by the scarcest of the other resources if that is less than what a
// full shard needs. Instances that differ only in their processors are therefore ordered by
// them. A resource that is unknown (zero) does not limit.
func Estimate(processorShare, slowdown, linkMegabits float64, memoryMegabytes, descriptors, otherShards int64) float64 {
	scarcest := 1.0
	if linkMegabits > 0 {
		scarcest = min(scarcest, linkMegabits/fullShardMegabits)
	}
	if memoryMegabytes > 0 {
		scarcest = min(scarcest, float64(memoryMegabytes)/fullShardMegabytes)
	}
	if descriptors > 0 {
		scarcest = min(scarcest, max(0, float64(descriptors-reservedDescriptors)/fullShardDescriptors))
	}
	return processorShare / math.Max(1, slowdown) / float64(1+otherShards) * scarcest
}
