package election_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/election"
)

func TestElection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "election")
}

var _ = Describe("Election", func() {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

	// runUntilClaim lets an instance act every 50 ms on a row of the given versions, and
	// returns the time until its claim.
	runUntilClaim := func(e *election.Election, begin time.Time, limit, answerTime time.Duration, version func(time.Time) int64, released bool, writtenAt ...time.Time) (time.Duration, bool) {
		for now := begin; now.Before(begin.Add(limit)); now = now.Add(50 * time.Millisecond) {
			switch e.NextAction(now) {
			case election.Read:
				written := time.Time{}
				if len(writtenAt) > 0 {
					written = writtenAt[0]
				}
				e.RecordRow(now.Add(answerTime), now, written, version(now), released)
				now = now.Add(answerTime)
			case election.Claim:
				return now.Sub(begin), true
			}
		}
		return 0, false
	}
	unchanged := func(time.Time) int64 { return 7 }
	noRow := func(time.Time) int64 { return 0 }
	writtenEvery := func(interval time.Duration) func(time.Time) int64 {
		return func(now time.Time) int64 { return 1 + int64(now.Sub(start)/interval) }
	}

	type expectation struct {
		name       string
		answerTime time.Duration // answer time of the store
		version    func(time.Time) int64
		released   bool
		claims     bool
		within     time.Duration
	}
	cases := []expectation{
		{"claims the row of a dead leader within a second", 25 * time.Millisecond, unchanged, false, true, time.Second},
		{"claims at once a row that its leader has released", 25 * time.Millisecond, unchanged, true, true, 200 * time.Millisecond},
		{"claims where there has never been a leader", 25 * time.Millisecond, noRow, false, true, 1500 * time.Millisecond},
		// An instance that is cut off from a live leader must not depose it.
		{"does not claim the row of a leader that writes it", 25 * time.Millisecond, writtenEvery(300 * time.Millisecond), false, false, 0},
		// A live leader writes less often if the store is slow.
		{"does not claim the row of a leader whose store is slow", 600 * time.Millisecond, writtenEvery(1300 * time.Millisecond), false, false, 0},
	}
	for _, c := range cases {
		It(c.name, func() {
			e := election.New(0.4, 200*time.Millisecond, 0)
			after, claims := runUntilClaim(e, start, 10*time.Second, c.answerTime, c.version, c.released)
			Expect(claims).To(Equal(c.claims))
			if c.claims {
				Expect(after).To(BeNumerically("<=", c.within))
			}
		})
	}

	It("waits while it gets messages from the leader", func() {
		e := election.New(0.4, 200*time.Millisecond, 0)
		e.RecordLeaderMessage(start, 0)
		Expect(e.NextAction(start.Add(500 * time.Millisecond))).To(Equal(election.Wait))
		e.RecordLinkClosed()
		Expect(e.NextAction(start.Add(501 * time.Millisecond))).To(Equal(election.Read))
	})

	// While the row could not be read, the leader may have written it.
	It("starts over after a failed read", func() {
		e := election.New(0.4, 200*time.Millisecond, 0)
		e.RecordRow(start, start, time.Time{}, 7, false)
		e.RecordReadFailure(start.Add(time.Second))
		_, claims := runUntilClaim(e, start.Add(time.Second), 500*time.Millisecond, 25*time.Millisecond, unchanged, false)
		Expect(claims).To(BeFalse())
	})

	// With a slow store, an instance that read a released row before it claimed the row
	// left the shard without a leader for 2.6 s.
	It("claims a released row without reading it", func() {
		successor, other := election.New(0.4, 200*time.Millisecond, 100*time.Millisecond), election.New(0.4, 200*time.Millisecond, 100*time.Millisecond)
		for _, e := range []*election.Election{successor, other} {
			e.RecordLeaderMessage(start, 0)
		}
		now := start.Add(10 * time.Millisecond)
		successor.RecordRelease(now, 9, true)
		other.RecordRelease(now, 9, false)
		Expect(successor.NextAction(now)).To(Equal(election.Claim))
		Expect(successor.RowVersion()).To(BeEquivalentTo(9))
		Expect(other.NextAction(now)).NotTo(Equal(election.Claim))
		Expect(other.NextAction(now.Add(100 * time.Millisecond))).To(Equal(election.Claim))
	})

	// The instance began to read the row after 0.55 s of silence and then waited for
	// another 0.5 s, although the row had not been written since before the silence.
	It("counts the time during which a row was unchanged before the first read", func() {
		e := election.New(0.4, 200*time.Millisecond, 0)
		e.RecordLeaderMessage(start, 0)
		after, claims := runUntilClaim(e, start, time.Second, 25*time.Millisecond, unchanged, false, start.Add(20*time.Millisecond))
		Expect(claims).To(BeTrue())
		Expect(after).To(BeNumerically("<=", 800*time.Millisecond))
	})

	// A leader that writes every 0.3 s is alive, even if its messages do not arrive.
	It("does not claim a row that was written recently", func() {
		e := election.New(0.4, 200*time.Millisecond, 0)
		for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(50 * time.Millisecond) {
			Expect(e.NextAction(now)).NotTo(Equal(election.Claim))
			written := start.Add(now.Sub(start).Truncate(300 * time.Millisecond))
			e.RecordRow(now, now, written, writtenEvery(300*time.Millisecond)(now), false)
		}
	})

	// After the store had become fast again, a leader was replaced during a write that had
	// begun before: reads took 25 ms, its write 0.85 s (kraamnet, slow-store; 0.7 s without
	// a leader).
	It("does not claim the row of a leader whose writes take longer than reads", func() {
		e := election.New(0.4, 200*time.Millisecond, 0)
		e.RecordLeaderMessage(start, 850*time.Millisecond)
		written := func(now time.Time) int64 { return 1 + int64(now.Sub(start)/(900*time.Millisecond)) }
		for now := start; now.Before(start.Add(1700 * time.Millisecond)); now = now.Add(50 * time.Millisecond) {
			Expect(e.NextAction(now)).NotTo(Equal(election.Claim))
			e.RecordRow(now, now.Add(-25*time.Millisecond), start.Add(now.Sub(start).Truncate(900*time.Millisecond)), written(now), false)
		}
	})

	// With a slow store, six claims of one row took 0.4 s each, one after another, and
	// delayed the first write of the new leader (kraamnet, slow-store).
	It("delays each rank by the answer time of the store", func() {
		const answerTime = 300 * time.Millisecond
		first, second := election.New(0.8, 200*time.Millisecond, 0), election.New(0.8, 200*time.Millisecond, 0)
		first.SetRank(0, 0)
		second.SetRank(4, 0)
		a, _ := runUntilClaim(first, start, 10*time.Second, answerTime, unchanged, false)
		b, _ := runUntilClaim(second, start, 10*time.Second, answerTime, unchanged, false)
		Expect(b - a).To(BeNumerically(">=", 3*answerTime))
	})

	// Instances that find an old row at the same time would all claim it at once, and the
	// smallest might become the leader.
	It("lets larger instances claim an old row first", func() {
		large, small := election.New(0.8, 200*time.Millisecond, 0), election.New(0.2, 200*time.Millisecond, 0)
		large.SetRank(0, 0)
		small.SetRank(5, 0)
		first, _ := runUntilClaim(large, start, 5*time.Second, 25*time.Millisecond, unchanged, false, start.Add(-time.Minute))
		second, _ := runUntilClaim(small, start, 5*time.Second, 25*time.Millisecond, unchanged, false, start.Add(-time.Minute))
		Expect(second - first).To(BeNumerically(">=", 200*time.Millisecond))
	})

	It("lets larger instances claim first", func() {
		large, small := election.New(0.8, 200*time.Millisecond, 0), election.New(0.2, 200*time.Millisecond, 0)
		large.SetRank(0, 0)
		small.SetRank(5, 0)
		first, _ := runUntilClaim(large, start, 5*time.Second, 25*time.Millisecond, unchanged, false)
		second, _ := runUntilClaim(small, start, 5*time.Second, 25*time.Millisecond, unchanged, false)
		Expect(first).To(BeNumerically("<", second))
	})

	// Instances that get the messages of another shard's leader less often would read its
	// row all the time.
	It("waits for several message intervals before it reads the row", func() {
		for _, interval := range []time.Duration{200 * time.Millisecond, time.Second} {
			e := election.New(0.4, interval, 0)
			e.RecordLeaderMessage(start, 0)
			Expect(e.NextAction(start.Add(2 * interval))).To(Equal(election.Wait))
			Expect(e.NextAction(start.Add(3 * interval))).To(Equal(election.Read))
		}
	})

	// Without the penalty, one instance would claim all shards.
	It("lets an instance that leads no other shard claim first, also in a new fleet", func() {
		for _, rowVersion := range []func(time.Time) int64{unchanged, noRow} {
			idle, busy := election.New(0.8, 200*time.Millisecond, 0), election.New(0.8, 200*time.Millisecond, 0)
			idle.SetRank(0, 0)
			busy.SetRank(0, 5)
			first, _ := runUntilClaim(idle, start, 5*time.Second, 25*time.Millisecond, rowVersion, false)
			second, _ := runUntilClaim(busy, start, 5*time.Second, 25*time.Millisecond, rowVersion, false)
			Expect(second - first).To(BeNumerically(">=", 200*time.Millisecond))
		}
	})
})
