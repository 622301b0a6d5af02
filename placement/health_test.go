package placement_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/placement"
)

func idempotent(r *model.Request) { r.Idempotent = true }

var _ = Describe("Health", func() {
	// Guards against a worker that fails every attempt at once: it looks idle and
	// would attract most of the work.
	It("quarantines a worker that fails everything, and probes it", func() {
		x := newCell(defaultPolicy, 5, cpus(8))
		changes := 0
		for range 20 {
			if _, changed := x.RecordFailure("w0", epoch); changed {
				changes++
			}
			x.RecordSuccess("w1", epoch)
		}
		Expect(changes).To(Equal(1))
		probe := newRequest("p", model.ClassStandard, idempotent)
		for seconds := 5; seconds <= 20; seconds *= 2 {
			now := epoch.Add(time.Duration(seconds) * time.Second)
			c, _ := x.Pick(now.Add(-time.Second), placement.Requirements{Request: probe, Resources: cpus(1)})
			Expect(c.Worker).NotTo(Equal(model.WorkerID("w0")), "backoff at %d s", seconds)
			c, _ = x.Pick(now, placement.Requirements{Request: newRequest("n", model.ClassStandard), Resources: cpus(1)})
			Expect(c.Worker).NotTo(Equal(model.WorkerID("w0")), "not idempotent")
			c, _ = x.Pick(now, placement.Requirements{Request: probe, Resources: cpus(1)})
			Expect(c.Reason).To(Equal(placement.ReasonProbe))
			Expect(x.Reserve("w0", newAttempt("p"), probe, cpus(1))).To(BeTrue())
			Expect(x.Reserve("w0", newAttempt("p2"), probe, cpus(1))).To(BeFalse(), "one probe at a time")
			x.Release(newAttempt("p"))
			quarantined, changed := x.RecordFailure("w0", epoch)
			Expect(quarantined).To(BeTrue())
			Expect(changed).To(BeFalse())
		}
		Expect(x.Reserve("w0", newAttempt("p"), probe, cpus(1))).To(BeTrue())
		quarantined, changed := x.RecordSuccess("w0", epoch)
		Expect(quarantined).To(BeFalse())
		Expect(changed).To(BeTrue())
		x.Release(newAttempt("p"))
		for v := range x.Workers() {
			Expect(v.Quarantined).To(BeFalse())
			Expect(v.Tasks).To(BeZero())
		}
	})

	// Guards against work that fails on every worker and would put the whole cell in
	// quarantine.
	It("quarantines at most a quarter of the workers when many fail", func() {
		x := newCell(defaultPolicy, 40, cpus(8))
		quarantined := 0
		for k := range 400 { // ten failures in a row on each worker
			if _, changed := x.RecordFailure(model.WorkerID(fmt.Sprint("w", k/10)), epoch); changed {
				quarantined++
			}
		}
		Expect(quarantined).To(BeNumerically("<=", 10))
	})
})

var _ = Describe("Usage", func() {
	// Guards against declarations that are too low, and against an observed amount
	// that exceeds every worker and would keep the work from running at all.
	It("reserves the larger of the declared and the observed amount", func() {
		x := newCell(defaultPolicy, 1, model.Resources{MilliCPU: 8000, MemoryBytes: 64, Slots: 8})
		declared := model.Resources{MilliCPU: 1000, MemoryBytes: 10, Slots: 1}
		tests := []struct {
			workload model.Workload
			samples  int
			used     model.Resources
			want     model.Resources
		}{
			{"few", 7, model.Resources{MilliCPU: 4000, MemoryBytes: 10}, declared},
			{"less", 20, model.Resources{MilliCPU: 500, MemoryBytes: 5}, declared},
			{"more", 20, model.Resources{MilliCPU: 2000, MemoryBytes: 10}, model.Resources{MilliCPU: 2000, MemoryBytes: 10, Slots: 1}},
			{"huge", 20, model.Resources{MilliCPU: 90_000, MemoryBytes: 900}, model.Resources{MilliCPU: 8000, MemoryBytes: 64, Slots: 1}},
		}
		for _, test := range tests {
			for range test.samples {
				x.ObserveUsage("a", test.workload, declared, test.used)
			}
			Expect(x.EffectiveResources("a", test.workload, declared)).To(Equal(test.want), string(test.workload))
		}
	})
})
