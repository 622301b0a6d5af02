package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Tasks that last", func() {
	const tasks, perWorker = 6, 2
	watch := job.Step{Tasks: tasks, LongRunning: true, MaxPerWorker: perWorker, Demand: demand(4, 4), EstimateMilliseconds: 500}
	// atWork returns how many tasks run, and the most of them on one worker.
	atWork := func(sim *simulation) (total, most int) {
		for _, w := range sim.workers {
			if !w.unreachable {
				total += len(w.running)
				most = max(most, len(w.running))
			}
		}
		return total, most
	}
	newWatch := func() *simulation {
		sim := newSimulation(5, 16, plain)
		sim.submit(newJob(1, "plain", watch))
		sim.advance(time.Second)
		total, most := atWork(sim)
		Expect(total).To(Equal(tasks))
		Expect(most).To(BeNumerically("<=", perWorker))
		return sim
	}
	state := func(sim *simulation) job.State {
		s, _ := sim.reducer.Status(id(1))
		return s
	}

	ends := []job.EndKind{job.EndFailed, job.EndDone}
	for _, kind := range ends {
		It("start again however often they end as "+string(kind)+", until they are cancelled", func() {
			sim := newSimulation(5, 16, plain)
			sim.outcome = func(job.TaskID, int64) job.EndKind { return kind }
			sim.taskLength = func(job.TaskID) time.Duration { return 400 * time.Millisecond }
			sim.submit(newJob(1, "plain", watch))
			sim.advance(6 * time.Second)
			const allowedFailures = 2 // of the queue, for other tasks
			Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(BeNumerically(">", tasks*(allowedFailures+2)))
			Expect(state(sim)).To(Equal(job.StateRunning))
			sim.cancels = append(sim.cancels, dispatch.CancelAccepted{ID: id(1)})
			sim.apply(dispatch.CancelAccepted{ID: id(1)})
			sim.advance(2 * time.Second)
			total, _ := atWork(sim)
			Expect(total).To(BeZero())
			Expect(state(sim)).To(Equal(job.StateCancelled))
		})
	}

	It("are all at work again, and kept apart, after a worker and the leader are lost", func() {
		sim := newWatch()
		for _, w := range sim.workers {
			if len(w.running) == perWorker {
				w.unreachable = true
				sim.schedule(8*time.Second, func() { w.restart(sim.now) })
				break
			}
		}
		sim.loseLeader(300 * time.Millisecond)
		sim.advance(7 * time.Second)
		total, most := atWork(sim)
		Expect(total).To(Equal(tasks))
		Expect(most).To(BeNumerically("<=", perWorker))
		sim.advance(4 * time.Second)
		total, _ = atWork(sim)
		Expect(total).To(Equal(tasks))
		Expect(sim.violations).To(BeEmpty())
	})

	// The workers of a pool are replaced one after the other.
	It("are at work again after each worker has left and come back", func() {
		sim := newWatch()
		for n := range 5 {
			w := sim.workers[job.WorkerID(fmt.Sprintf("w%02d", n))]
			sim.schedule(time.Duration(n)*7*time.Second, func() { w.leave(sim) })
		}
		sim.advance(42 * time.Second)
		total, most := atWork(sim)
		Expect(total).To(Equal(tasks))
		Expect(most).To(BeNumerically("<=", perWorker))
		Expect(sim.violations).To(BeEmpty())
	})
})

var _ = Describe("Tasks near their data", func() {
	// Most jobs of some seconds want the same rack.
	It("run on their rack as long as it has room, and elsewhere when it has none", func() {
		sim := newSimulation(6, 16, plain)
		for n, id := range []job.WorkerID{"w00", "w01", "w02", "w03", "w04", "w05"} {
			w := sim.workers[id]
			w.worker.Rack = fmt.Sprintf("r0-%d", n/2)
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}
		sim.advance(100 * time.Millisecond)
		const wanted, onRack, elsewhere = "r0-1", 8, 4
		sim.submit(newJob(1, "plain", job.Step{Tasks: onRack + elsewhere, DataRack: wanted, Demand: demand(4, 4), EstimateMilliseconds: 2000}))
		sim.advance(time.Second)
		near := 0
		for _, w := range sim.workers {
			if w.worker.Rack == wanted {
				near += len(w.running)
			}
		}
		Expect(near).To(Equal(onRack))
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(onRack + elsewhere))
		Expect(sim.violations).To(BeEmpty())
	})
})
