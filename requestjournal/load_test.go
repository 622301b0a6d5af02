package requestjournal_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// The simulated cell: seven instances share eight partitions and 200 writes/s
// of a store that answers in 5 ms.
const (
	simInstances  = 7
	simPartitions = 8
	simShare      = 200.0 / simInstances
	simStore      = 5 * time.Millisecond
	simRun        = 50 * time.Millisecond // mean run time of a request
)

// step is one event of a simulation in virtual time.
type step struct {
	at time.Time
	do func()
}

type steps []step

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }
func (s *steps) Pop() any          { x := (*s)[len(*s)-1]; *s = (*s)[:len(*s)-1]; return x }

// sim is a cell under a load of requests that run at most once.
type sim struct {
	now        time.Time
	steps      steps
	random     *rand.Rand
	budgets    []*requestjournal.WriteBudget
	partitions []*requestjournal.Partition
	armed      []bool // a partition waits for its budget's next token
	joined     bool   // the intent is appended together with the acceptance
	down       func(time.Time) bool
	arrived    map[model.RequestID]time.Time

	requests, writes        int
	accepted, begun, settle []time.Duration
	perSecond               map[int64]int
}

func newSim(seed uint64) *sim {
	s := &sim{
		now:       start,
		random:    rand.New(rand.NewPCG(seed, seed)),
		arrived:   make(map[model.RequestID]time.Time),
		perSecond: make(map[int64]int),
		down:      func(time.Time) bool { return false },
		armed:     make([]bool, simPartitions),
	}
	for range simInstances {
		s.budgets = append(s.budgets, requestjournal.NewWriteBudget(start, simShare))
	}
	for p := range simPartitions {
		s.partitions = append(s.partitions, requestjournal.Open(model.Partition(p), 0, nil))
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.steps, step{at: s.now.Add(d), do: do}) }

// run lets requests arrive at a rate for a time and runs until all is settled.
func (s *sim) run(perSecond float64, length time.Duration) {
	end := start.Add(length)
	var arrive func()
	arrive = func() {
		id := model.RequestID(fmt.Sprintf("r-%d", s.requests))
		s.requests++
		s.arrived[id] = s.now
		p := int(requestjournal.PartitionOf(id, simPartitions))
		s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordAccepted, At: s.now, ID: id})
		if s.joined {
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordIntent, At: s.now, ID: id})
		}
		s.next(p)
		if d := time.Duration(s.random.ExpFloat64() / perSecond * 1e9); s.now.Add(d).Before(end) {
			s.after(d, arrive)
		}
	}
	s.after(0, arrive)
	for len(s.steps) > 0 {
		next := heap.Pop(&s.steps).(step)
		s.now = next.at
		next.do()
	}
}

// next sends the next batch of a partition, or comes back when it may.
func (s *sim) next(p int) {
	budget := s.budgets[p%simInstances]
	batch, ok := s.partitions[p].NextBatch(s.now, budget)
	if !ok {
		if at, ok := s.partitions[p].NextAt(s.now, budget); ok && !s.armed[p] {
			s.armed[p] = true
			s.after(at.Sub(s.now), func() {
				s.armed[p] = false
				s.next(p)
			})
		}
		return
	}
	if s.down(s.now) {
		s.after(time.Second, func() {
			s.partitions[p].HandleFailed()
			s.next(p)
		})
		return
	}
	s.writes++
	s.perSecond[s.now.Unix()]++
	s.after(simStore, func() {
		for _, r := range s.partitions[p].HandleCommitted(batch.Version + 1) {
			s.committed(p, r)
		}
		s.next(p)
	})
}

// committed does what the holder does after a record is durable.
func (s *sim) committed(p int, r requestjournal.Record) {
	since := s.now.Sub(s.arrived[r.ID])
	switch r.Kind {
	case requestjournal.RecordAccepted:
		s.accepted = append(s.accepted, since)
		if !s.joined {
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordIntent, At: s.now, ID: r.ID})
		}
	case requestjournal.RecordIntent:
		s.begun = append(s.begun, since)
		s.after(time.Duration(s.random.ExpFloat64()*float64(simRun)), func() {
			o := &model.Outcome{Status: model.StatusDone}
			s.arrived[r.ID] = s.arrived[r.ID].Add(s.now.Sub(s.arrived[r.ID]) - since) // without the run time
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: s.now, ID: r.ID, Outcome: o})
			s.next(p)
		})
	case requestjournal.RecordOutcome:
		s.settle = append(s.settle, since)
	}
}

func (s *sim) writesPer1000() float64 { return float64(s.writes) * 1000 / float64(s.requests) }

func (s *sim) peak() int {
	peak := 0
	for _, n := range s.perSecond {
		peak = max(peak, n)
	}
	return peak
}

// String reports the figures: writes, and the journal's share of the time to
// acceptance, to the start, and to the outcome.
func (s *sim) String() string {
	q := func(d []time.Duration, share float64) int64 {
		d = slices.Clone(d)
		slices.Sort(d)
		return d[int(float64(len(d)-1)*share)].Milliseconds()
	}
	return fmt.Sprintf("%d requests, %.1f writes per 1,000, peak %d writes/s; accepted p50 %d p99 %d ms, started p50 %d p99 %d ms, settled p50 %d p99 %d ms",
		s.requests, s.writesPer1000(), s.peak(), q(s.accepted, 0.5), q(s.accepted, 0.99),
		q(s.begun, 0.5), q(s.begun, 0.99), q(s.settle, 0.5), q(s.settle, 0.99))
}

var _ = Describe("Budget", func() {
	// The store would be overloaded, or requests would wait longer than the
	// target for writes requires.
	It("keeps the store's targets at each load", func() {
		tests := []struct {
			perSecond float64
			writes    float64 // limit per 1,000 requests; 0 for none
		}{
			{1, 0},
			{20, 0},
			{100, 0},
			{300, 0},
			{1000, 50},
			{3000, 50},
		}
		for _, test := range tests {
			s := newSim(1)
			s.run(test.perSecond, time.Minute)
			GinkgoWriter.Printf("%.0f/s: %v\n", test.perSecond, s)
			Expect(s.settle).To(HaveLen(s.requests))
			Expect(s.peak()).To(BeNumerically("<", 300))
			if test.writes > 0 {
				Expect(s.writesPer1000()).To(BeNumerically("<=", test.writes))
			}
		}
	})

	// A partition that is alone with few records must not wait for company.
	It("commits at once when idle", func() {
		s := newSim(1)
		s.run(2, time.Minute)
		Expect(slices.Max(s.begun)).To(BeNumerically("<=", 4*simStore))
	})

	// The records of an outage must not break the store again when it returns.
	It("returns from an outage within the budget", func() {
		s := newSim(1)
		s.down = func(now time.Time) bool {
			since := now.Sub(start)
			return since > 10*time.Second && since < 70*time.Second
		}
		s.run(1000, 2*time.Minute)
		GinkgoWriter.Printf("outage of 60 s: %v\n", s)
		Expect(s.settle).To(HaveLen(s.requests))
		Expect(s.peak()).To(BeNumerically("<", 300))
	})

	// Compares policies; the figures are in the commit that chose the pace.
	It("is compared with other policies", func() {
		policies := []struct {
			name   string
			pace   func(rate, share float64) float64
			joined bool
		}{
			{"share only", func(_, share float64) float64 { return share }, false},
			{"fixed 160 ms", func(_, _ float64) float64 { return 1 / 0.16 }, false},
			{"constant batch of 66", func(rate, share float64) float64 { return min(share, max(rate/66, 0.5)) }, false},
			{"adaptive", nil, false},
			{"adaptive, intent joined to acceptance", nil, true},
		}
		for _, perSecond := range []float64{100, 1000} {
			for _, policy := range policies {
				s := newSim(1)
				s.joined = policy.joined
				for _, b := range s.budgets {
					if policy.pace != nil {
						b.SetPace(policy.pace)
					}
				}
				s.run(perSecond, time.Minute)
				GinkgoWriter.Printf("%.0f/s, %s: %v\n", perSecond, policy.name, s)
			}
		}
	})
})
