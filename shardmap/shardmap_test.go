package shardmap_test

import (
	"fmt"
	"slices"
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

// shareRacks puts the workers of a second pool into the racks of the first.
func shareRacks(first, second []job.Worker) []job.Worker {
	for i := range second {
		second[i].Rack = first[i*len(first)/len(second)].Rack
	}
	return append(first, second...)
}

var _ = Describe("Plan", func() {
	const large, small = 0.8, 0.4 // shares of a processor
	cases := []struct {
		name    string
		workers []job.Worker
		share   float64 // of a processor that the largest instances have
		shards  int
	}{
		{"no workers", nil, large, 1},
		{"a small fleet", newFleet("a", 48, 6), small, 1},
		{"a fleet that one leader serves", newFleet("a", 350, 20), large, 1},
		// In three shards of 117 workers each, a gang of 40 tasks of 26 GB was offered only
		// 24 workers.
		{"a fleet whose halves would be too small for wide gangs", newFleet("a", 460, 20), large, 1},
		{"the same with smaller instances", newFleet("a", 460, 20), small, 1},
		// One leader of 540 workers fell behind and did not recover.
		{"a fleet that one leader cannot serve", newFleet("a", 540, 8), large, 2},
		{"the same with smaller instances, for the sake of wide gangs", newFleet("a", 540, 8), small, 2},
		{"a fleet whose halves are large enough", newFleet("a", 700, 20), large, 2},
		{"2,800 workers", newFleet("a", 2800, 20), large, 7},
		{"2,800 workers and smaller instances", newFleet("a", 2800, 20), small, 11},
		{"the largest fleet of the design", newFleet("a", 35000, 20), large, 64},
		// A shard without workers of a pool could never run the pool's jobs.
		{"a small pool beside a large one", append(newFleet("a", 2800, 20), newFleet("b", 40, 8)...), large, 1},
		{"two pools in the same racks", shareRacks(newFleet("a", 2800, 20), newFleet("b", 740, 5)), large, 3},
		{"a pool that limits the number of shards", append(newFleet("a", 2800, 20), newFleet("b", 740, 20)...), large, 3},
	}
	for _, c := range cases {
		It(fmt.Sprintf("makes %d shards of %s", c.shards, c.name), func() {
			Expect(shardmap.Plan(c.workers, c.share).Shards).To(Equal(c.shards))
		})
	}

	// Five instances planned when 539 of 540 workers were registered, and stored one shard for
	// good.
	It("does not depend on a missing registration", func() {
		for racks := 20; racks <= 400; racks++ {
			all := newFleet("a", racks*8, 8)
			for _, missing := range []int{0, len(all) / 2, len(all) - 1} {
				Expect(shardmap.Plan(slices.Delete(slices.Clone(all), missing, missing+1), large)).To(Equal(shardmap.Plan(all, large)), "%d workers", len(all))
			}
		}
	})

	// A shard with too many workers overloads its leader; one with too few refuses jobs
	// that the fleet has capacity for.
	It("divides racks, pools, data centres and jobs evenly", func() {
		workers := append(newFleet("a", 2800, 20), newFleet("b", 1200, 8)...)
		m := shardmap.Plan(workers, large)
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
		m := shardmap.Plan(newFleet("a", 2800, 20), large)
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
