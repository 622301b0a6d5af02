package jobstore_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/jobstore"
)

var _ = Describe("Homes of jobs", func() {
	// A slow store executes the transactions of a partition one after another, 0.3 s
	// each, and refuses new ones if they would wait for more than a second. A burst of
	// jobs of the queue checks filled the partitions: accepting a job took 0.6 s instead
	// of 0.3 s, and some jobs were refused (grown Kraamnet, trouble-2, seed 1075486663917).
	It("spread a burst so that a slow store takes it", func() {
		const (
			jobsPerSecond       = 200
			burstDuration       = 4 * time.Second
			transactionDuration = 300 * time.Millisecond
			maxWait             = time.Second
		)
		s := jobstore.New(nil, 0)
		random := rand.New(rand.NewPCG(1, 2))
		freeAt := map[string]time.Duration{}
		var latencies []time.Duration
		refused, jobs := 0, 0
		for at := time.Duration(0); at < burstDuration; at += time.Duration(random.ExpFloat64() / jobsPerSecond * float64(time.Second)) {
			jobs++
			home := s.Homes(job.ID(fmt.Sprintf("%016x", random.Uint64())))[0]
			startAt := max(at, freeAt[home])
			if startAt-at > maxWait {
				refused++
				continue
			}
			freeAt[home] = startAt + transactionDuration
			latencies = append(latencies, freeAt[home]-at)
		}
		slices.Sort(latencies)
		Expect(refused).To(BeNumerically("<=", jobs/200))
		Expect(latencies[len(latencies)/2]).To(Equal(transactionDuration))
		Expect(latencies[len(latencies)*9/10]).To(BeNumerically("<=", 750*time.Millisecond))
	})
})
