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

// The simulated cell has seven instances, which share eight partitions and 200 writes/s
// to a store that answers in 5 ms.
const (
	simInstances    = 7
	simPartitions   = 8
	simWriteRate    = 200.0 / simInstances
	simStoreLatency = 5 * time.Millisecond
	simMeanRunTime  = 50 * time.Millisecond // of a request
)

// simEvent is an event of the simulation, in virtual time.
type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (s simEvents) Len() int           { return len(s) }
func (s simEvents) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s simEvents) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *simEvents) Push(x any)        { *s = append(*s, x.(simEvent)) }
func (s *simEvents) Pop() any          { x := (*s)[len(*s)-1]; *s = (*s)[:len(*s)-1]; return x }

// sim simulates a cell under a load of at-most-once requests.
type sim struct {
	now                  time.Time
	events               simEvents
	random               *rand.Rand
	budgets              []*requestjournal.WriteBudget
	partitions           []*requestjournal.Partition
	wakeupScheduled      []bool // by partition: a call of sendNextBatch is scheduled
	intentWithAcceptance bool   // append the intent together with the acceptance
	isDown               func(time.Time) bool
	arrivedAt            map[model.RequestID]time.Time

	requests, writes                        int
	acceptDelays, startDelays, settleDelays []time.Duration
	writesBySecond                          map[int64]int
}

func newSim(seed uint64) *sim {
	s := &sim{
		now:             start,
		random:          rand.New(rand.NewPCG(seed, seed)),
		arrivedAt:       make(map[model.RequestID]time.Time),
		writesBySecond:  make(map[int64]int),
		isDown:          func(time.Time) bool { return false },
		wakeupScheduled: make([]bool, simPartitions),
	}
	for range simInstances {
		s.budgets = append(s.budgets, requestjournal.NewWriteBudget(start, simWriteRate))
	}
	for p := range simPartitions {
		s.partitions = append(s.partitions, requestjournal.Open(model.Partition(p), 0, nil))
	}
	return s
}

func (s *sim) schedule(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: s.now.Add(d), do: do})
}

// run generates requests for a duration and simulates until all of them are settled.
func (s *sim) run(requestsPerSecond float64, duration time.Duration) {
	end := start.Add(duration)
	var arrive func()
	arrive = func() {
		id := model.RequestID(fmt.Sprintf("r-%d", s.requests))
		s.requests++
		s.arrivedAt[id] = s.now
		p := int(requestjournal.PartitionOf(id, simPartitions))
		s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordAccepted, At: s.now, ID: id})
		if s.intentWithAcceptance {
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordIntent, At: s.now, ID: id})
		}
		s.sendNextBatch(p)
		if d := time.Duration(s.random.ExpFloat64() / requestsPerSecond * 1e9); s.now.Add(d).Before(end) {
			s.schedule(d, arrive)
		}
	}
	s.schedule(0, arrive)
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
}

// sendNextBatch sends the next batch of a partition, or schedules itself for the time
// at which there may be one.
func (s *sim) sendNextBatch(p int) {
	budget := s.budgets[p%simInstances]
	batch, ok := s.partitions[p].NextBatch(s.now, budget)
	if !ok {
		if at, ok := s.partitions[p].NextBatchAt(s.now, budget); ok && !s.wakeupScheduled[p] {
			s.wakeupScheduled[p] = true
			s.schedule(at.Sub(s.now), func() {
				s.wakeupScheduled[p] = false
				s.sendNextBatch(p)
			})
		}
		return
	}
	if s.isDown(s.now) {
		s.schedule(time.Second, func() {
			s.partitions[p].HandleFailed()
			s.sendNextBatch(p)
		})
		return
	}
	s.writes++
	s.writesBySecond[s.now.Unix()]++
	s.schedule(simStoreLatency, func() {
		for _, r := range s.partitions[p].HandleCommitted(batch.Version + 1) {
			s.handleCommittedRecord(p, r)
		}
		s.sendNextBatch(p)
	})
}

// handleCommittedRecord does what the holder does when a record is durable.
func (s *sim) handleCommittedRecord(p int, r requestjournal.Record) {
	elapsed := s.now.Sub(s.arrivedAt[r.ID])
	switch r.Kind {
	case requestjournal.RecordAccepted:
		s.acceptDelays = append(s.acceptDelays, elapsed)
		if !s.intentWithAcceptance {
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordIntent, At: s.now, ID: r.ID})
		}
	case requestjournal.RecordIntent:
		s.startDelays = append(s.startDelays, elapsed)
		s.schedule(time.Duration(s.random.ExpFloat64()*float64(simMeanRunTime)), func() {
			o := &model.Outcome{Status: model.StatusDone}
			s.arrivedAt[r.ID] = s.arrivedAt[r.ID].Add(s.now.Sub(s.arrivedAt[r.ID]) - elapsed) // exclude the run time
			s.partitions[p].Append(s.now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: s.now, ID: r.ID, Outcome: o})
			s.sendNextBatch(p)
		})
	case requestjournal.RecordOutcome:
		s.settleDelays = append(s.settleDelays, elapsed)
	}
}

func (s *sim) writesPer1000() float64 { return float64(s.writes) * 1000 / float64(s.requests) }

func (s *sim) peakWritesPerSecond() int {
	peak := 0
	for _, n := range s.writesBySecond {
		peak = max(peak, n)
	}
	return peak
}

// String returns the number of writes, and the time that the journal adds before the
// acceptance, the start and the outcome of a request.
func (s *sim) String() string {
	quantile := func(d []time.Duration, fraction float64) int64 {
		d = slices.Clone(d)
		slices.Sort(d)
		return d[int(float64(len(d)-1)*fraction)].Milliseconds()
	}
	return fmt.Sprintf("%d requests, %.1f writes per 1,000, peak %d writes/s; accepted p50 %d p99 %d ms, started p50 %d p99 %d ms, settled p50 %d p99 %d ms",
		s.requests, s.writesPer1000(), s.peakWritesPerSecond(), quantile(s.acceptDelays, 0.5), quantile(s.acceptDelays, 0.99),
		quantile(s.startDelays, 0.5), quantile(s.startDelays, 0.99), quantile(s.settleDelays, 0.5), quantile(s.settleDelays, 0.99))
}

var _ = Describe("WriteBudget", func() {
	// Too high a token rate overloads the store. Too low a rate delays requests by more
	// than the write target requires.
	It("meets the write targets of the store at each load", func() {
		tests := []struct {
			requestsPerSecond float64
			maxWritesPer1000  float64 // limit per 1,000 requests; 0 for none
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
			s.run(test.requestsPerSecond, time.Minute)
			GinkgoWriter.Printf("%.0f/s: %v\n", test.requestsPerSecond, s)
			Expect(s.settleDelays).To(HaveLen(s.requests))
			Expect(s.peakWritesPerSecond()).To(BeNumerically("<", 300))
			if test.maxWritesPer1000 > 0 {
				Expect(s.writesPer1000()).To(BeNumerically("<=", test.maxWritesPer1000))
			}
		}
	})

	// At a low load, a partition must not wait for more records to fill a batch.
	It("commits at once when idle", func() {
		s := newSim(1)
		s.run(2, time.Minute)
		Expect(slices.Max(s.startDelays)).To(BeNumerically("<=", 4*simStoreLatency))
	})

	// The records buffered during an outage must not overload the store when it is
	// available again.
	It("recovers from an outage within the budget", func() {
		s := newSim(1)
		s.isDown = func(now time.Time) bool {
			since := now.Sub(start)
			return since > 10*time.Second && since < 70*time.Second
		}
		s.run(1000, 2*time.Minute)
		GinkgoWriter.Printf("outage of 60 s: %v\n", s)
		Expect(s.settleDelays).To(HaveLen(s.requests))
		Expect(s.peakWritesPerSecond()).To(BeNumerically("<", 300))
	})

	// Prints the figures of several policies without checking them. The commit that
	// introduced adaptiveTokenRate has the figures that justify it.
	It("prints a comparison with other token rate policies", func() {
		policies := []struct {
			name                 string
			tokenRate            func(recordRate, writeRate float64) float64
			intentWithAcceptance bool
		}{
			{"write rate only", func(_, writeRate float64) float64 { return writeRate }, false},
			{"fixed 160 ms", func(_, _ float64) float64 { return 1 / 0.16 }, false},
			{"constant batch of 66", func(recordRate, writeRate float64) float64 { return min(writeRate, max(recordRate/66, 0.5)) }, false},
			{"adaptive", nil, false},
			{"adaptive, intent with acceptance", nil, true},
		}
		for _, requestsPerSecond := range []float64{100, 1000} {
			for _, policy := range policies {
				s := newSim(1)
				s.intentWithAcceptance = policy.intentWithAcceptance
				for _, b := range s.budgets {
					if policy.tokenRate != nil {
						b.SetTokenRate(policy.tokenRate)
					}
				}
				s.run(requestsPerSecond, time.Minute)
				GinkgoWriter.Printf("%.0f/s, %s: %v\n", requestsPerSecond, policy.name, s)
			}
		}
	})
})
