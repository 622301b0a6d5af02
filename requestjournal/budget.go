package requestjournal

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindowSeconds is the time constant of the moving average of the record
	// rate. With one second the average follows a burst before the burst has spent
	// more than burstTokens.
	rateWindowSeconds = 1.0
	// recordsPerRequest is the number of records of an at-most-once request:
	// acceptance, intent and outcome.
	recordsPerRequest = 3
	// fullLoadFactor is the ratio of the record rate to the write rate from which
	// on the journal is fully loaded. With 200 writes/s for the cell this means 667
	// requests/s, so that at 1,000 requests/s an instance with less than the mean
	// load is fully loaded as well.
	fullLoadFactor = 10
	// fullLoadRecordsPerWrite is the number of records per write at full load: those
	// of 22 requests. This makes 45 writes per 1,000 requests, a tenth below the
	// target of 50.
	fullLoadRecordsPerWrite = 22 * recordsPerRequest
	// burstTokens is the capacity of the token bucket: the number of writes that an
	// idle instance may make at once. With 4 tokens, seven instances stay below 300
	// writes/s at a write rate of 200 for the cell.
	burstTokens = 4
	// minWriteRate, in writes/s, lets an instance with a share of zero still write.
	minWriteRate = 0.5
	// waiterTimeout is how long a partition that waits for a token keeps its place
	// without requesting the token again.
	waiterTimeout = time.Second
)

// waiter is a partition that waits for a token.
type waiter struct {
	partition   *Partition
	requestedAt time.Time
}

// WriteBudget limits the writes of an instance to the store to the instance's share of
// the cell's writes. It is a token bucket that all partitions of the instance use. At a
// low record rate, tokens accrue at the write rate. As the record rate grows, they
// accrue more slowly, so that each write carries more records. It is not safe for
// concurrent use.
type WriteBudget struct {
	writeRate   float64 // writes/s
	tokens      float64
	requestRate float64 // accepted requests/s, moving average
	recordRate  float64 // records/s, moving average
	updatedAt   time.Time
	waiters     []waiter                                        // the longest waiting first
	tokenRate   func(recordRate, writeRate float64) (w float64) // writes/s
}

// NewWriteBudget returns a full budget with the given write rate.
func NewWriteBudget(now time.Time, writesPerSecond float64) *WriteBudget {
	return &WriteBudget{writeRate: max(writesPerSecond, minWriteRate), tokens: burstTokens, updatedAt: now, tokenRate: adaptiveTokenRate}
}

// SetRate changes the write rate.
func (b *WriteBudget) SetRate(now time.Time, writesPerSecond float64) {
	b.advance(now)
	b.writeRate = max(writesPerSecond, minWriteRate)
}

// TakeToken takes a token and returns true, or returns false if there is none.
func (b *WriteBudget) TakeToken(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NextTokenAt returns the earliest time at which a token is available if the record
// rate does not change.
func (b *WriteBudget) NextTokenAt(now time.Time) time.Time {
	b.advance(now)
	if b.tokens >= 1 {
		return now
	}
	seconds := (1 - b.tokens) / b.tokenRate(b.effectiveRecordRate(), b.writeRate)
	return now.Add(time.Duration(math.Ceil(seconds*1e9)) + time.Microsecond)
}

// adaptiveTokenRate returns how many tokens accrue per second. While the record rate
// does not exceed the write rate, each record may have its own write. Above that, the
// records per write grow as a power of the record rate, from one up to
// fullLoadRecordsPerWrite where the record rate is fullLoadFactor times the write rate.
func adaptiveTokenRate(recordRate, writeRate float64) float64 {
	load := recordRate / writeRate
	if load <= 1 {
		return writeRate
	}
	power := math.Log(fullLoadRecordsPerWrite) / math.Log(fullLoadFactor)
	batch := min(math.Pow(load, power), fullLoadRecordsPerWrite)
	return min(writeRate, recordRate/batch)
}

// observeRecords adds appended records to the moving averages. Acceptances are counted
// separately and stand for recordsPerRequest records each, because the target is in
// writes per request and requests that may run more than once have fewer records.
func (b *WriteBudget) observeRecords(now time.Time, requests, others int) {
	b.advance(now)
	b.requestRate += float64(requests) / rateWindowSeconds
	b.recordRate += float64(requests+others) / rateWindowSeconds
}

// effectiveRecordRate returns the record rate that determines the token rate.
func (b *WriteBudget) effectiveRecordRate() float64 {
	return max(b.recordRate, b.requestRate*recordsPerRequest)
}

// advance adds the tokens accrued since the last call and decays the moving averages.
func (b *WriteBudget) advance(now time.Time) {
	seconds := now.Sub(b.updatedAt).Seconds()
	if seconds <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = min(b.tokens+seconds*b.tokenRate(b.effectiveRecordRate(), b.writeRate), burstTokens)
	decay := math.Exp(-seconds / rateWindowSeconds)
	b.requestRate *= decay
	b.recordRate *= decay
}

// grantToken takes a token for p if p has waited longest; otherwise p joins the waiting
// partitions or keeps its place. Partitions ahead of p that cannot send any more, or
// have not requested a token for waiterTimeout, lose their place.
func (b *WriteBudget) grantToken(now time.Time, p *Partition) bool {
	i := slices.IndexFunc(b.waiters, func(w waiter) bool { return w.partition == p })
	if i < 0 {
		b.waiters = append(b.waiters, waiter{partition: p, requestedAt: now})
	} else {
		b.waiters[i].requestedAt = now
	}
	for b.waiters[0].partition != p {
		w := b.waiters[0]
		if w.partition.canSend(now) && now.Sub(w.requestedAt) < waiterTimeout {
			return false
		}
		b.waiters = b.waiters[1:]
	}
	if !b.TakeToken(now) {
		return false
	}
	b.waiters = b.waiters[1:]
	return true
}
