package peer

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// load is an instance whose tasks start and end at a rate.
type load struct {
	random   *rand.Rand
	workers  []int64 // free processors in thousandths
	capacity int64
	teams    []int64 // running tasks
	rate     int     // starts, and ends, in one heartbeat
}

const (
	teams  = 79
	task   = 800 // thousandths of a processor
	memory = 1717986918
)

func newLoad(workers, cores, running, rate int) *load {
	l := &load{
		random:   rand.New(rand.NewPCG(1, 2)),
		workers:  make([]int64, workers),
		capacity: int64(cores) * 1000,
		teams:    make([]int64, teams),
		rate:     rate,
	}
	for i := range l.workers {
		l.workers[i] = l.capacity
	}
	for range running {
		l.start()
	}
	return l
}

func (l *load) start() {
	l.teams[l.random.IntN(teams)]++
	if w := l.random.IntN(len(l.workers)); l.workers[w] >= task {
		l.workers[w] -= task
	}
}

func (l *load) end() {
	if t := l.random.IntN(teams); l.teams[t] > 0 {
		l.teams[t]--
	}
	if w := l.random.IntN(len(l.workers)); l.workers[w] < l.capacity {
		l.workers[w] += task
	}
}

// beat lets the tasks of one heartbeat start and end.
func (l *load) beat(seen int) event.Heartbeat {
	for range l.rate {
		l.start()
		l.end()
	}
	h := event.Heartbeat{Instance: sender.ID, Incarnation: 7, DataCentre: sender.DataCentre, Revision: 1, Workers: uint32(len(l.workers))}
	of := func(cpu int64) model.Resources {
		return model.Resources{MilliCPU: cpu, MemoryBytes: cpu * 2 << 20, Slots: cpu / 4000}
	}
	var free, largest int64
	for _, w := range l.workers {
		free += w
		largest = max(largest, w)
	}
	h.TotalCapacity = of(l.capacity * int64(len(l.workers)))
	for i := range h.FreeCapacity {
		h.FreeCapacity[i] = event.FreeCapacity{Free: of(free * int64(20-i) / 20), Largest: of(largest), QueuedRequests: uint32(l.random.IntN(8))}
	}
	for t, n := range l.teams {
		h.Usage = append(h.Usage, event.TeamUsage{
			Team: model.Team(fmt.Sprintf("team-%03d", t)),
			Used: model.Resources{MilliCPU: n * task, MemoryBytes: n * memory, Slots: n},
		})
	}
	for i := range seen {
		h.HeardPeers = append(h.HeardPeers, model.InstanceID(fmt.Sprintf("entry-%02d", i)))
	}
	return h
}

// onWire returns the bytes of a frame on the connection. WebSocket adds 2 bytes
// up to 125 and 4 above, and 4 more on the dialling side, which is taken here.
func onWire(frame []byte) int {
	if len(frame) <= 125 {
		return len(frame) + 6
	}
	return len(frame) + 8
}

var _ = Describe("heartbeat", func() {
	// A daemon has 29 KB/s for all control traffic at the two-year size; of that
	// heartbeats may take half in both directions together. Heartbeats that grow
	// past it take it from lease renewals and starts.
	It("stays in its part of the traffic", func() {
		const budget = 29_000 / 2 // bytes in a second
		tests := []struct {
			name   string
			load   *load
			near   int // peers that get each heartbeat
			far    int // remote peers that get one in rounds
			rounds int
			bound  int
		}{
			{"7 instances, idle", newLoad(7, 32, 100, 0), 6, 0, 1, budget},
			{"7 instances, 714 starts/s each", newLoad(7, 32, 200, 143), 6, 0, 1, budget},
			{"100 instances, idle", newLoad(350, 32, 7000, 0), 6, 93, 12, budget},
			{"100 instances, 68 starts/s each", newLoad(350, 32, 7000, 14), 6, 93, 12, budget},
			{"100 instances, 10 times that", newLoad(350, 32, 7000, 136), 6, 93, 12, budget},
		}
		for _, test := range tests {
			near, far := newEncoder(), newEncoder()
			near.heartbeat.loose = test.far > 0
			far.heartbeat.loose = true
			var first, nearBytes, farBytes, farCount int
			const beats = 5 * 120
			for i := range beats {
				h := test.load.beat(6)
				now := instant.Add(time.Duration(i) * 200 * time.Millisecond)
				n := onWire(frameAt(near, now, h))
				if i == 0 {
					first = n
				} else {
					nearBytes += n
				}
				if i%test.rounds == 0 && test.far > 0 {
					n := onWire(frameAt(far, now, h))
					if i > 0 {
						farBytes += n
						farCount++
					}
				}
			}
			seconds := float64(beats-1) / 5
			sent := (float64(nearBytes*test.near) + float64(farBytes*test.far)) / seconds
			fmt.Fprintf(GinkgoWriter, "%s: first %d B, then %d B within the data centre and %d B to the others; %.1f KB/s sent, %.1f KB/s in both directions\n",
				test.name, first, nearBytes/(beats-1), farBytes/max(1, farCount), sent/1000, 2*sent/1000)
			Expect(2*sent).To(BeNumerically("<", test.bound), test.name)
		}
	})

	// A quota and a sample are decided by these figures: they may lag, but they
	// must come to rest at the true ones.
	It("reaches the exact figures of a large cell when its load rests", func() {
		l := newLoad(350, 32, 7000, 14)
		e, d := newEncoder(), newDecoder(sender, 7)
		e.heartbeat.loose = true
		var got event.Heartbeat
		now := instant
		send := func(beats int) event.Heartbeat {
			var h event.Heartbeat
			for range beats {
				now = now.Add(200 * time.Millisecond)
				h = l.beat(6)
				decoded, err := d.frame(frameAt(e, now, h))
				Expect(err).NotTo(HaveOccurred())
				got = decoded[0].(event.Heartbeat)
			}
			return h
		}
		h := send(300)
		sum := func(h event.Heartbeat) (cpu int64) {
			for _, u := range h.Usage {
				cpu += u.Used.MilliCPU
			}
			return cpu
		}
		Expect(sum(got)).To(BeNumerically("~", sum(h), sum(h)/usageBand))
		l.rate = 0
		h = send(400)
		Expect(sum(got)).To(Equal(sum(h)))
		Expect(got.Usage).To(HaveLen(teams))
	})
})

func frameAt(e *encoder, now time.Time, m event.Message) []byte {
	GinkgoHelper()
	w, err := e.message(now, m)
	Expect(err).NotTo(HaveOccurred())
	data, err := e.frame([]wireMessage{w})
	Expect(err).NotTo(HaveOccurred())
	return data
}
