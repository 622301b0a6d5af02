// Package requestjournal implements the journal of requests that must not be lost or
// must run at most once.
//
// The journal is divided into partitions by a hash of the request identifier. Each
// partition is an append-only sequence of batches in the platform's table, written by
// one instance at a time, its holder. A batch is appended with one conditional write on
// the partition's head, so an append by a former holder fails. The package is a pure
// state machine: it does no input or output and reads no clock.
//
// A Partition buffers records and hands out one batch at a time. Its entries
// reflect only durable records, those that HandleCommitted has returned. All
// partitions of an instance share a WriteBudget, which limits the writes to the
// store: at a low record rate each record is written at once, and at full load a
// write carries 66 records.
//
// A settled request is replaced by a tombstone after the retention time. The tombstone
// keeps only the identifier, for another retention time, so that a late duplicate can
// be refused with the reason.
//
// # Usage
//
//	p := requestjournal.Open(loaded.Partition, loaded.Version, loaded.Records)
//	budget := requestjournal.NewWriteBudget(now, writesPerSecond)
//	p.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, At: now, Holder: self, HolderIncarnation: incarnation})
//	if batch, ok := p.NextBatch(now, budget); ok {
//		commit(batch)
//	} else if at, ok := p.NextBatchAt(now, budget); ok {
//		wakeAt(at)
//	}
//	switch result {
//	case event.CommitApplied:
//		for _, record := range p.HandleCommitted(version) {
//			act(record) // it is durable
//		}
//	case event.CommitConflict:
//		abandon(p.HandleConflict())
//	case event.CommitFailed:
//		p.HandleFailed()
//	}
package requestjournal
