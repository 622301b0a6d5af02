package instance

import (
	"fmt"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Load", func() {
	// With -cpuprofile, this shows what the leader's processor time is spent on.
	It("serves a steady load on many runners", func() {
		if os.Getenv("INSTANCE_LOAD") == "" {
			Skip("set INSTANCE_LOAD to measure the processor time of a load")
		}
		s := newTestCluster(3, 200, 800*time.Millisecond)
		const perSecond = 80
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for n := range 15 * perSecond {
			<-ticker.C
			go func() {
				defer GinkgoRecover()
				body := `{"TaskSpec":"spec","Steps":[{"Count":6,"Cpu":2000,"MemMb":256,"EstimateMs":800}]}`
				status, _ := s.request(s.instances[n%len(s.instances)], http.MethodPost, path(n), body)
				Expect(status).To(Equal(http.StatusOK))
			}()
		}
		leader := s.currentLeader()
		for _, name := range []string{"reducer", "start_order", "submit", "accepted_to_start"} {
			t := leader.timer(name)
			fmt.Printf("LOAD %s count %d mean %.3f ms p99 %.3f ms\n", name, t.Count(), t.Mean()/1e6, t.Percentile(0.99)/1e6)
		}
		h := leader.histogram("event_batch")
		fmt.Printf("LOAD event_batch count %d mean %.2f\n", h.Count(), h.Mean())
	})
})
