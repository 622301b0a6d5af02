package placement_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fuchsiacross/model"
	"fuchsiacross/placement"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const gb = 1 << 30

var defaultPolicy = placement.Policy{WaitingWeight: 1, PackingWeight: 1, UrgentHeadroom: 0.1, PreemptionEnabled: true}

// newRequest returns a batch request, modified by the given changes.
func newRequest(id string, class model.Class, changes ...func(*model.Request)) *model.Request {
	r := &model.Request{ID: model.RequestID(id), Team: "a", Workload: "w", Kind: model.KindBatch, Class: class, Tasks: 1}
	for _, change := range changes {
		change(r)
	}
	return r
}

func newAttempt(id string) model.Attempt {
	return model.Attempt{Request: model.RequestID(id), Number: 1}
}

func cpus(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

// newCell returns an index of equal workers w0, w1, … in racks of six.
func newCell(p placement.Policy, workers int, capacity model.Resources) *placement.Index {
	x := placement.New(p, 1)
	for k := range workers {
		x.UpsertWorker(model.Worker{ID: model.WorkerID(fmt.Sprint("w", k)), Rack: model.Rack(fmt.Sprint("r", k/6))}, 1, capacity)
	}
	return x
}

// pickAndReserve picks a worker and reserves the amount. It returns the worker, or
// the empty string if none fits.
func pickAndReserve(x *placement.Index, r *model.Request, amount model.Resources) model.WorkerID {
	c, ok := x.Pick(epoch, placement.Requirements{Request: r, Resources: amount})
	if !ok || !x.Reserve(c.Worker, model.Attempt{Request: r.ID, Number: 1}, r, amount) {
		return ""
	}
	return c.Worker
}

// referenceWorker is a simple reference model of the index's record of one worker.
type referenceWorker struct {
	capacity model.Resources
	tasks    map[model.Attempt]model.Resources
	urgent   map[model.Attempt]bool
	drained  bool
}

func (s *referenceWorker) free() model.Resources {
	free := s.capacity
	for _, r := range s.tasks {
		free = free.Sub(r)
	}
	return free
}

// headroom returns 1/divisor of the capacity, rounded as the index rounds it.
func (s *referenceWorker) headroom(divisor int64) model.Resources {
	return model.Resources{
		MilliCPU:     s.capacity.MilliCPU / divisor,
		MemoryBytes:  s.capacity.MemoryBytes / divisor,
		Accelerators: s.capacity.Accelerators / divisor,
		Slots:        (s.capacity.Slots + divisor - 1) / divisor,
	}
}

func (s *referenceWorker) fits(r model.Resources, class model.Class) bool {
	free := s.free()
	if class != model.ClassUrgent && len(s.tasks) > 0 {
		kept := s.headroom(10)
		for a := range s.tasks {
			if s.urgent[a] {
				kept = kept.Sub(s.tasks[a])
			}
		}
		free = free.Sub(kept.Max(s.headroom(40)))
	}
	return !s.drained && r.Fits(free)
}

func drawResources(t *rapid.T, name string, limit int64) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, 10*limit).Draw(t, name+" cpu") * 100,
		MemoryBytes:  rapid.Int64Range(0, 10*limit).Draw(t, name+" memory") * 100,
		Accelerators: rapid.Int64Range(0, 2).Draw(t, name+" accelerators"),
		Slots:        rapid.Int64Range(0, limit).Draw(t, name+" slots"),
	}
}

var _ = Describe("Index", func() {
	// Guards against three faults: a worker is overcommitted, which breaks
	// invariant 1 of the design; the index misses a worker, so that work waits
	// although resources are free; a release does not undo its reservation and
	// leaks capacity.
	It("agrees with a linear scan after any sequence of calls", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			x := placement.New(defaultPolicy, 7)
			workers := map[model.WorkerID]*referenceWorker{}
			number := uint32(0)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				id := model.WorkerID(fmt.Sprint("w", rapid.IntRange(0, 12).Draw(t, "worker")))
				w := workers[id]
				class := model.Class(rapid.IntRange(1, 3).Draw(t, "class"))
				amount := drawResources(t, "amount", 6)
				number++
				a := model.Attempt{Request: "q", Number: number}
				switch rapid.IntRange(0, 9).Draw(t, "step") {
				case 0, 1:
					capacity := drawResources(t, "capacity", 10)
					if w != nil && !w.free().Sub(w.capacity).Add(capacity).HasNegative() {
						w.capacity = capacity
					} else if w == nil {
						w = &referenceWorker{capacity: capacity, tasks: map[model.Attempt]model.Resources{}, urgent: map[model.Attempt]bool{}}
						workers[id] = w
					}
					x.UpsertWorker(model.Worker{ID: id, Rack: model.Rack(id[:2])}, 1, w.capacity)
				case 2:
					got := x.RemoveWorker(id)
					if w != nil {
						g.Expect(got).To(HaveLen(len(w.tasks)))
						delete(workers, id)
					}
				case 3:
					if w != nil {
						w.drained = !w.drained
						x.SetDrained(id, w.drained)
					}
				case 4:
					if w != nil {
						for a := range w.tasks {
							before := x.TotalReserved()
							at, ok := x.Release(a)
							g.Expect(ok).To(BeTrue())
							g.Expect(at).To(Equal(id))
							g.Expect(x.TotalReserved()).To(Equal(before.Sub(w.tasks[a])))
							delete(w.tasks, a)
							break
						}
					}
				case 5:
					ok := x.Reserve(id, a, newRequest("q", class), amount)
					g.Expect(ok).To(Equal(w != nil && !w.drained && amount.Fits(w.free())))
					if ok {
						w.tasks[a], w.urgent[a] = amount, class == model.ClassUrgent
					}
				default:
					kind := rapid.SampledFrom([]model.Kind{model.KindBatch, model.KindService}).Draw(t, "kind")
					r := newRequest("q", class, func(r *model.Request) { r.Kind = kind })
					c, ok := x.Pick(epoch, placement.Requirements{Request: r, Resources: amount})
					fits := false
					for _, s := range workers {
						fits = fits || s.fits(amount, class)
					}
					g.Expect(ok).To(Equal(fits))
					if ok {
						g.Expect(workers[c.Worker].fits(amount, class)).To(BeTrue())
						g.Expect(x.Reserve(c.Worker, a, r, amount)).To(BeTrue())
						w := workers[c.Worker]
						w.tasks[a], w.urgent[a] = amount, class == model.ClassUrgent
					}
				}
				var total, reserved, free model.Resources
				for v := range x.Workers() {
					s := workers[v.Worker.ID]
					g.Expect(v.Capacity.Sub(v.Reserved)).To(Equal(s.free()))
					g.Expect(v.Reserved.Fits(v.Capacity)).To(BeTrue())
					total, reserved = total.Add(v.Capacity), reserved.Add(v.Reserved)
					if !s.drained {
						free = free.Add(s.free())
					}
				}
				g.Expect(x.Len()).To(Equal(len(workers)))
				g.Expect(x.TotalCapacity()).To(Equal(total))
				g.Expect(x.TotalReserved()).To(Equal(reserved))
				g.Expect(x.FreeCapacity()[0].Free).To(Equal(free))
			}
		})
	})

	// Guards against overstated free capacity of a worker that is taken over from
	// another instance: the attempts that run there count, even beyond the capacity.
	It("counts running attempts beyond the capacity", func() {
		x := newCell(defaultPolicy, 1, cpus(4))
		for k := range 3 {
			x.AddRunningAttempt("w0", model.TaskReport{Attempt: newAttempt(fmt.Sprint(k)), Resources: cpus(2), Class: model.ClassStandard})
		}
		Expect(x.TotalReserved()).To(Equal(cpus(6)))
		Expect(pickAndReserve(x, newRequest("u", model.ClassUrgent), cpus(1))).To(BeEmpty())
		Expect(x.FreeCapacity()[0].Free).To(Equal(model.Resources{}))
		Expect(x.RemoveWorker("w0")).To(HaveLen(3))
		Expect(x.TotalReserved()).To(Equal(model.Resources{}))
	})

	// Guards against a wrong refusal of a request that could run, and against a
	// refusal without the dimension that is exceeded.
	It("returns the dimension in which a request exceeds every worker", func() {
		x := placement.New(defaultPolicy, 1)
		_, ok := x.CanEverFit(cpus(1 << 30))
		Expect(ok).To(BeTrue(), "nothing is known without workers")
		x.UpsertWorker(model.Worker{ID: "big"}, 1, model.Resources{MilliCPU: 32_000, MemoryBytes: 64})
		x.UpsertWorker(model.Worker{ID: "gpu"}, 1, model.Resources{MilliCPU: 8000, MemoryBytes: 128, Accelerators: 2})
		x.SetDrained("gpu", true)
		tests := []struct {
			r    model.Resources
			want string
		}{
			{model.Resources{MilliCPU: 32_000, MemoryBytes: 64}, ""},
			{model.Resources{Accelerators: 2}, ""},
			{model.Resources{MilliCPU: 32_001}, "processors"},
			{model.Resources{MemoryBytes: 129}, "memory"},
			{model.Resources{Slots: 1}, "slots"},
			{model.Resources{MilliCPU: 9000, Accelerators: 1}, "accelerators"},
		}
		for _, test := range tests {
			d, ok := x.CanEverFit(test.r)
			Expect(d).To(Equal(test.want))
			Expect(ok).To(Equal(test.want == ""))
		}
	})

	// Guards against urgent work that has to wait because other work fills the cell.
	It("keeps headroom for urgent work", func() {
		x := newCell(defaultPolicy, 2, model.Resources{MilliCPU: 10_000, Slots: 8})
		for k := range 40 {
			pickAndReserve(x, newRequest(fmt.Sprint(k), model.ClassStandard), cpus(1))
		}
		Expect(x.TotalReserved()).To(Equal(cpus(18)))
		Expect(pickAndReserve(x, newRequest("u1", model.ClassUrgent), cpus(1))).NotTo(BeEmpty())
		Expect(pickAndReserve(x, newRequest("u2", model.ClassUrgent), cpus(1))).NotTo(BeEmpty())
		Expect(pickAndReserve(x, newRequest("u3", model.ClassUrgent), cpus(1))).To(BeEmpty())
	})

	// Guards against a policy whose weights have no effect. Without packing, small
	// tasks on all workers leave no worker free for a large one. Without spreading,
	// urgent tasks fill one worker while others are idle.
	It("packs or spreads according to the weights", func() {
		tests := []struct {
			policy placement.Policy
			large  bool
		}{
			{placement.Policy{PackingWeight: 1}, true},
			{placement.Policy{WaitingWeight: 1}, false},
		}
		for _, test := range tests {
			x := newCell(test.policy, 3, cpus(8))
			for k := range 3 {
				pickAndReserve(x, newRequest(fmt.Sprint(k), model.ClassUrgent), cpus(2))
			}
			Expect(pickAndReserve(x, newRequest("large", model.ClassStandard), cpus(8)) != "").To(Equal(test.large))
		}
	})

	// Guards against choices for a gang that count the same free amount twice, so that
	// its tasks never start together.
	It("chooses workers that fit several tasks at the same time", func() {
		x := newCell(placement.Policy{PackingWeight: 1}, 4, cpus(4))
		gang := placement.Requirements{Request: newRequest("g", model.ClassStandard), Resources: cpus(3)}
		choices := x.PickMany(epoch, gang, 9)
		Expect(choices).To(HaveLen(4))
		Expect(x.TotalReserved()).To(Equal(model.Resources{}))
		for k, c := range choices {
			Expect(x.Reserve(c.Worker, newAttempt(fmt.Sprint(k)), gang.Request, cpus(3))).To(BeTrue())
		}
	})

	// Guards against the loss of all tasks of a service with one rack.
	It("spreads a service over racks", func() {
		x := newCell(defaultPolicy, 24, cpus(32))
		req := placement.Requirements{
			Request:   newRequest("s", model.ClassStandard, func(r *model.Request) { r.Kind = model.KindService }),
			Resources: cpus(1),
		}
		perRack := map[string]int{}
		for _, c := range x.PickMany(epoch, req, 8) {
			var n int
			_, err := fmt.Sscanf(string(c.Worker), "w%d", &n)
			Expect(err).NotTo(HaveOccurred())
			perRack[fmt.Sprint("r", n/6)]++
			req.ServiceWorkers = append(req.ServiceWorkers, c.Worker)
		}
		Expect(perRack).To(Equal(map[string]int{"r0": 2, "r1": 2, "r2": 2, "r3": 2}))
		req.ServiceWorkers = slices.DeleteFunc(req.ServiceWorkers, func(w model.WorkerID) bool { return w >= "w12" && w <= "w17" })
		c, _ := x.Pick(epoch, req)
		Expect(c.Worker >= "w12" && c.Worker <= "w17").To(BeTrue(), "the rack that lost its tasks gets the replacement")
	})

	// Guards against preemption of more work than necessary, of the same or a more
	// urgent class, or of work that the document protects.
	It("selects the cheapest victims", func() {
		x := newCell(defaultPolicy, 3, cpus(8))
		preemptible := func(r *model.Request) { r.Preemptible = true }
		tests := []struct {
			worker model.WorkerID
			id     string
			class  model.Class
			amount int64
			change func(*model.Request)
		}{
			{"w0", "old", model.ClassBackground, 4, preemptible},
			{"w0", "new", model.ClassBackground, 3, preemptible},
			{"w0", "kept", model.ClassBackground, 1, func(*model.Request) {}},
			{"w1", "protected", model.ClassBackground, 8, func(*model.Request) {}},
			{"w2", "standard", model.ClassStandard, 8, preemptible},
		}
		for _, test := range tests {
			Expect(x.Reserve(test.worker, newAttempt(test.id), newRequest(test.id, test.class, test.change), cpus(test.amount))).To(BeTrue())
		}
		urgent := placement.Requirements{Request: newRequest("u", model.ClassUrgent), Resources: cpus(4)}
		w, victims, ok := x.SelectVictims(epoch, urgent)
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(model.WorkerID("w0")))
		Expect(victims).To(Equal([]model.Attempt{newAttempt("old")}))
		urgent.Resources = cpus(7)
		w, _, _ = x.SelectVictims(epoch, urgent)
		Expect(w).To(Equal(model.WorkerID("w0")), "two background tasks are cheaper than one standard task")
		urgent.ExcludedWorkers = []model.WorkerID{"w0", "w2"}
		_, _, ok = x.SelectVictims(epoch, urgent)
		Expect(ok).To(BeFalse())
	})

	// Guards against the starvation of a large request by small tasks that take each
	// free part of a worker.
	It("holds a worker until a large request fits", func() {
		x := newCell(placement.Policy{WaitingWeight: 1}, 2, cpus(8))
		for k := range 16 {
			Expect(pickAndReserve(x, newRequest(fmt.Sprint(k), model.ClassStandard), cpus(1))).NotTo(BeEmpty())
		}
		large := placement.Requirements{Request: newRequest("large", model.ClassStandard), Resources: cpus(6)}
		half := placement.Requirements{Request: newRequest("half", model.ClassStandard), Resources: cpus(4)}
		_, ok := x.HoldWorker(half)
		Expect(ok).To(BeFalse(), "it fits without a hold")
		held, ok := x.HoldWorker(large)
		Expect(ok).To(BeTrue())
		for k := range 16 {
			w, _ := x.Release(newAttempt(fmt.Sprint(k)))
			_, fits := x.Pick(epoch, large)
			if fits {
				break
			}
			got := pickAndReserve(x, newRequest(fmt.Sprint("small", k), model.ClassStandard), cpus(1))
			Expect(got != "").To(Equal(w != held))
		}
		Expect(pickAndReserve(x, large.Request, large.Resources)).To(Equal(held))
		for v := range x.Workers() {
			Expect(v.HeldFor).To(BeEmpty())
		}
	})
})
