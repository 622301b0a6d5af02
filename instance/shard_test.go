package instance

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/jobstore"
	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

var _ = Describe("Instance with several shards", func() {
	const shards = 3

	// If an instance asks another shard's leader, the job is unknown; a job that two
	// leaders know runs twice.
	It("runs each job once, by the leader of its shard", func() {
		s := newShardedTestCluster(4, 6, shards, 100*time.Millisecond)
		const jobs = 24
		for n := range jobs {
			status, _ := s.request(s.instances[n%4], http.MethodPost, path(n), twoStepJob)
			Expect(status).To(Equal(http.StatusOK))
		}
		for n := range jobs {
			s.expectCompleted(s.instances[(n+1)%4], n)
		}
		s.expectStartedOnce()
		status, answer := s.request(s.instances[0], http.MethodGet, "/p/", "")
		Expect(status).To(Equal(http.StatusOK))
		Expect(answer["Pending"]).To(BeEquivalentTo(0))
	})

	// Each shard must get a new leader, and the running tasks must continue.
	It("neither loses nor repeats a job when a leading instance is killed", func() {
		s := newShardedTestCluster(4, 6, shards, 400*time.Millisecond)
		old := s.leaderOf(1)
		var others []*Instance
		for _, i := range s.instances {
			if i != old {
				others = append(others, i)
			}
		}
		const jobs = 12
		body := `{"TaskSpec":"spec","Steps":[{"Count":3,"Cpu":2000,"MemMb":256,"EstimateMs":400}]}`
		for n := range jobs {
			status, _ := s.request(others[n%3], http.MethodPost, path(n), body)
			Expect(status).To(Equal(http.StatusOK))
		}
		kill(old)
		for n := range jobs {
			s.expectCompleted(others[n%3], n)
		}
		s.expectStartedOnce()
	})

	// If one instance led all shards, the fleet would have a single leader again.
	It("spreads the shards over the instances", func() {
		s := newShardedTestCluster(6, 3, shards, 100*time.Millisecond)
		Eventually(func() int {
			leaders := map[*Instance]bool{}
			for n := range shards {
				if i := s.leaderOf(n); i != nil {
					leaders[i] = true
				}
			}
			return len(leaders)
		}, eventuallyTimeout, "100ms").Should(Equal(shards))
		for n := range shards {
			_, penalty := s.leaderOf(n).shards()[(n+1)%shards].claimRank()
			Expect(penalty).To(BeNumerically(">=", otherShardRanks))
		}
	})

	// A fleet that starts for the first time would otherwise wait for its map forever.
	It("plans the shards of a new fleet from the registered workers", func(ctx SpecContext) {
		s := newTestCluster(2, 3, 100*time.Millisecond)
		Expect(jobstore.ReadShardMap(ctx, store.New(s.store.Address()))).To(Equal(shardmap.Single()))
	})

	It("derives the shard of a job from its id alone", func() {
		s := newShardedTestCluster(2, 3, shards, 100*time.Millisecond)
		for n := range 20 {
			Expect(s.instances[0].shardOf(jobID(n)).number).To(Equal(s.instances[1].shardOf(jobID(n)).number))
		}
	})
})
