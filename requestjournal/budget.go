package requestjournal

import (
	"math"
	"slices"
	"time"
)

const (
	// rateWindowSeconds is the time constant of the record rate's average. One
	// second follows a burst before it has spent more than the burst of tokens.
	rateWindowSeconds = 1.0
	// recordsPerRequest is the number of records of a request that runs at most
	// once.
	recordsPerRequest = 3
	// loadRatio is the number of records per write of the share from which on
	// the journal counts as loaded. With a share of 200 writes/s for the cell it
	// is 667 requests/s, so that at 1,000 requests/s an instance with less than
	// the mean load is loaded as well.
	loadRatio = 10
	// loadedBatch is the number of records per write under load: 22 requests,
	// or 45 writes per 1,000 requests, a tenth below the target of 50.
	loadedBatch = 22 * recordsPerRequest
	// burstTokens is the number of writes that an idle instance may make at
	// once, so that seven instances stay below 300 writes/s with a share of 200.
	burstTokens = 4
	// minShare keeps an instance without a share able to write, in writes/s.
	minShare = 0.5
	// waiterTimeout is how long a partition that waits for a token keeps its
	// place without asking again.
	waiterTimeout = time.Second
)

// waiter is a partition that waits for a token.
type waiter struct {
	partition *Partition
	asked     time.Time
}

// Budget is an instance's share of the cell's writes to the store, as a token
// bucket that all partitions of the instance share. Tokens accrue at the share
// while records are rare. As their rate grows, tokens accrue more slowly, so
// that a write carries more records. It is not safe for concurrent use.
type WriteBudget struct {
	share    float64 // writes/s
	tokens   float64
	requests float64 // accepted requests/s, averaged
	records  float64 // records/s, averaged
	at       time.Time
	waiting  []waiter                                    // longest first
	pace     func(recordRate, share float64) (w float64) // writes/s
}

// NewBudget returns a full budget with a share in writes/s.
func NewWriteBudget(now time.Time, writesPerSecond float64) *WriteBudget {
	return &WriteBudget{share: max(writesPerSecond, minShare), tokens: burstTokens, at: now, pace: pace}
}

// SetShare changes the share.
func (b *WriteBudget) SetRate(now time.Time, writesPerSecond float64) {
	b.advance(now)
	b.share = max(writesPerSecond, minShare)
}

// Take takes a token when there is one.
func (b *WriteBudget) TakeToken(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NextAt returns the earliest time at which a token is available, as far as the
// present record rate tells.
func (b *WriteBudget) NextAt(now time.Time) time.Time {
	b.advance(now)
	if b.tokens >= 1 {
		return now
	}
	seconds := (1 - b.tokens) / b.pace(b.rate(), b.share)
	return now.Add(time.Duration(math.Ceil(seconds*1e9)) + time.Microsecond)
}

// pace returns how many tokens accrue in a second. The records per write grow
// as a power of the record rate, from one where the share suffices for a write
// per record to loadedBatch where the rate is loadRatio times the share.
func pace(recordRate, share float64) float64 {
	load := recordRate / share
	if load <= 1 {
		return share
	}
	power := math.Log(loadedBatch) / math.Log(loadRatio)
	batch := min(math.Pow(load, power), loadedBatch)
	return min(share, recordRate/batch)
}

// observe counts records that were appended. Acceptances stand for all records
// of their request, because the target counts requests and requests that may
// run more than once have fewer records.
func (b *WriteBudget) observe(now time.Time, requests, others int) {
	b.advance(now)
	b.requests += float64(requests) / rateWindowSeconds
	b.records += float64(requests+others) / rateWindowSeconds
}

// rate returns the record rate that the pace is set by.
func (b *WriteBudget) rate() float64 { return max(b.records, b.requests*recordsPerRequest) }

// advance adds the tokens that have accrued and ages the record rate.
func (b *WriteBudget) advance(now time.Time) {
	seconds := now.Sub(b.at).Seconds()
	if seconds <= 0 {
		return
	}
	b.at = now
	b.tokens = min(b.tokens+seconds*b.pace(b.rate(), b.share), burstTokens)
	aged := math.Exp(-seconds / rateWindowSeconds)
	b.requests *= aged
	b.records *= aged
}

// grant gives a token to the partition that has waited longest. Partitions that
// no longer need one, or have not asked for waiterTimeout, lose their place.
func (b *WriteBudget) grant(now time.Time, p *Partition) bool {
	i := slices.IndexFunc(b.waiting, func(w waiter) bool { return w.partition == p })
	if i < 0 {
		b.waiting = append(b.waiting, waiter{partition: p, asked: now})
	} else {
		b.waiting[i].asked = now
	}
	for b.waiting[0].partition != p {
		w := b.waiting[0]
		if w.partition.ready(now) && now.Sub(w.asked) < waiterTimeout {
			return false
		}
		b.waiting = b.waiting[1:]
	}
	if !b.TakeToken(now) {
		return false
	}
	b.waiting = b.waiting[1:]
	return true
}
