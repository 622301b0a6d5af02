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

var ordinary = placement.Policy{WaitingWeight: 1, PackingWeight: 1, UrgentHeadroom: 0.1, PreemptionEnabled: true}

// request returns a batch request that changes may refine.
func request(id string, class model.Class, changes ...func(*model.Request)) *model.Request {
	r := &model.Request{ID: model.RequestID(id), Team: "a", Workload: "w", Kind: model.KindBatch, Class: class, Tasks: 1}
	for _, change := range changes {
		change(r)
	}
	return r
}

func attempt(id string) model.Attempt { return model.Attempt{Request: model.RequestID(id), Number: 1} }

func cpus(n int64) model.Resources { return model.Resources{MilliCPU: n * 1000} }

// cell returns an index of equal workers w0, w1, … in racks of six.
func cell(p placement.Policy, workers int, capacity model.Resources) *placement.Index {
	x := placement.New(p, 1)
	for k := range workers {
		x.UpsertWorker(model.Worker{ID: model.WorkerID(fmt.Sprint("w", k)), Rack: model.Rack(fmt.Sprint("r", k/6))}, 1, capacity)
	}
	return x
}

// put picks and reserves, and returns the worker or the empty string.
func put(x *placement.Index, r *model.Request, amount model.Resources) model.WorkerID {
	c, ok := x.Pick(epoch, placement.Requirements{Request: r, Resources: amount})
	if !ok || !x.Reserve(c.Worker, model.Attempt{Request: r.ID, Number: 1}, r, amount) {
		return ""
	}
	return c.Worker
}

// shadow repeats the account of one worker in the plainest way.
type shadow struct {
	capacity model.Resources
	tasks    map[model.Attempt]model.Resources
	urgent   map[model.Attempt]bool
	drained  bool
}

func (s *shadow) free() model.Resources {
	free := s.capacity
	for _, r := range s.tasks {
		free = free.Sub(r)
	}
	return free
}

// headroom returns a part of the capacity as the index rounds it.
func (s *shadow) headroom(part int64) model.Resources {
	return model.Resources{
		MilliCPU:     s.capacity.MilliCPU / part,
		MemoryBytes:  s.capacity.MemoryBytes / part,
		Accelerators: s.capacity.Accelerators / part,
		Slots:        (s.capacity.Slots + part - 1) / part,
	}
}

func (s *shadow) fits(r model.Resources, class model.Class) bool {
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

func drawResources(t *rapid.T, name string, most int64) model.Resources {
	return model.Resources{
		MilliCPU:     rapid.Int64Range(0, 10*most).Draw(t, name+" cpu") * 100,
		MemoryBytes:  rapid.Int64Range(0, 10*most).Draw(t, name+" memory") * 100,
		Accelerators: rapid.Int64Range(0, 2).Draw(t, name+" accelerators"),
		Slots:        rapid.Int64Range(0, most).Draw(t, name+" slots"),
	}
}

var _ = Describe("Index", func() {
	// An overcommitted worker breaks invariant 1; a worker that the index misses
	// leaves work waiting beside free room; a release that does not undo its
	// reservation leaks capacity.
	It("agrees with a plain scan after any schedule", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			x := placement.New(ordinary, 7)
			workers := map[model.WorkerID]*shadow{}
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
						w = &shadow{capacity: capacity, tasks: map[model.Attempt]model.Resources{}, urgent: map[model.Attempt]bool{}}
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
							was := x.TotalReserved()
							at, ok := x.Release(a)
							g.Expect(ok).To(BeTrue())
							g.Expect(at).To(Equal(id))
							g.Expect(x.TotalReserved()).To(Equal(was.Sub(w.tasks[a])))
							delete(w.tasks, a)
							break
						}
					}
				case 5:
					ok := x.Reserve(id, a, request("q", class), amount)
					g.Expect(ok).To(Equal(w != nil && !w.drained && amount.Fits(w.free())))
					if ok {
						w.tasks[a], w.urgent[a] = amount, class == model.ClassUrgent
					}
				default:
					kind := rapid.SampledFrom([]model.Kind{model.KindBatch, model.KindService}).Draw(t, "kind")
					r := request("q", class, func(r *model.Request) { r.Kind = kind })
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

	// A worker taken over must count what runs there, even when that is more
	// than it holds.
	It("adopts running attempts beyond the capacity", func() {
		x := cell(ordinary, 1, cpus(4))
		for k := range 3 {
			x.AddRunningAttempt("w0", model.TaskReport{Attempt: attempt(fmt.Sprint(k)), Resources: cpus(2), Class: model.ClassStandard})
		}
		Expect(x.TotalReserved()).To(Equal(cpus(6)))
		Expect(put(x, request("u", model.ClassUrgent), cpus(1))).To(BeEmpty())
		Expect(x.FreeCapacity()[0].Free).To(Equal(model.Resources{}))
		Expect(x.RemoveWorker("w0")).To(HaveLen(3))
		Expect(x.TotalReserved()).To(Equal(model.Resources{}))
	})

	// A request that can never run must be refused with the reason, and one that
	// could must not be.
	It("names the dimension that rules a request out", func() {
		x := placement.New(ordinary, 1)
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

	// Urgent work has to find room when everything else fills the cell.
	It("keeps headroom for urgent work", func() {
		x := cell(ordinary, 2, model.Resources{MilliCPU: 10_000, Slots: 8})
		for k := range 40 {
			put(x, request(fmt.Sprint(k), model.ClassStandard), cpus(1))
		}
		Expect(x.TotalReserved()).To(Equal(cpus(18)))
		Expect(put(x, request("u1", model.ClassUrgent), cpus(1))).NotTo(BeEmpty())
		Expect(put(x, request("u2", model.ClassUrgent), cpus(1))).NotTo(BeEmpty())
		Expect(put(x, request("u3", model.ClassUrgent), cpus(1))).To(BeEmpty())
	})

	// Small tasks strewn over all workers leave no hole for a large one; urgent
	// tasks on one worker fill it while others are idle.
	It("follows the weights", func() {
		tests := []struct {
			policy placement.Policy
			large  bool
		}{
			{placement.Policy{PackingWeight: 1}, true},
			{placement.Policy{WaitingWeight: 1}, false},
		}
		for _, test := range tests {
			x := cell(test.policy, 3, cpus(8))
			for k := range 3 {
				put(x, request(fmt.Sprint(k), model.ClassUrgent), cpus(2))
			}
			Expect(put(x, request("large", model.ClassStandard), cpus(8)) != "").To(Equal(test.large))
		}
	})

	// Choices for a gang that count the same room twice would never start together.
	It("chooses room for several tasks together", func() {
		x := cell(placement.Policy{PackingWeight: 1}, 4, cpus(4))
		gang := placement.Requirements{Request: request("g", model.ClassStandard), Resources: cpus(3)}
		choices := x.PickMany(epoch, gang, 9)
		Expect(choices).To(HaveLen(4))
		Expect(x.TotalReserved()).To(Equal(model.Resources{}))
		for k, c := range choices {
			Expect(x.Reserve(c.Worker, attempt(fmt.Sprint(k)), gang.Request, cpus(3))).To(BeTrue())
		}
	})

	// One rack failure must not take all tasks of a service.
	It("spreads a service over racks", func() {
		x := cell(ordinary, 24, cpus(32))
		ask := placement.Requirements{
			Request:   request("s", model.ClassStandard, func(r *model.Request) { r.Kind = model.KindService }),
			Resources: cpus(1),
		}
		perRack := map[string]int{}
		for _, c := range x.PickMany(epoch, ask, 8) {
			var n int
			_, err := fmt.Sscanf(string(c.Worker), "w%d", &n)
			Expect(err).NotTo(HaveOccurred())
			perRack[fmt.Sprint("r", n/6)]++
			ask.ServiceWorkers = append(ask.ServiceWorkers, c.Worker)
		}
		Expect(perRack).To(Equal(map[string]int{"r0": 2, "r1": 2, "r2": 2, "r3": 2}))
		ask.ServiceWorkers = slices.DeleteFunc(ask.ServiceWorkers, func(w model.WorkerID) bool { return w >= "w12" && w <= "w17" })
		c, _ := x.Pick(epoch, ask)
		Expect(c.Worker >= "w12" && c.Worker <= "w17").To(BeTrue(), "the rack that lost its tasks gets the replacement")
	})

	// Preemption must stop as little as possible, and never work of the same or
	// a more urgent class or work that the document protects.
	It("names the cheapest victims", func() {
		x := cell(ordinary, 3, cpus(8))
		yields := func(r *model.Request) { r.Preemptible = true }
		tests := []struct {
			worker model.WorkerID
			id     string
			class  model.Class
			amount int64
			change func(*model.Request)
		}{
			{"w0", "old", model.ClassBackground, 4, yields},
			{"w0", "new", model.ClassBackground, 3, yields},
			{"w0", "kept", model.ClassBackground, 1, func(*model.Request) {}},
			{"w1", "protected", model.ClassBackground, 8, func(*model.Request) {}},
			{"w2", "standard", model.ClassStandard, 8, yields},
		}
		for _, test := range tests {
			Expect(x.Reserve(test.worker, attempt(test.id), request(test.id, test.class, test.change), cpus(test.amount))).To(BeTrue())
		}
		urgent := placement.Requirements{Request: request("u", model.ClassUrgent), Resources: cpus(4)}
		w, victims, ok := x.SelectVictims(epoch, urgent)
		Expect(ok).To(BeTrue())
		Expect(w).To(Equal(model.WorkerID("w0")))
		Expect(victims).To(Equal([]model.Attempt{attempt("old")}))
		urgent.Resources = cpus(7)
		w, _, _ = x.SelectVictims(epoch, urgent)
		Expect(w).To(Equal(model.WorkerID("w0")), "two background tasks are cheaper than one standard task")
		urgent.ExcludedWorkers = []model.WorkerID{"w0", "w2"}
		_, _, ok = x.SelectVictims(epoch, urgent)
		Expect(ok).To(BeFalse())
	})

	// Small work that takes each bit of room would starve a large request.
	It("holds a worker until a large request fits", func() {
		x := cell(placement.Policy{WaitingWeight: 1}, 2, cpus(8))
		for k := range 16 {
			Expect(put(x, request(fmt.Sprint(k), model.ClassStandard), cpus(1))).NotTo(BeEmpty())
		}
		large := placement.Requirements{Request: request("large", model.ClassStandard), Resources: cpus(6)}
		half := placement.Requirements{Request: request("half", model.ClassStandard), Resources: cpus(4)}
		_, ok := x.HoldWorker(half)
		Expect(ok).To(BeFalse(), "it finds room without")
		held, ok := x.HoldWorker(large)
		Expect(ok).To(BeTrue())
		for k := range 16 {
			w, _ := x.Release(attempt(fmt.Sprint(k)))
			_, fits := x.Pick(epoch, large)
			if fits {
				break
			}
			got := put(x, request(fmt.Sprint("small", k), model.ClassStandard), cpus(1))
			Expect(got != "").To(Equal(w != held))
		}
		Expect(put(x, large.Request, large.Resources)).To(Equal(held))
		for v := range x.Workers() {
			Expect(v.Held).To(BeEmpty())
		}
	})
})
