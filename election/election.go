// Package election decides when an instance claims the leadership of a shard.
//
// While the leader runs and reaches the store, the version of its row in the store changes
// at least every few hundred milliseconds. An instance that no longer gets the leader's
// messages, which confirm that the leader reaches the store, reads the row. If the row has
// not changed for a while, judged by the time at which it was written or by its version,
// the instance claims it on the condition that the version is still the same
// (compare-and-swap). An instance that is cut off from a live leader therefore cannot
// depose it.
//
// # Usage
//
//	e := election.New(capacity, interval, jitter)
//	e.RecordLeaderMessage(now, leaderWriteTime)
//	switch e.NextAction(now) {
//	case election.Read: ...
//	case election.Claim: ...
//	}
package election

import "time"

const (
	// leaderSilenceFactor times the interval of a working leader's messages is the silence
	// after which the row is read. If the link closes, the row is read at once.
	leaderSilenceFactor = 2.75
	// minUnchangedDuration is how long a row must be unchanged before it is claimed: more
	// than three times the interval at which an idle leader writes it. A live leader writes
	// less often if the store is slow, so readTimeFactor times the slowest read is added.
	minUnchangedDuration = 500 * time.Millisecond
	readTimeFactor       = 3
	// writeTimeFactor times the duration of the leader's last write is added instead if
	// that is longer: a write that began while the store was slow stays slow after reads
	// have become fast again.
	writeTimeFactor = 1.25
	// minUnchangedAfterClose replaces minUnchangedDuration if the link to the leader has
	// closed, since the leader's process has probably ended.
	minUnchangedAfterClose = 300 * time.Millisecond
	// readInterval is the time between two reads of the row.
	readInterval = 100 * time.Millisecond
	// rankDelay is added for each instance that is to claim before this one, at most
	// maxRank times; larger instances claim first. With a slow store, the duration of the
	// slowest read replaces it, so that each instance waits for the answer to the claim
	// before its own: concurrent claims delay the writes of the new leader.
	rankDelay = 60 * time.Millisecond
	maxRank   = 10
	// maxInitialDelay is the longest wait of an instance where there has never been a
	// leader. The less it can lead, the longer it waits.
	maxInitialDelay = 1200 * time.Millisecond
	// minReadings is the number of reads that must return the same version before a claim.
	minReadings = 2
)

// Action is the next step of an instance in the election.
type Action int

// The actions.
const (
	Wait Action = iota
	Read
	Claim
)

// Election is what one instance knows about the leadership of a shard. It is not safe for
// concurrent use.
type Election struct {
	capacity        float64 // share of a full shard's load that this instance can lead
	jitter          time.Duration
	silenceTimeout  time.Duration // silence of the leader after which the row is read
	rank            int64
	penalty         int64
	lastHeardAt     time.Time
	leaderWriteTime time.Duration // duration of the leader's last write to the store
	rowVersion      int64
	rowKnown        bool
	vacant          bool          // the row shows that there is no leader
	linkClosed      bool          // the link to the leader has closed
	isSuccessor     bool          // the leader named this instance when it released the leadership
	versionSeenAt   time.Time     // time of the first read that returned this version
	unchangedSince  time.Time     // time at which this version was written, or versionSeenAt
	minReadingsAt   time.Time     // time at which minReadings reads had returned this version
	slowestRead     time.Duration // longest read that returned this version

	readingCount int
	nextReadAt   time.Time
}

// New returns the state of an instance that has not heard from any leader yet. The
// capacity is the share of a full shard's load that it can lead. A working leader sends it a message in each
// interval. The jitter delays its claims, so that several instances do not claim at once.
func New(capacity float64, interval, jitter time.Duration) *Election {
	return &Election{capacity: capacity, jitter: jitter, silenceTimeout: time.Duration(leaderSilenceFactor * float64(interval))}
}

// SetRank sets the number of instances that are to claim before this one. The penalty adds
// further rankDelays for reasons why this instance should not lead; maxRank does not limit
// it.
func (e *Election) SetRank(rank, penalty int64) { e.rank, e.penalty = rank, penalty }

// claimDelay returns how much later than the earliest possible time this instance claims.
func (e *Election) claimDelay() time.Duration {
	if e.isSuccessor {
		return 0
	}
	if e.rowVersion == 0 {
		return e.jitter + time.Duration(max(0, 1-e.capacity)*float64(maxInitialDelay)) + rankDelay*time.Duration(e.penalty)
	}
	return e.jitter + max(rankDelay, e.slowestRead)*time.Duration(min(e.rank, maxRank)) + rankDelay*time.Duration(e.penalty)
}

// RecordLeaderMessage records a message that confirms that the leader reaches the store,
// and the duration of the leader's last write.
func (e *Election) RecordLeaderMessage(now time.Time, leaderWriteTime time.Duration) {
	e.lastHeardAt, e.leaderWriteTime, e.linkClosed, e.isSuccessor = now, leaderWriteTime, false, false
	e.rowKnown, e.readingCount = false, 0
}

// RecordRelease records that the leader has released the leadership with the given version
// of its row. If successor is set, this instance claims at once, otherwise after its delay.
func (e *Election) RecordRelease(now time.Time, version int64, successor bool) {
	e.lastHeardAt, e.linkClosed = time.Time{}, true
	e.rowKnown, e.vacant, e.rowVersion, e.versionSeenAt, e.unchangedSince = true, true, version, now, now
	e.isSuccessor = successor
}

// RecordLinkClosed records that the link to the leader has closed.
func (e *Election) RecordLinkClosed() { e.lastHeardAt, e.linkClosed = time.Time{}, true }

// RecordRow records a read of the leader's row that was sent at sentAt: the version, zero
// if there is no row; the time at which it was written, zero if unknown; and whether its
// leader is known to have ended.
func (e *Election) RecordRow(now, sentAt, writtenAt time.Time, version int64, ended bool) {
	e.vacant = version == 0 || ended
	if !e.rowKnown || e.rowVersion != version {
		e.rowKnown, e.rowVersion, e.versionSeenAt, e.unchangedSince, e.readingCount = true, version, now, now, 0
		e.slowestRead, e.isSuccessor = 0, false
		if !writtenAt.IsZero() && writtenAt.Before(now) {
			e.unchangedSince = writtenAt
		}
	}
	e.slowestRead = max(e.slowestRead, now.Sub(sentAt))
	if e.readingCount++; e.readingCount == minReadings {
		e.minReadingsAt = now
	}
	e.nextReadAt = now.Add(readInterval)
}

// RecordReadFailure records that the row could not be read. Earlier reads no longer count,
// since the row may have changed in the meantime.
func (e *Election) RecordReadFailure(now time.Time) {
	e.rowKnown, e.readingCount = false, 0
	e.nextReadAt = now.Add(readInterval)
}

// RowVersion returns the version of the row that a claim must expect.
func (e *Election) RowVersion() int64 { return e.rowVersion }

// ClaimEvidence returns how long the row has been unchanged and how long its slowest read
// took. Both are zero if the leader is known to have ended.
func (e *Election) ClaimEvidence(now time.Time) (unchanged, slowestRead time.Duration) {
	if e.vacant || !e.rowKnown {
		return 0, 0
	}
	return now.Sub(e.unchangedSince), e.slowestRead
}

// NextAction returns what the instance has to do now.
func (e *Election) NextAction(now time.Time) Action {
	if now.Sub(e.lastHeardAt) < e.silenceTimeout {
		return Wait
	}
	if e.rowKnown && e.vacant && !now.Before(e.versionSeenAt.Add(e.claimDelay())) {
		return Claim
	}
	minUnchanged := minUnchangedDuration
	if e.linkClosed {
		minUnchanged = minUnchangedAfterClose
	}
	claimableAt := e.unchangedSince.Add(minUnchanged + max(readTimeFactor*e.slowestRead, time.Duration(writeTimeFactor*float64(e.leaderWriteTime))))
	if claimableAt.Before(e.minReadingsAt) {
		// All instances may find an old row at the same time; their delays then order the
		// claims.
		claimableAt = e.minReadingsAt
	}
	if e.rowKnown && e.readingCount >= minReadings && !e.vacant && !now.Before(claimableAt.Add(e.claimDelay())) {
		return Claim
	}
	if now.Before(e.nextReadAt) {
		return Wait
	}
	return Read
}
