package dispatch_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

func waitingJob(n, tasks int, spec string) job.Job {
	return job.Job{
		ID: job.ID(fmt.Sprintf("%016x", n)), Queue: "q", Pool: "pool",
		Definition: job.Definition{Spec: spec, Steps: []job.Step{{Tasks: tasks, Demand: model.Resources{MilliCPU: 1000}, EstimateMilliseconds: 50}}},
	}
}

// Guards against an estimate that lets a leader keep far more than its memory holds, or that
// refuses jobs with most of the memory free.
func TestMemoryOfJobsIsEstimated(t *testing.T) {
	tests := []struct {
		name        string
		count       int
		tasks, spec int
	}{
		{"small jobs", 8000, 1, 0},
		{"long specs", 4000, 1, 3900},
		{"many tasks", 200, 2000, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			r := dispatch.New(dispatch.Options{Token: 1, FirstLeader: true})
			now := time.UnixMilli(1_700_000_000_000)
			r.Apply(now, dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: []job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 1}}}}, dispatch.JobsLoaded{})
			before := heapBytes()
			estimate := int64(0)
			for n := range test.count {
				j := waitingJob(n, test.tasks, strings.Repeat(string(rune('a'+n%26)), test.spec))
				estimate += dispatch.MemoryBytes(&j.Definition)
				r.Apply(now, dispatch.JobAccepted{Job: j})
			}
			used := heapBytes() - before
			runtime.KeepAlive(r)
			t.Logf("%d bytes for each job, estimated %d", used/int64(test.count), estimate/int64(test.count))
			g.Expect(estimate).To(BeNumerically(">", used*2/3))
			g.Expect(estimate).To(BeNumerically("<", used*3))
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a few jobs whose due occurrences take the memory of a leader, and against
// occurrences that are forgotten.
func TestOccurrencesNeedRoom(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	r := dispatch.New(dispatch.Options{Token: 1, FirstLeader: true, MaxBacklogBytes: 1 << 20})
	r.Apply(now, dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: []job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 1}}}}, dispatch.JobsLoaded{})
	before := heapBytes()
	for n := range 50 {
		j := waitingJob(n, 1, "")
		j.Definition.Occurrences, j.Definition.IntervalMilliseconds = 1_000_000, 1
		now = now.Add(time.Second)
		effects := r.Apply(now, dispatch.JobAccepted{Job: j}, dispatch.Tick{})
		if effects.Backlog != nil {
			g.Expect(effects.Backlog.Refusals).To(BeEmpty(), "half of the limit is left to new jobs")
		}
	}
	g.Expect(heapBytes() - before).To(BeNumerically("<", 2<<20))
	runtime.KeepAlive(r)
}

// Guards against a leader that accepts jobs without end, and against refusals that outlive them.
func TestBacklogIsReported(t *testing.T) {
	g := NewWithT(t)
	now := time.UnixMilli(1_700_000_000_000)
	j := waitingJob(0, 1, "")
	size := dispatch.MemoryBytes(&j.Definition)
	r := dispatch.New(dispatch.Options{Token: 1, FirstLeader: true, MaxBacklogBytes: 8 * size, RetentionSeconds: 10})
	apply := func(events ...any) []string {
		now = now.Add(300 * time.Millisecond)
		effects := r.Apply(now, events...)
		for _, id := range effects.Removals {
			r.Apply(now, dispatch.JobRemoved{ID: id})
		}
		if effects.Save != nil {
			r.Apply(now, dispatch.Saved{Number: effects.Save.Number})
		}
		var queues []string
		if effects.Backlog != nil {
			for _, refusal := range effects.Backlog.Refusals {
				queues = append(queues, refusal.Queue)
			}
		}
		return queues
	}
	apply(dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: []job.Queue{{Name: "q", Pool: "pool", MaxAttempts: 1}, {Name: "other", Pool: "pool", MaxAttempts: 1}}}}, dispatch.JobsLoaded{})
	for n := range 5 {
		g.Expect(apply(dispatch.JobAccepted{Job: waitingJob(n, 1, "")})).To(BeEmpty(), "job %d", n)
	}
	g.Expect(apply(dispatch.JobAccepted{Job: waitingJob(5, 1, "")})).To(Equal([]string{"q"}), "three quarters are in use")
	g.Expect(apply(dispatch.Tick{})).To(Equal([]string{"q"}), "the report is repeated")
	for n := range 6 {
		apply(dispatch.CancelAccepted{ID: waitingJob(n, 1, "").ID})
	}
	g.Expect(apply(dispatch.Tick{})).To(Equal([]string{"q"}), "clients may ask for the cancelled jobs")
	for range 60 * 4 {
		apply(dispatch.Tick{})
	}
	g.Expect(apply(dispatch.Tick{})).To(BeEmpty(), "the retention time is over")
}
