package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/election"
	"fuchsiacross/shardmap"
)

var _ = Describe("The first claim", func() {
	start := time.Unix(1_796_600_000, 0)
	// claimTime returns how long after the start an instance claims where there has never
	// been a leader.
	claimTime := func(settings Settings, slowdown float64) time.Duration {
		s := &shard{instance: &Instance{settings: settings, slowdown: slowdown}, table: &shardTable{shardMap: shardmap.Single()}}
		s.table.shards = []*shard{s}
		e := s.newElection(0)
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			switch e.NextAction(now) {
			case election.Read:
				e.RecordRow(now, now, time.Time{}, 0, false)
			case election.Claim:
				return now.Sub(start)
			}
		}
		return 0
	}

	// The instance of 0.48 processors would become the first leader of a new fleet although
	// its link cannot carry the starts.
	It("comes later at an instance with a slow link", func() {
		slow, fast := Settings{ProcessorShare: 0.48, LinkMegabits: 10}, Settings{ProcessorShare: 0.4, LinkMegabits: 200}
		Expect(claimTime(slow, 0)).To(BeNumerically(">", claimTime(fast, 0)+200*time.Millisecond))
	})

	It("comes later at an instance whose processor is slow", func() {
		settings := Settings{ProcessorShare: 0.8}
		Expect(claimTime(settings, 5)).To(BeNumerically(">", claimTime(settings, 0)+200*time.Millisecond))
	})

	// Deployments of equal instances keep the delay that they have had: 0.6 x 1.2 s.
	It("comes as before at an instance that lacks nothing", func() {
		settings := Settings{ProcessorShare: 0.4, LinkMegabits: 1000, MemoryMegabytes: 284, MaxDescriptors: 10_250}
		Expect(claimTime(settings, 0)).To(Equal(720 * time.Millisecond))
		Expect(claimTime(Settings{ProcessorShare: 0.4}, 0)).To(Equal(720 * time.Millisecond))
	})
})
