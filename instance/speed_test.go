package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Speed", func() {
	// When half of the instances were slow, one slow leader succeeded another, and a tenth
	// of the requests failed although other instances had normal speed.
	It("makes a slow leader yield to an instance with normal speed", func() {
		s := newTestCluster(2, 1, 100*time.Millisecond)
		old := s.currentLeader()
		old.mu.Lock()
		old.slowdown, old.slowdownChangedAt = 6, time.Now()
		old.mu.Unlock()
		Eventually(s.currentLeader, eventuallyTimeout, "50ms").ShouldNot(Or(BeNil(), BeIdenticalTo(old)))
		rank, _ := old.shards()[0].claimRank()
		Expect(rank).To(BeNumerically(">=", slowProcessorRanks))
	})

	// A leader yielded once only: it kept the leadership although a larger instance had
	// become normal again.
	It("allows a leader to yield again later", func() {
		s := &shard{instance: &Instance{}}
		now := time.Now()
		s.recordYield(now)
		Expect(s.canYield(now.Add(9*time.Second), now.Add(-time.Minute))).To(BeFalse())
		Expect(s.canYield(now.Add(11*time.Second), now.Add(-time.Minute))).To(BeTrue())
	})
})
