package requestjournal

import (
	"iter"
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// maxBatchBytes limits one append. The platform's adapter splits a batch into
	// rows of 256 KiB in one transaction. 1 MiB keeps the transaction small, yet it
	// holds the records of several seconds.
	maxBatchBytes = 1 << 20
	// maxDeferDuration is how long tombstones, which no caller waits for, stay
	// buffered for another record to be sent with.
	maxDeferDuration = 10 * time.Second
	// minCompactionRecords is the number of records below which a partition is
	// never compacted.
	minCompactionRecords = 4096
	// compactionRecordsPerEntry is the number of records per entry above which a
	// partition is compacted. A live at-most-once request needs three records, and a
	// tombstone needs one of the four that led to it, so a compaction drops at least
	// a fifth of the records.
	compactionRecordsPerEntry = 4
	// maxExpirationsPerCall limits the work of one call of ExpireSettled.
	maxExpirationsPerCall = 1000
	// Failed appends are retried after minBackoff, which doubles with each further
	// failure up to maxBackoff.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Batch is one conditional append of Records, which succeeds only if the partition is
// at Version.
type Batch struct {
	Version Version
	Records []Record
}

// Partition is the state of one journal partition at its holder: the entries according
// to the durable records, the buffered records, and at most one outstanding append or
// compaction. It is not safe for concurrent use.
type Partition struct {
	id                model.Partition
	version           Version
	state             state
	buffer            []Record
	bufferedAt        time.Time // when the first buffered record was appended
	deferredRecords   int       // buffered records that no caller waits for
	uncountedRequests int       // acceptances that no budget has observed yet
	uncountedOthers   int       // other records, except tombstones, that no budget has observed yet
	outstanding       bool
	compacting        bool     // the outstanding write is a compaction
	sentRecords       []Record // of the outstanding write
	failures          int
	retryAt           time.Time // zero until NextBatch has seen the last failure
	closed            bool
}

// Open returns a partition with the state that results from its durable records.
// Version is the partition's version after them.
func Open(id model.Partition, version Version, records []Record) *Partition {
	p := &Partition{id: id, version: version}
	p.state.nodes = make(map[model.RequestID]*node, len(records)/2)
	for _, r := range records {
		p.state.apply(r)
	}
	p.state.sortRetentionItems()
	return p
}

// ID returns the number of the partition.
func (p *Partition) ID() model.Partition { return p.id }

// Holder returns the instance and incarnation of the last durable claim, or zero values
// if there is none.
func (p *Partition) Holder() (model.InstanceID, model.Incarnation) {
	return p.state.holder, p.state.holderIncarnation
}

// Version returns the version after the last durable append.
func (p *Partition) Version() Version { return p.version }

// Closed reports whether HandleConflict has closed the partition.
func (p *Partition) Closed() bool { return p.closed }

// HasOutstandingWrite reports whether an append or a compaction is outstanding.
func (p *Partition) HasOutstandingWrite() bool { return p.outstanding }

// Buffered returns the number of buffered records, which excludes those of an
// outstanding write.
func (p *Partition) Buffered() int { return len(p.buffer) }

// HasDueRecords reports whether records are buffered that do not wait for others.
func (p *Partition) HasDueRecords() bool { return p.deferredRecords < len(p.buffer) }

// Entry returns the durable entry of a request.
func (p *Partition) Entry(id model.RequestID) (*Entry, bool) {
	n, ok := p.state.nodes[id]
	if !ok {
		return nil, false
	}
	return &n.Entry, true
}

// Entries iterates over the durable entries in the order of their first record.
func (p *Partition) Entries() iter.Seq2[model.RequestID, *Entry] { return p.state.entries() }

// Append buffers records. They are durable once HandleCommitted has returned them. A
// closed partition ignores them.
func (p *Partition) Append(now time.Time, records ...Record) {
	if p.closed || len(records) == 0 {
		return
	}
	if len(p.buffer) == 0 {
		p.bufferedAt = now
	}
	for _, r := range records {
		switch r.Kind {
		case RecordTombstone:
			p.deferredRecords++
		case RecordAccepted:
			p.uncountedRequests++
		default:
			p.uncountedOthers++
		}
	}
	p.buffer = append(p.buffer, records...)
}

// NextBatch returns the next batch to append, if there is one and the budget grants a
// token. The caller appends it and then calls HandleCommitted, HandleConflict or
// HandleFailed. It calls NextBatch after Append, after each of these, and at the time
// that NextBatchAt returns.
func (p *Partition) NextBatch(now time.Time, budget *WriteBudget) (Batch, bool) {
	budget.observeRecords(now, p.uncountedRequests, p.uncountedOthers)
	p.uncountedRequests, p.uncountedOthers = 0, 0
	if p.failures > 0 && p.retryAt.IsZero() {
		p.retryAt = now.Add(p.backoff())
	}
	if !p.canSend(now) || !budget.grantToken(now, p) {
		return Batch{}, false
	}
	n := p.batchLength()
	p.sentRecords = slices.Clone(p.buffer[:n])
	p.buffer = slices.Delete(p.buffer, 0, n)
	p.bufferedAt = now
	p.recountDeferred()
	p.outstanding = true
	return Batch{Version: p.version, Records: p.sentRecords}, true
}

// NextBatchAt returns the earliest known time at which NextBatch may return a batch. It
// returns false if there is none before a call of Append or the end of the outstanding
// write. The time is always later than now, so that a caller that waits for it does not
// spin while another partition is ahead in the budget.
func (p *Partition) NextBatchAt(now time.Time, budget *WriteBudget) (time.Time, bool) {
	if p.closed || p.outstanding || len(p.buffer) == 0 {
		return time.Time{}, false
	}
	earliest := now.Add(time.Millisecond)
	notBefore := func(t time.Time) {
		if t.After(earliest) {
			earliest = t
		}
	}
	notBefore(budget.NextTokenAt(now))
	notBefore(p.retryAt)
	if p.deferredRecords == len(p.buffer) {
		notBefore(p.bufferedAt.Add(maxDeferDuration))
	}
	return earliest, true
}

// HandleCommitted handles the success of the outstanding write: it applies the records
// of an append and returns them, and returns nil for a compaction. Version is that of
// the partition after the write.
func (p *Partition) HandleCommitted(version Version) []Record {
	if !p.outstanding {
		return nil
	}
	p.version = version
	p.failures, p.retryAt = 0, time.Time{}
	records := p.sentRecords
	p.outstanding, p.sentRecords = false, nil
	if p.compacting {
		p.compacting = false
		p.state.recordCount = len(records)
		return nil
	}
	for _, r := range records {
		p.state.apply(r)
	}
	return records
}

// HandleConflict closes the partition, because another writer has appended to it. It
// returns the records that are not durable, in the order of Append.
func (p *Partition) HandleConflict() []Record {
	var notDurable []Record
	if !p.compacting {
		notDurable = p.sentRecords
	}
	notDurable = slices.Concat(notDurable, p.buffer)
	p.closed = true
	p.outstanding, p.compacting, p.sentRecords = false, false, nil
	p.buffer, p.deferredRecords = nil, 0
	return notDurable
}

// HandleFailed handles an outstanding write that was not applied. The records of an
// append return to the front of the buffer and are sent again after a backoff; the
// caller may remove obsolete ones with DropBuffered. It always returns nil; the result
// is reserved for records that no caller needs any more.
func (p *Partition) HandleFailed() []Record {
	if !p.outstanding {
		return nil
	}
	p.failures++
	p.retryAt = time.Time{}
	if !p.compacting {
		p.buffer = slices.Concat(p.sentRecords, p.buffer)
		p.recountDeferred()
	}
	p.outstanding, p.compacting, p.sentRecords = false, false, nil
	return nil
}

// DropBuffered removes the buffered records for which drop returns true. Outstanding
// records stay, because they may already be applied. A request whose tombstone is
// removed this way expires again.
func (p *Partition) DropBuffered(drop func(Record) bool) {
	var returned []retentionItem
	p.buffer = slices.DeleteFunc(p.buffer, func(r Record) bool {
		if !drop(r) {
			return false
		}
		if n, ok := p.state.nodes[r.ID]; ok && r.Kind == RecordTombstone {
			returned = append(returned, retentionItem{id: r.ID, startAt: n.SettledAt})
		}
		return true
	})
	p.state.settled = append(returned, p.state.settled...)
	p.recountDeferred()
}

// ExpireSettled appends a RecordTombstone for each settled request whose retention time
// has passed, and returns these requests, at most maxExpirationsPerCall. It also removes
// tombstones after another retention time.
func (p *Partition) ExpireSettled(now time.Time, retentionSeconds int64) []model.RequestID {
	if p.closed {
		return nil
	}
	before := now.Add(-time.Duration(retentionSeconds) * time.Second)
	if !p.compacting {
		p.state.dropTombstones(before)
	}
	ids := p.state.popSettled(before, maxExpirationsPerCall)
	for _, id := range ids {
		p.Append(now, Record{Kind: RecordTombstone, At: now, ID: id})
	}
	return ids
}

// StartCompaction returns the records that replace the whole partition, if it holds
// many more records than its entries need. The compaction is then outstanding; the
// caller writes it and reports the result like that of an append. Every entry is
// copied, so the caller should call this at most every few seconds, and take a token
// from the budget first.
func (p *Partition) StartCompaction() ([]Record, bool) {
	if p.closed || p.outstanding || p.failures > 0 {
		return nil, false
	}
	if p.state.recordCount < minCompactionRecords+compactionRecordsPerEntry*len(p.state.nodes) {
		return nil, false
	}
	p.sentRecords = p.state.compactedRecords()
	p.outstanding, p.compacting = true, true
	return p.sentRecords, true
}

// canSend reports whether a batch could be sent now if the budget granted it.
func (p *Partition) canSend(now time.Time) bool {
	if p.closed || p.outstanding || len(p.buffer) == 0 || now.Before(p.retryAt) {
		return false
	}
	return p.deferredRecords < len(p.buffer) || !now.Before(p.bufferedAt.Add(maxDeferDuration))
}

// backoff returns the delay between the last failure and the next append. It differs
// by partition, so that the partitions do not all retry at once.
func (p *Partition) backoff() time.Duration {
	d := min(minBackoff<<min(p.failures-1, 8), maxBackoff)
	return d + d*time.Duration(p.id%8)/16
}

// recountDeferred recomputes deferredRecords from the buffer.
func (p *Partition) recountDeferred() {
	p.deferredRecords = 0
	for _, r := range p.buffer {
		if r.Kind == RecordTombstone {
			p.deferredRecords++
		}
	}
}

// batchLength returns how many buffered records fit into one append.
func (p *Partition) batchLength() int {
	size := 0
	for i, r := range p.buffer {
		size += r.estimatedBytes()
		if size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(p.buffer)
}
