package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("A blocked step with advice", func() {
	const full = 14
	service := job.Step{Tasks: full, MaxPerWorker: 1, LongRunning: true, Demand: demand(16, 4)}
	newBlocked := func(step job.Step) *simulation {
		sim := newSimulation(48, 16, drafts, plain)
		sim.setLanes(5)
		sim.allows = func(_ job.StepID, w job.WorkerID) bool { return w < "w14" || w >= "w48" }
		for n := range 48 {
			w := sim.workers[job.WorkerID(fmt.Sprintf("w%02d", n))]
			if n < full {
				w.worker.Labels = []string{"large"}
				sim.apply(dispatch.WorkerListed{Worker: w.worker})
			}
		}
		sim.advance(200 * time.Millisecond)
		service.RequiredLabel = "large"
		sim.submit(newJob(1, "plain", service))
		sim.advance(time.Second)
		sim.submit(newJob(2, "drafts", step))
		sim.advance(8 * time.Second)
		Expect(sim.startedAt).NotTo(HaveKey(id(2)))
		return sim
	}
	join := func(sim *simulation, from, to int) {
		for n := from; n < to; n++ {
			w := sim.addFakeWorker(job.WorkerID(fmt.Sprintf("w%02d", n)), 16)
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}
	}
	tasks := job.Step{Tasks: 4, Demand: demand(8, 4), EstimateMilliseconds: 3000}
	gang := tasks
	gang.Gang = true

	tests := []struct {
		name    string
		step    job.Step
		arrange func(sim *simulation)
	}{
		// The answers that kept the tickets of full workers valid began the delay anew after which
		// few further workers are asked about, so that these never were.
		{"starts on workers that join", tasks, func(sim *simulation) { join(sim, 48, 58) }},
		{"starts as a gang on workers that join", gang, func(sim *simulation) { join(sim, 48, 58) }},
		// The answer about the first of them would delay the call for the others.
		{"starts on workers that join one after another", gang, func(sim *simulation) {
			for n := range 4 {
				join(sim, 48+n, 49+n)
				sim.advance(400 * time.Millisecond)
			}
		}},
		{"starts on workers that become free without having been asked about", gang, func(sim *simulation) {
			join(sim, 48, 52)
			for n := 48; n < 52; n++ {
				w := sim.workers[job.WorkerID(fmt.Sprintf("w%02d", n))]
				w.worker.Labels = []string{"new"}
				sim.apply(dispatch.WorkerListed{Worker: w.worker})
			}
			sim.submit(newJob(3, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, RequiredLabel: "new", Demand: demand(16, 4), EstimateMilliseconds: 5000}))
			sim.advance(5500 * time.Millisecond)
		}},
		// The advice on a worker holds for its kind, and a new incarnation may have another one.
		{"starts on a worker that returns as another kind", tasks, func(sim *simulation) {
			before := sim.allows
			w := sim.workers["w40"]
			sim.allows = func(s job.StepID, id job.WorkerID) bool {
				return before(s, id) || id == "w40" && len(w.worker.Labels) > 0
			}
			w.restart(sim.now)
			w.worker.Labels = []string{"other"}
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}},
	}
	for _, t := range tests {
		It(t.name, func() {
			sim := newBlocked(t.step)
			t.arrange(sim)
			sim.advance(2500 * time.Millisecond)
			Expect(sim.startedAt).To(HaveKey(id(2)))
			sim.advance(10 * time.Second)
			s, _ := sim.reducer.Status(id(2))
			Expect(s).To(Equal(job.StateCompleted))
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// Calls are expensive: few workers that do not give a gang the room that it lacks are asked
	// about later.
	It("makes no call at once for few workers that do not help", func() {
		wide := gang
		wide.Tasks = 8
		sim := newBlocked(wide)
		join(sim, 48, 49)
		sim.advance(time.Second)
		before := len(sim.calls)
		join(sim, 49, 50)
		sim.advance(2500 * time.Millisecond)
		for _, c := range sim.calls[before:] {
			Expect(c.Workers).NotTo(Equal([]job.WorkerID{"w49"}))
		}
		sim.advance(2500 * time.Millisecond)
		Expect(sim.calls).To(ContainElement(HaveField("Workers", []job.WorkerID{"w49"})))
	})
})
