package requestjournal

import (
	"iter"
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// maxBatchBytes bounds one append. The platform's adapter spreads a batch
	// over rows of 256 KiB in one transaction; 1 MiB keeps a transaction small
	// while it holds the records of several seconds.
	maxBatchBytes = 1 << 20
	// lazyWait is how long records that nobody waits for stay in the buffer
	// when no other record takes them along.
	lazyWait = 10 * time.Second
	// compactionFloor is the number of records below which a journal is not
	// worth a compaction.
	compactionFloor = 4096
	// compactionRatio is the number of records per entry above which a journal
	// is compacted. A request that runs at most once has three live records and
	// a forgotten one has one of four, so a compaction drops at least a fifth.
	compactionRatio = 4
	// maxExpire bounds the work of one call of Expire.
	maxExpire = 1000
	// Failed appends are repeated after firstBackoff, doubled with each further
	// failure up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Batch is one conditional append: Records follow when the partition is at
// Version.
type Batch struct {
	Version Version
	Records []Record
}

// Partition is the state of one partition at its holder: the entries that the
// durable journal amounts to, the records that wait to be appended, and at most
// one outstanding append or compaction. It is not safe for concurrent use.
type Partition struct {
	id          model.Partition
	version     Version
	state       state
	buffer      []Record
	bufferedAt  time.Time // when the first buffered record was appended
	lazy        int       // buffered records that nobody waits for
	requests    int       // records not yet counted by a budget, by kind
	others      int
	outstanding bool
	compacting  bool // the outstanding write is a compaction
	sent        []Record
	failures    int
	retryAt     time.Time // zero until Next has seen the last failure
	closed      bool
}

// Open returns a partition at a version whose durable records are given.
func Open(id model.Partition, version Version, records []Record) *Partition {
	p := &Partition{id: id, version: version}
	p.state.nodes = make(map[model.RequestID]*node, len(records)/2)
	for _, r := range records {
		p.state.apply(r)
	}
	p.state.sortDue()
	return p
}

// ID returns the number of the partition.
func (p *Partition) ID() model.Partition { return p.id }

// Holder returns the last durable claim, or an empty identifier.
func (p *Partition) Holder() (model.InstanceID, model.Incarnation) {
	return p.state.holder, p.state.life
}

// Version returns the version after the last durable append.
func (p *Partition) Version() Version { return p.version }

// Closed reports whether another writer has taken the partition.
func (p *Partition) Closed() bool { return p.closed }

// Outstanding reports whether an append or a compaction is outstanding.
func (p *Partition) HasOutstandingWrite() bool { return p.outstanding }

// Buffered returns the number of records that wait for an append, without the
// outstanding ones.
func (p *Partition) Buffered() int { return len(p.buffer) }

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

// Append buffers records. They are durable once Committed has returned them. A
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
			p.lazy++
		case RecordAccepted:
			p.requests++
		default:
			p.others++
		}
	}
	p.buffer = append(p.buffer, records...)
}

// Next returns the next append when there is one and the budget grants it. The
// caller carries it out and answers with Committed, Conflict or Failed. Next is
// called for every partition after Append, after an answer, and at the time
// that NextAt gives.
func (p *Partition) NextBatch(now time.Time, budget *WriteBudget) (Batch, bool) {
	budget.observe(now, p.requests, p.others)
	p.requests, p.others = 0, 0
	if p.failures > 0 && p.retryAt.IsZero() {
		p.retryAt = now.Add(p.backoff())
	}
	if !p.ready(now) || !budget.grant(now, p) {
		return Batch{}, false
	}
	n := p.batchLength()
	p.sent = slices.Clone(p.buffer[:n])
	p.buffer = slices.Delete(p.buffer, 0, n)
	p.bufferedAt = now
	p.count()
	p.outstanding = true
	return Batch{Version: p.version, Records: p.sent}, true
}

// NextAt returns the earliest time at which Next may return a batch, as far as it
// is known, and false when only Append or an answer can change that. It is
// always later than now, so that a caller that waits for it does not spin while
// another partition is first in the budget.
func (p *Partition) NextAt(now time.Time, budget *WriteBudget) (time.Time, bool) {
	if p.closed || p.outstanding || len(p.buffer) == 0 {
		return time.Time{}, false
	}
	at := now.Add(time.Millisecond)
	later := func(t time.Time) {
		if t.After(at) {
			at = t
		}
	}
	later(budget.NextAt(now))
	later(p.retryAt)
	if p.lazy == len(p.buffer) {
		later(p.bufferedAt.Add(lazyWait))
	}
	return at, true
}

// Committed makes the outstanding records durable and returns them. Version is
// that of the partition after the append. It returns nothing for a compaction.
func (p *Partition) HandleCommitted(version Version) []Record {
	if !p.outstanding {
		return nil
	}
	p.version = version
	p.failures, p.retryAt = 0, time.Time{}
	records := p.sent
	p.outstanding, p.sent = false, nil
	if p.compacting {
		p.compacting = false
		p.state.records = len(records)
		return nil
	}
	for _, r := range records {
		p.state.apply(r)
	}
	return records
}

// Conflict closes the partition, because another writer has appended to it, and
// returns every record that is not durable in the order of Append.
func (p *Partition) HandleConflict() []Record {
	var undone []Record
	if !p.compacting {
		undone = p.sent
	}
	undone = slices.Concat(undone, p.buffer)
	p.closed = true
	p.outstanding, p.compacting, p.sent = false, false, nil
	p.buffer, p.lazy = nil, 0
	return undone
}

// Failed says that the outstanding write was not applied. Its records return to
// the front of the buffer and are sent again after a backoff; records that have
// lost their use meanwhile can be removed with Drop. It returns the records
// whose caller no longer benefits, which are none at present.
func (p *Partition) HandleFailed() []Record {
	if !p.outstanding {
		return nil
	}
	p.failures++
	p.retryAt = time.Time{}
	if !p.compacting {
		p.buffer = slices.Concat(p.sent, p.buffer)
		p.count()
	}
	p.outstanding, p.compacting, p.sent = false, false, nil
	return nil
}

// Drop removes the buffered records for which drop returns true. Outstanding
// records stay, because they may already be applied.
func (p *Partition) DropBuffered(drop func(Record) bool) {
	var kept []due
	p.buffer = slices.DeleteFunc(p.buffer, func(r Record) bool {
		if !drop(r) {
			return false
		}
		if n, ok := p.state.nodes[r.ID]; ok && r.Kind == RecordTombstone {
			kept = append(kept, due{id: r.ID, from: n.SettledAt})
		}
		return true
	})
	p.state.settled = append(kept, p.state.settled...)
	p.count()
}

// Expire appends a RecordForget for settled requests whose retention time has
// passed, and returns them. It also drops the tombstones of requests that were
// forgotten one retention time ago.
func (p *Partition) ExpireSettled(now time.Time, retentionSeconds int64) []model.RequestID {
	if p.closed {
		return nil
	}
	before := now.Add(-time.Duration(retentionSeconds) * time.Second)
	if !p.compacting {
		p.state.dropTombstones(before)
	}
	ids := p.state.takeSettled(before, maxExpire)
	for _, id := range ids {
		p.Append(now, Record{Kind: RecordTombstone, At: now, ID: id})
	}
	return ids
}

// Compaction returns the records that replace the whole journal when that is
// much longer than what it amounts to. The compaction is then outstanding and
// is answered like an append. Every entry is copied, so the caller asks at most
// every few seconds and takes a token from its budget first.
func (p *Partition) StartCompaction() ([]Record, bool) {
	if p.closed || p.outstanding || p.failures > 0 {
		return nil, false
	}
	if p.state.records < compactionFloor+compactionRatio*len(p.state.nodes) {
		return nil, false
	}
	p.sent = p.state.compact()
	p.outstanding, p.compacting = true, true
	return p.sent, true
}

// ready reports whether a batch could be sent now but for the budget.
func (p *Partition) ready(now time.Time) bool {
	if p.closed || p.outstanding || len(p.buffer) == 0 || now.Before(p.retryAt) {
		return false
	}
	return p.lazy < len(p.buffer) || !now.Before(p.bufferedAt.Add(lazyWait))
}

// backoff returns the time between the last failure and the next append. It
// differs by partition, so that partitions do not return all at once.
func (p *Partition) backoff() time.Duration {
	d := min(firstBackoff<<min(p.failures-1, 8), maxBackoff)
	return d + d*time.Duration(p.id%8)/16
}

// count counts the lazy records in the buffer anew.
func (p *Partition) count() {
	p.lazy = 0
	for _, r := range p.buffer {
		if r.Kind == RecordTombstone {
			p.lazy++
		}
	}
}

// batchLength returns how many buffered records fit into one append.
func (p *Partition) batchLength() int {
	size := 0
	for i, r := range p.buffer {
		size += r.size()
		if size > maxBatchBytes && i > 0 {
			return i
		}
	}
	return len(p.buffer)
}
