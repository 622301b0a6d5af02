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

// simulatedLoad is the load of an instance whose tasks start and end at a
// constant rate.
type simulatedLoad struct {
	random             *rand.Rand
	freeMilliCPU       []int64 // of each worker
	workerMilliCPU     int64
	runningByTeam      []int64 // number of running tasks
	startsPerHeartbeat int     // also the number of tasks that end
}

const (
	teamCount       = 79
	taskMilliCPU    = 800
	taskMemoryBytes = 1717986918 // 1.6 GiB
)

func newSimulatedLoad(workers, cores, running, startsPerHeartbeat int) *simulatedLoad {
	l := &simulatedLoad{
		random:             rand.New(rand.NewPCG(1, 2)),
		freeMilliCPU:       make([]int64, workers),
		workerMilliCPU:     int64(cores) * 1000,
		runningByTeam:      make([]int64, teamCount),
		startsPerHeartbeat: startsPerHeartbeat,
	}
	for i := range l.freeMilliCPU {
		l.freeMilliCPU[i] = l.workerMilliCPU
	}
	for range running {
		l.startTask()
	}
	return l
}

func (l *simulatedLoad) startTask() {
	l.runningByTeam[l.random.IntN(teamCount)]++
	if w := l.random.IntN(len(l.freeMilliCPU)); l.freeMilliCPU[w] >= taskMilliCPU {
		l.freeMilliCPU[w] -= taskMilliCPU
	}
}

func (l *simulatedLoad) endTask() {
	if t := l.random.IntN(teamCount); l.runningByTeam[t] > 0 {
		l.runningByTeam[t]--
	}
	if w := l.random.IntN(len(l.freeMilliCPU)); l.freeMilliCPU[w] < l.workerMilliCPU {
		l.freeMilliCPU[w] += taskMilliCPU
	}
}

// nextHeartbeat starts and ends the tasks of one heartbeat interval and returns
// the heartbeat.
func (l *simulatedLoad) nextHeartbeat(heardPeers int) event.Heartbeat {
	for range l.startsPerHeartbeat {
		l.startTask()
		l.endTask()
	}
	h := event.Heartbeat{Instance: sender.ID, Incarnation: 7, DataCentre: sender.DataCentre, Revision: 1, Workers: uint32(len(l.freeMilliCPU))}
	resourcesOf := func(cpu int64) model.Resources {
		return model.Resources{MilliCPU: cpu, MemoryBytes: cpu * 2 << 20, Slots: cpu / 4000}
	}
	var free, largest int64
	for _, w := range l.freeMilliCPU {
		free += w
		largest = max(largest, w)
	}
	h.TotalCapacity = resourcesOf(l.workerMilliCPU * int64(len(l.freeMilliCPU)))
	for i := range h.FreeCapacity {
		h.FreeCapacity[i] = event.FreeCapacity{Free: resourcesOf(free * int64(20-i) / 20), Largest: resourcesOf(largest), QueuedRequests: uint32(l.random.IntN(8))}
	}
	for t, n := range l.runningByTeam {
		h.Usage = append(h.Usage, event.TeamUsage{
			Team: model.Team(fmt.Sprintf("team-%03d", t)),
			Used: model.Resources{MilliCPU: n * taskMilliCPU, MemoryBytes: n * taskMemoryBytes, Slots: n},
		})
	}
	for i := range heardPeers {
		h.HeardPeers = append(h.HeardPeers, model.InstanceID(fmt.Sprintf("entry-%02d", i)))
	}
	return h
}

// webSocketBytes returns the size of a frame on the connection. The WebSocket
// header has 2 bytes for frames of up to 125 bytes and 4 above, and 4 more on the
// dialling side, which is assumed here.
func webSocketBytes(frame []byte) int {
	if len(frame) <= 125 {
		return len(frame) + 6
	}
	return len(frame) + 8
}

var _ = Describe("heartbeat", func() {
	// Guards against heartbeats that use bandwidth needed by lease renewals and
	// starts. A daemon has 29 KB/s for all control traffic at the size expected in
	// two years; heartbeats may use half of it for both directions together.
	It("stays within half of the control traffic budget", func() {
		const budget = 29_000 / 2 // bytes per second
		tests := []struct {
			name              string
			load              *simulatedLoad
			nearPeers         int // peers that get each heartbeat
			farPeers          int // remote peers that get only every farInterval-th heartbeat
			farInterval       int
			maxBytesPerSecond int
		}{
			{"7 instances, idle", newSimulatedLoad(7, 32, 100, 0), 6, 0, 1, budget},
			{"7 instances, 714 starts/s each", newSimulatedLoad(7, 32, 200, 143), 6, 0, 1, budget},
			{"100 instances, idle", newSimulatedLoad(350, 32, 7000, 0), 6, 93, 12, budget},
			{"100 instances, 68 starts/s each", newSimulatedLoad(350, 32, 7000, 14), 6, 93, 12, budget},
			{"100 instances, 10 times that", newSimulatedLoad(350, 32, 7000, 136), 6, 93, 12, budget},
		}
		for _, test := range tests {
			near, far := newEncoder(), newEncoder()
			near.heartbeat.largeCell = test.farPeers > 0
			far.heartbeat.largeCell = true
			var first, nearBytes, farBytes, farCount int
			const heartbeats = 5 * 120
			for i := range heartbeats {
				h := test.load.nextHeartbeat(6)
				now := testTime.Add(time.Duration(i) * 200 * time.Millisecond)
				n := webSocketBytes(encodeFrameAt(near, now, h))
				if i == 0 {
					first = n
				} else {
					nearBytes += n
				}
				if i%test.farInterval == 0 && test.farPeers > 0 {
					n := webSocketBytes(encodeFrameAt(far, now, h))
					if i > 0 {
						farBytes += n
						farCount++
					}
				}
			}
			seconds := float64(heartbeats-1) / 5
			sent := (float64(nearBytes*test.nearPeers) + float64(farBytes*test.farPeers)) / seconds
			fmt.Fprintf(GinkgoWriter, "%s: first %d B, then %d B within the data centre and %d B to the others; %.1f KB/s sent, %.1f KB/s in both directions\n",
				test.name, first, nearBytes/(heartbeats-1), farBytes/max(1, farCount), sent/1000, 2*sent/1000)
			Expect(2*sent).To(BeNumerically("<", test.maxBytesPerSecond), test.name)
		}
	})

	// Guards against deadbands that leave a permanent error: quotas and sampling use
	// these values, which may lag behind but must converge to the exact ones.
	It("converges to the exact values in a large cell when the load is constant", func() {
		l := newSimulatedLoad(350, 32, 7000, 14)
		e, d := newEncoder(), newDecoder(sender, 7)
		e.heartbeat.largeCell = true
		var got event.Heartbeat
		now := testTime
		send := func(heartbeats int) event.Heartbeat {
			var h event.Heartbeat
			for range heartbeats {
				now = now.Add(200 * time.Millisecond)
				h = l.nextHeartbeat(6)
				decoded, err := d.decodeFrame(encodeFrameAt(e, now, h))
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
		Expect(sum(got)).To(BeNumerically("~", sum(h), sum(h)/usageDeadbandDivisor))
		l.startsPerHeartbeat = 0
		h = send(400)
		Expect(sum(got)).To(Equal(sum(h)))
		Expect(got.Usage).To(HaveLen(teamCount))
	})
})

func encodeFrameAt(e *encoder, now time.Time, m event.Message) []byte {
	GinkgoHelper()
	w, err := e.encodeMessage(now, m)
	Expect(err).NotTo(HaveOccurred())
	data, err := e.encodeFrame([]wireMessage{w})
	Expect(err).NotTo(HaveOccurred())
	return data
}
