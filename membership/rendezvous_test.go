package membership_test

import (
	"fmt"
	"math"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
)

// workersOf returns workers spread evenly over the data centres of a cell.
func workersOf(cell []model.Instance, n int) []model.Worker {
	centres := min(15, len(cell))
	workers := make([]model.Worker, n)
	for i := range workers {
		workers[i] = model.Worker{ID: model.WorkerID(fmt.Sprintf("worker-%05d", i)), DataCentre: cell[i%centres].DataCentre}
	}
	return workers
}

func owners(v *membership.View, workers []model.Worker) []model.InstanceID {
	out := make([]model.InstanceID, len(workers))
	for i := range workers {
		out[i] = v.PreferredOwner(workers[i])
	}
	return out
}

var _ = Describe("Owner", func() {
	// A worker that changes its owner needlessly has no scheduler during the
	// handover.
	It("moves only the workers of the instance that joins or leaves", func() {
		oneCentre := cellOf(7)
		for i := range oneCentre {
			oneCentre[i].DataCentre = "north"
		}
		tests := []struct {
			name    string
			cell    []model.Instance
			workers int
		}{
			{"7 instances in 1 data centre", oneCentre, 3500},
			{"7 instances in 7 data centres", cellOf(7), 3500},
			{"100 instances in 15 data centres", cellOf(100), 35_000},
		}
		for _, test := range tests {
			workers := workersOf(test.cell, test.workers)
			v := viewOf(test.cell, 0)
			before := owners(v, workers)
			leaving := test.cell[3]
			v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: leaving.ID, Incarnation: 1, DataCentre: leaving.DataCentre, Draining: true})
			after := owners(v, workers)
			moved := 0
			for i := range workers {
				if before[i] != after[i] {
					moved++
					Expect(before[i]).To(Equal(leaving.ID), test.name)
				}
				Expect(after[i]).NotTo(Equal(leaving.ID), test.name)
			}
			fmt.Fprintf(GinkgoWriter, "%s: %.2f%% of the workers move, %.2f%% is one instance's even share\n",
				test.name, 100*float64(moved)/float64(test.workers), 100/float64(len(test.cell)))
			v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: leaving.ID, Incarnation: 2, DataCentre: leaving.DataCentre})
			Expect(owners(v, workers)).To(Equal(before), test.name)
		}
	})

	// An instance with more workers than its weight allows for exceeds the 3.6% of
	// a core that it may use.
	It("balances by weight", func() {
		tests := []struct {
			instances int
			weight    float64 // of the first instance
		}{{7, 1}, {7, 2}, {100, 1}, {100, 0.5}}
		for _, test := range tests {
			cell := cellOf(test.instances)
			for i := range cell {
				cell[i].DataCentre = "north"
			}
			cell[0].Weight = test.weight
			const workers = 35_000
			held := map[model.InstanceID]int{}
			for _, id := range owners(viewOf(cell, 1), workersOf(cell, workers)) {
				held[id]++
			}
			total := float64(test.instances) - 1 + test.weight
			worst := 0.0
			for i := range cell {
				want := workers * cell[i].Weight / total
				deviation := math.Abs(float64(held[cell[i].ID])-want) / want
				worst = max(worst, deviation)
				// Five standard deviations of the binomial distribution.
				Expect(deviation).To(BeNumerically("<", 5/math.Sqrt(want)), string(cell[i].ID))
			}
			fmt.Fprintf(GinkgoWriter, "%d instances, weight %v of the first: it holds %.2f%%, largest deviation of any %.1f%%\n",
				test.instances, test.weight, 100*float64(held[cell[0].ID])/workers, 100*worst)
		}
	})

	// Instances with the same live members must choose the same owners and
	// partition holders, or they pass work back and forth for ever. Each data centre
	// needs exactly one poller of the document's head: without one it misses edits,
	// and each further one adds load on the store.
	It("is the same at every instance", func() {
		for _, cell := range [][]model.Instance{cellOfToday(), cellOf(100)} {
			workers := workersOf(cell, 200)
			first := viewOf(cell, 0)
			pollers, centres := map[model.DataCentre]int{}, map[model.DataCentre]int{}
			for i := range cell {
				v := viewOf(cell, i)
				Expect(owners(v, workers)).To(Equal(owners(first, workers)))
				for p := range model.Partition(64) {
					Expect(v.PreferredHolder(p)).To(Equal(first.PreferredHolder(p)))
				}
				centres[cell[i].DataCentre] = 1
				if v.PollsDocumentHead() {
					pollers[cell[i].DataCentre]++
				}
			}
			Expect(pollers).To(Equal(centres))
		}
	})

	// The workers of a data centre without a live instance must not stay idle.
	It("falls back to instances of other data centres", func() {
		cell := cellOf(7)
		v := membership.New(cell[0], 1, 1)
		v.UpdateList(startTime, cell)
		Expect(v.PreferredOwner(model.Worker{ID: "w", DataCentre: cell[3].DataCentre})).To(Equal(cell[0].ID))
		v.Drain()
		Expect(v.PreferredOwner(model.Worker{ID: "w", DataCentre: cell[3].DataCentre})).To(BeEmpty())
	})
})
