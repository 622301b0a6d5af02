package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// A job that was too late to earn anything waited until no other job was left.
func TestStepIsPassedOverWithoutBound(t *testing.T) {
	const (
		workers, processors = 6, 16
		blockedFor          = 20 * time.Second // until then all workers are full
		narrowLength        = time.Second
		length              = 2 * time.Second
	)
	objective := time.Duration(plain.Stretch)*length + time.Duration(plain.LatencyMilliseconds)*time.Millisecond
	tests := []struct {
		name string
		wide job.Step
	}{
		{"gang of most workers", job.Step{Tasks: 4, Gang: true, Demand: demand(processors, 1)}},
		{"task of a whole worker", job.Step{Tasks: 1, Demand: demand(processors, 1)}},
		{"tasks of whole workers without a gang", job.Step{Tasks: 3, Demand: demand(processors, 1)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newSimulation(workers, processors, plain)
			sim.taskLength = func(task job.TaskID) time.Duration {
				switch task.Job {
				case id(1):
					return blockedFor + time.Duration(task.Index)*narrowLength/2 // one worker after another becomes free
				case id(2):
					return length
				}
				return narrowLength
			}
			sim.submit(newJob(1, "plain", job.Step{Tasks: workers, Demand: demand(processors, 1), EstimateMilliseconds: 500}))
			sim.advance(100 * time.Millisecond)
			test.wide.EstimateMilliseconds = float64(length.Milliseconds())
			sim.submit(newJob(2, "plain", test.wide))
			// A fifth more narrow work than the workers can do.
			const every = narrowLength * 5 / (6 * workers * (processors / 5))
			n := 10
			var next func()
			next = func() {
				n++
				sim.submit(newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(5, 1), EstimateMilliseconds: float64(narrowLength.Milliseconds())}))
				if sim.now.Sub(sim.start) < time.Minute {
					sim.schedule(every, next)
				}
			}
			sim.schedule(blockedFor-narrowLength, next)
			sim.advance(2 * time.Minute)
			g.Expect(sim.startedAt).To(HaveKey(id(2)))
			waited := sim.startedAt[id(2)].Sub(sim.start.Add(blockedFor))
			g.Expect(waited).To(BeNumerically("<", objective+2*narrowLength))
			g.Expect(sim.completedAt).To(HaveKey(id(2)))
			g.Expect(sim.noteCounts[dispatch.NoteStepOverdue]).To(BeNumerically(">=", 1))
			g.Expect(sim.violations).To(BeEmpty())
		})
	}
}
