package runtimes_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/runtimes"
)

// fleet is a simulated fleet whose workers run tasks of uneven length.
type fleet struct {
	speeds  runtimes.Speeds
	workers []*runtimes.Speed
	factors []float64 // true factors on the length of runs
	random  *rand.Rand
	now     time.Time
}

// newFleet returns a fleet with the given factors in turn, each of them a kind of its own.
func newFleet(count int, factors ...float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), now: time.UnixMilli(1_700_000_000_000)}
	for n := range count {
		w := f.speeds.Join(job.WorkerID(fmt.Sprintf("w%03d", n)))
		w.Describe(fmt.Sprint("kind", n%len(factors)), fmt.Sprint("rack", n%7))
		w.Restart(1)
		f.workers, f.factors = append(f.workers, w), append(f.factors, factors[n%len(factors)])
	}
	return f
}

// run lets workers run steps of a task each, 3 % of which take seven times as long, with
// estimates that are off by a factor and a half.
func (f *fleet) run(rounds int, bias float64, workers ...int) {
	for range rounds {
		for _, n := range workers {
			length := time.Duration(float64(time.Second) * f.factors[n] * math.Exp(0.4*f.random.NormFloat64()))
			if f.random.Float64() < 0.03 {
				length *= 7
			}
			expected := time.Duration(float64(time.Second) * bias)
			f.speeds.ObserveRun(f.workers[n], &runtimes.StepLengths{}, length, expected, 0.5)
		}
		f.now = f.now.Add(300 * time.Millisecond)
		f.speeds.Refresh(f.now)
	}
}

func (f *fleet) all() []int {
	var list []int
	for n := range f.workers {
		list = append(list, n)
	}
	return list
}

var _ = Describe("Speeds", func() {
	slow, fast := 1/0.7, 1/1.7

	It("learns uneven speeds that are unknown at the start, in spite of a heavy tail", func() {
		f := newFleet(30, slow, slow, fast)
		Expect(f.speeds.Uneven()).To(BeFalse())
		f.run(20, 1, f.all()...)
		Expect(f.speeds.Uneven()).To(BeTrue())
		for n, w := range f.workers {
			Expect(w.LogFactor-f.workers[2].LogFactor).To(BeNumerically("~", math.Log(f.factors[n]/fast), 0.25), "%d", n)
			Expect(w.Variance).To(BeNumerically("<", 0.05))
		}
	})

	// The mean of the estimates' errors is no property of workers.
	It("learns the same speeds from biased estimates", func() {
		f := newFleet(30, slow, slow, fast)
		f.run(30, 0.6, f.all()...)
		Expect(f.workers[0].LogFactor - f.workers[2].LogFactor).To(BeNumerically("~", math.Log(slow/fast), 0.25))
		Expect(f.workers[0].LogFactor).To(BeNumerically("~", 0.3, 0.2))
	})

	It("takes the speed of a worker without runs from its kind, with more uncertainty", func() {
		f := newFleet(30, slow, slow, fast)
		f.run(20, 1, f.all()[6:]...)
		Expect(f.workers[2].LogFactor).To(BeNumerically("~", f.workers[8].LogFactor, 0.2))
		Expect(f.workers[0].LogFactor).To(BeNumerically("~", f.workers[9].LogFactor, 0.2))
		Expect(f.workers[2].Variance).To(BeNumerically(">", f.workers[8].Variance))
	})

	// Noise alone must not count as a difference of speeds.
	It("does not take equal or similar workers for uneven ones", func() {
		for _, factors := range [][]float64{{1}, {0.92, 0.92, 1.2}, {0.8, 1, 1.25}} {
			f := newFleet(48, factors...)
			for range 40 {
				f.run(1, 1, f.all()...)
				Expect(f.speeds.Uneven()).To(BeFalse(), "%v", factors)
			}
		}
	})

	It("follows a worker that changes its speed", func() {
		f := newFleet(30, slow, slow, fast)
		f.run(60, 1, f.all()...)
		f.factors[0] = fast
		f.run(25, 1, f.all()...)
		Expect(f.workers[0].LogFactor).To(BeNumerically("~", f.workers[2].LogFactor, 0.35))
	})

	It("forgets a worker's observations with its incarnation", func() {
		f := newFleet(12, slow, slow, fast)
		f.run(20, 1, f.all()...)
		before := f.workers[0].Variance
		f.workers[0].Restart(2)
		f.now = f.now.Add(time.Second)
		f.speeds.Refresh(f.now)
		Expect(f.workers[0].Variance).To(BeNumerically(">", before))
	})
})

var _ = Describe("Placement", func() {
	uneven := func() *fleet {
		f := newFleet(30, 1/0.7, 1/0.7, 1/1.7)
		f.run(30, 1, f.all()...)
		Expect(f.speeds.Uneven()).To(BeTrue())
		return f
	}
	// use fills the fast workers for long enough to count.
	use := func(f *fleet, percent int64) {
		for range 100 {
			for _, w := range f.workers {
				f.speeds.AddUse(w, percent, 100)
			}
			f.now = f.now.Add(100 * time.Millisecond)
			f.speeds.EndUse(f.now)
		}
	}
	// preference returns how much better a fast worker is than a slow one.
	preference := func(f *fleet, n runtimes.Need) float64 {
		p := f.speeds.Placement(n, &runtimes.Forecast{})
		return p.Score(&runtimes.Pace{}, f.workers[0]) - p.Score(&runtimes.Pace{}, f.workers[2])
	}
	second := time.Second

	It("gives work that would be late on slow workers the fast ones, however full they are", func() {
		f := uneven()
		for _, percent := range []int64{0, 50, 100} {
			use(f, percent)
			Expect(preference(f, runtimes.Need{Expected: second, First: second, Second: 3 * second})).To(BeNumerically(">", 0.4), "%d", percent)
		}
	})

	It("keeps work that is in time anywhere off the fast workers when they are full", func() {
		f := uneven()
		need := runtimes.Need{Expected: second, First: 20 * second, Second: 60 * second}
		use(f, 0)
		Expect(preference(f, need)).To(BeNumerically(">", 0))
		use(f, 100)
		Expect(preference(f, need)).To(BeNumerically("<", 0))
	})

	It("gives late work the fast workers if these meet three times the objective", func() {
		f := uneven()
		use(f, 80)
		hopeless := preference(f, runtimes.Need{Expected: second, First: -10 * second, Second: -second})
		late := preference(f, runtimes.Need{Expected: second, First: -second, Second: second})
		Expect(late).To(BeNumerically(">", hopeless+0.1))
	})

	// Equal workers have to get the score that they had before speeds were learned.
	It("scores by pace only on equal workers", func() {
		f := newFleet(12, 1)
		f.run(20, 1, f.all()...)
		p := f.speeds.Placement(runtimes.Need{Expected: second, First: second, Second: second}, &runtimes.Forecast{})
		pace := runtimes.Pace{LogFactor: 0.4}
		Expect(p.Score(&pace, f.workers[0])).To(Equal(0.3 * 0.4))
	})

	It("knows that a task with a heavy tail ends in time on a fast worker more often", func() {
		queue := &runtimes.Forecast{}
		for n := range 1000 {
			length := time.Second
			if n%33 == 0 {
				length = 7 * time.Second
			}
			queue.ObserveRun(time.Second, length)
		}
		f := uneven()
		need := runtimes.Need{Expected: time.Second, First: 5 * time.Second, Second: 15 * time.Second}
		use(f, 50)
		with := f.speeds.Placement(need, queue)
		without := f.speeds.Placement(need, &runtimes.Forecast{})
		gain := func(p runtimes.Placement) float64 {
			return p.Score(&runtimes.Pace{}, f.workers[0]) - p.Score(&runtimes.Pace{}, f.workers[2])
		}
		Expect(gain(with)).To(BeNumerically(">", gain(without)+0.05))
	})

	It("states the probability that a run ends in time", func() {
		w := &runtimes.Speed{LogFactor: 0, Variance: 0}
		Expect(runtimes.EndsBy(second, second, 0.5, w)).To(BeNumerically("~", 0.5, 0.001))
		Expect(runtimes.EndsBy(time.Duration(float64(second)*math.Exp(0.5)), second, 0.5, w)).To(BeNumerically("~", 0.8413, 0.001))
		Expect(runtimes.EndsBy(-second, second, 0.5, w)).To(BeZero())
	})

	// A gang ends with its slowest member. On the fastest workers that suffice, it took the
	// processors that urgent work needed; on mixed ones, the fast members waited.
	It("gives a gang workers of similar speed, fast ones only if it needs them", func() {
		f := uneven()
		use(f, 95)
		var members []runtimes.Member
		for _, fast := range []bool{true, false} {
			for n, w := range f.workers {
				if (n%3 == 2) == fast {
					members = append(members, runtimes.Member{Speed: w, Capacity: 1})
				}
			}
		}
		slices.SortFunc(members, func(a, b runtimes.Member) int { return cmp.Compare(a.Speed.LogFactor, b.Speed.LogFactor) })
		const fastCount = 10
		hurried := f.speeds.Placement(runtimes.Need{Expected: second, First: second, Second: 3 * second}, &runtimes.Forecast{})
		_, last, ok := hurried.EvenRange(members, 8)
		Expect(ok).To(BeTrue())
		Expect(last).To(BeNumerically("<=", fastCount))
		relaxed := f.speeds.Placement(runtimes.Need{Expected: second, First: 20 * second, Second: 60 * second}, &runtimes.Forecast{})
		first, _, ok := relaxed.EvenRange(members, 8)
		Expect(ok).To(BeTrue())
		Expect(first).To(BeNumerically(">=", fastCount))
		_, _, ok = relaxed.EvenRange(members, 31)
		Expect(ok).To(BeFalse())
	})

	// After a change of leader, the step of a gang whose runs were all adopted has no idle task.
	// The search for its workers ended the process of the new leader.
	It("chooses no workers for a gang without idle tasks", func() {
		f := uneven()
		members := []runtimes.Member{{Speed: f.workers[2], Capacity: 1}, {Speed: f.workers[0], Capacity: 1}}
		p := f.speeds.Placement(runtimes.Need{Expected: second, First: second, Second: 3 * second}, &runtimes.Forecast{})
		_, _, ok := p.EvenRange(members, 0)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Stored state", func() {
	second := time.Second

	// A leader that knew nothing served urgent work on slow workers until it had learned.
	It("continues with the stored row after a change of leader", func() {
		f := newFleet(350, 1/0.7, 1/0.7, 1/1.7)
		f.run(30, 1, f.all()...)
		queue := &runtimes.Forecast{}
		for n := range 500 {
			queue.Observe(1000, time.Duration(1+n%3)*second)
			queue.ObserveRun(second, time.Duration(1+n%3)*second)
		}
		row, err := runtimes.EncodeState(map[string]*runtimes.Forecast{"checks": queue}, &f.speeds)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(row)).To(BeNumerically("<=", 16_000))
		next, queues := newFleet(350, 1, 1, 1), map[string]*runtimes.Forecast{}
		Expect(runtimes.DecodeState(row, queues, &next.speeds)).To(Succeed())
		for n, w := range next.workers {
			start := int64(1)
			if n == 0 {
				start = 2
			}
			w.Restart(start)
		}
		next.speeds.Refresh(next.now)
		Expect(next.speeds.Uneven()).To(BeTrue())
		for n := 1; n < 30; n++ {
			Expect(next.workers[n].LogFactor).To(BeNumerically("~", f.workers[n].LogFactor, 0.1))
		}
		// The estimate of an incarnation that is gone is dropped.
		Expect(next.workers[0].Variance).To(BeNumerically(">", 2*next.workers[3].Variance))
		Expect(queues["checks"].Spread()).To(BeNumerically("~", queue.Spread(), 0.05))
		Expect(queues["checks"].CorrectedMilliseconds(1000)).To(BeNumerically("~", queue.CorrectedMilliseconds(1000), 1))
	})

	It("stores what fits of a fleet that is too large", func() {
		f := newFleet(2000, 1)
		f.run(2, 1, f.all()...)
		row, err := runtimes.EncodeState(nil, &f.speeds)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(row)).To(BeNumerically("~", 15_000, 1_000))
	})

	It("starts empty from an invalid row", func() {
		queues := map[string]*runtimes.Forecast{}
		var speeds runtimes.Speeds
		for _, row := range [][]byte{{0xff}, []byte("text"), {0xa1, 0x01, 0x81, 0xa1, 0x01, 0x61, 'q'}} {
			Expect(runtimes.DecodeState(row, queues, &speeds)).NotTo(Succeed())
			Expect(queues).To(BeEmpty())
		}
		Expect(runtimes.EncodeState(queues, &speeds)).To(BeEmpty())
	})
})

var _ = Describe("Calibration", func() {
	// A model that is too sure of itself places work on workers that end it late.
	It("measures as many runs within each quantile as it predicted, with a heavy tail", func() {
		random := rand.New(rand.NewPCG(5, 6))
		queue := &runtimes.Forecast{}
		run := func(count int, factor float64) {
			for range count {
				length := factor * math.Exp(0.4*random.NormFloat64())
				if random.Float64() < 0.03 {
					length *= 7
				}
				queue.ObserveRun(time.Second, time.Duration(length*float64(time.Second)))
			}
		}
		var speeds runtimes.Speeds
		now := time.UnixMilli(1_700_000_000_000)
		reporter := runtimes.Reporter{}
		run(10, 1)
		Expect(reporter.Report(now, map[string]*runtimes.Forecast{"checks": queue}, &speeds)).To(BeNil())
		run(3000, 1)
		report := reporter.Report(now, map[string]*runtimes.Forecast{"checks": queue}, &speeds)
		Expect(report.Queues).To(HaveLen(1))
		for _, q := range report.Queues[0].Quantiles {
			Expect(q.Measured).To(BeNumerically("~", q.Fraction, 0.04), "%v", q)
		}
		Expect(reporter.Report(now.Add(9*time.Second), map[string]*runtimes.Forecast{"checks": queue}, &speeds)).To(BeNil())
		// After a change of the run times the report shows that the prediction fails.
		run(100, 4)
		report = reporter.Report(now.Add(10*time.Second), map[string]*runtimes.Forecast{"checks": queue}, &speeds)
		Expect(report.Queues[0].Quantiles[1].Measured).To(BeNumerically("<", 0.45))
	})
})
