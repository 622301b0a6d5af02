// Package requestjournal holds the journal of requests that must not be lost or must
// run at most once.
//
// A journal is divided into partitions by hash of the request identifier. Each
// partition is an append-only sequence of batches in the platform's table. A
// batch is appended with one conditional write on the partition's head, so an
// append by a writer that is no longer the holder fails. The package is a pure
// state machine: it does no input or output and reads no clock.
//
// A Partition buffers records and hands out one batch at a time. Its entries
// show durable records only; a record counts once Committed has returned it.
// All partitions of an instance share a Budget, which limits the writes to the
// store: with few records each is written at once, and with many a write takes
// 66 of them. A settled request is forgotten after the retention time, and its
// identifier is kept for one more, so that a late duplicate is told why.
//
// # Usage
//
//	p := requestjournal.Open(loaded.Partition, loaded.Version, loaded.Records)
//	budget := requestjournal.NewBudget(now, share)
//	p.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, At: now, Holder: self, Life: life})
//	if batch, ok := p.Next(now, budget); ok {
//		commit(batch)
//	} else if at, ok := p.NextAt(now, budget); ok {
//		wakeAt(at)
//	}
//	switch result {
//	case event.CommitApplied:
//		for _, record := range p.Committed(version) {
//			act(record) // it is durable
//		}
//	case event.CommitConflict:
//		giveUp(p.Conflict())
//	case event.CommitFailed:
//		p.Failed()
//	}
package requestjournal
