package shardmap_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/model"
	"fuchsiacross/shardmap"
)

func TestShardmap(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shardmap")
}

// newFleet returns workers in racks of the given size, spread over four data centres.
func newFleet(pool string, workers, rackSize int) []job.Worker {
	var all []job.Worker
	for n := range workers {
		r := n / rackSize
		all = append(all, job.Worker{
			ID: job.WorkerID(fmt.Sprintf("%s-%d", pool, n)), Pool: pool,
			DataCentre: model.DataCentre(fmt.Sprintf("z%d", r%4)), Rack: fmt.Sprintf("r%s-%d", pool, r),
		})
	}
	return all
}

var _ = Describe("Plan", func() {
	cases := []struct {
		name    string
		workers []job.Worker
		shards  int
	}{
		{"no workers", nil, 1},
		{"a small fleet", newFleet("a", 48, 6), 1},
		{"a fleet that one leader serves", newFleet("a", 350, 20), 1},
		// In three shards of 117 workers each, a gang of 40 tasks of 26 GB was offered only
		// 24 workers.
		{"a fleet whose halves would be too small for wide gangs", newFleet("a", 599, 20), 1},
		{"a fleet whose halves are large enough", newFleet("a", 700, 20), 2},
		{"2,800 workers", newFleet("a", 2800, 20), 9},
		{"the largest fleet of the design", newFleet("a", 35000, 20), 64},
		// A shard without workers of a pool could never run the pool's jobs.
		{"a small pool beside a large one", append(newFleet("a", 2800, 20), newFleet("b", 40, 8)...), 1},
		{"a pool that limits the number of shards", append(newFleet("a", 2800, 20), newFleet("b", 900, 20)...), 3},
	}
	for _, c := range cases {
		It(fmt.Sprintf("makes %d shards of %s", c.shards, c.name), func() {
			Expect(shardmap.Plan(c.workers).Shards).To(Equal(c.shards))
		})
	}

	// A shard with too many workers overloads its leader; one with too few refuses jobs
	// that the fleet has capacity for.
	It("divides racks, pools, data centres and jobs evenly", func() {
		workers := append(newFleet("a", 2800, 20), newFleet("b", 1200, 8)...)
		m := shardmap.Plan(workers)
		count := map[string]int{}
		for i := range workers {
			shard, known := m.ShardOfWorker(&workers[i])
			Expect(known).To(BeTrue())
			count[fmt.Sprintf("%s in %d", workers[i].Pool, shard)]++
			count[fmt.Sprintf("%s in %d", workers[i].DataCentre, shard)]++
		}
		for shard := range m.Shards {
			Expect(count[fmt.Sprintf("a in %d", shard)]).To(BeNumerically("~", 2800/m.Shards, 20))
			Expect(count[fmt.Sprintf("b in %d", shard)]).To(BeNumerically("~", 1200/m.Shards, 8))
			for zone := range 4 {
				Expect(count[fmt.Sprintf("z%d in %d", zone, shard)]).To(BeNumerically("~", 1000/m.Shards, 40))
			}
		}
		jobs := make([]int, m.Shards)
		for n := range 100 * m.Shards {
			jobs[m.ShardOfJob(job.ID(fmt.Sprintf("%016x", n)))]++
		}
		Expect(jobs).To(HaveEach(BeNumerically("~", 100, 40)))
	})

	// Two leaders that both own a worker would overcommit it.
	It("assigns a worker to at most one shard, even if its registration is incomplete", func() {
		m := shardmap.Plan(newFleet("a", 2800, 20))
		later := job.Worker{ID: "new", Pool: "a", Rack: "r9-9"}
		first, known := m.ShardOfWorker(&later)
		Expect(known).To(BeTrue())
		later.Leaving = true
		second, _ := m.ShardOfWorker(&later)
		Expect(second).To(Equal(first))
		later.Rack = ""
		_, known = m.ShardOfWorker(&later)
		Expect(known).To(BeFalse())
	})
})
