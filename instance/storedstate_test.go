package instance

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
)

// refusal tells which calls of an instance the store refuses.
type refusal struct{ all, reads atomic.Bool }

// refusableCluster is a cluster with tenants whose store may refuse single instances.
type refusableCluster struct {
	*keyCluster
	refusals []*refusal // by instance
}

func newRefusableCluster(instances int) *refusableCluster {
	GinkgoHelper()
	c := &refusableCluster{}
	c.keyCluster = newKeyCluster(instances, func(s *Settings) {
		refused := &refusal{}
		proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: s.StoreAddress.String()})
		proxy.ErrorLog = log.New(io.Discard, "", 0)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refused.all.Load() || refused.reads.Load() && r.Method == http.MethodGet {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			proxy.ServeHTTP(w, r)
		}))
		DeferCleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		c.refusals = append(c.refusals, refused)
		s.StoreAddress = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	})
	return c
}

// submit submits a job of one gang for the tenant a and returns the status of the response.
func (c *refusableCluster) submit(i *Instance, n, tasks int) int {
	GinkgoHelper()
	body := fmt.Sprintf(`{"TaskSpec":"spec","Steps":[{"Count":%d,"Cpu":551,"MemMb":1,"EstimateMs":50,"Gang":true}]}`, tasks)
	request, err := http.NewRequest(http.MethodPost, "http://"+i.settings.CallerAddress.String()+path(n), strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Host, request.Close = "h.example", true
	request.Header.Set("Authorization", "Bearer "+keyOfA)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	return response.StatusCode
}

var _ = Describe("A job that its tenant's quota never lets run", func() {
	const tooMany, fits = 15, 2 // tasks of 551 in a quota of 8,000

	// The instance that the store refuses took it for unknown whether the job is stored, and had
	// the leader store it: it was accepted and never ran (review/15: LOST).
	It("is refused by an instance that the store refuses alone", func() {
		c := newRefusableCluster(3)
		n := c.follower()
		i := c.instances[n]
		Expect(c.submit(i, 1, fits)).To(Equal(http.StatusOK))
		c.refusals[n].all.Store(true)
		for k := range 6 {
			Expect(c.submit(i, 10+k, tooMany)).To(Equal(http.StatusTooManyRequests))
			time.Sleep(150 * time.Millisecond)
		}
		Expect(c.submit(i, 1, tooMany)).To(Equal(http.StatusOK), "a job that is stored is not refused")
		Expect(c.submit(i, 2, fits)).To(Equal(http.StatusOK))
		c.refusals[n].all.Store(false)
		for k := range 6 {
			Eventually(c.status, eventuallyTimeout).WithArguments(i, http.MethodGet, path(10+k), keyOfA).Should(Equal(http.StatusGone))
		}
	})

	// Nobody told whether the job is stored, and the submission went on. A store that took writes
	// again by then stored the job (soak, seed 344).
	It("is not accepted while it is not known whether the job is stored", func() {
		c := newRefusableCluster(2)
		for _, r := range c.refusals {
			r.reads.Store(true)
		}
		for n, i := range c.instances {
			began := time.Now()
			Expect(c.submit(i, 20+n, tooMany)).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(began)).To(BeNumerically("<", refusalCheckTimeout+time.Second))
		}
		for _, r := range c.refusals {
			r.reads.Store(false)
		}
		for n, i := range c.instances {
			Eventually(c.status, eventuallyTimeout).WithArguments(i, http.MethodGet, path(20+n), keyOfA).Should(Equal(http.StatusGone))
		}
	})

	// The leader stored what other instances handed over without a check.
	It("is not stored by the leader for an instance with an earlier configuration", func() {
		c := newRefusableCluster(2)
		leader := c.currentLeader()
		l := leader.shards()[0].currentLeadership()
		for _, t := range []struct {
			tasks int
			want  job.Outcome
		}{{tooMany, job.OutcomeOverload}, {fits, job.OutcomeDone}} {
			j := *gangOf(30+t.tasks, t.tasks, "a")
			j.Queue, j.Pool = "r", "pool"
			j.Definition.Steps[0].Demand.MilliCPU = 551
			encoded, err := jobstore.EncodeJob(j)
			Expect(err).NotTo(HaveOccurred())
			ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
			outcome := l.storeJobForMember(ctx, link.Message{Job: j.ID, Tenant: "a", Data: encoded})
			cancel()
			Expect(outcome).To(Equal(t.want))
		}
	})
})

var _ = Describe("The state of a job", func() {
	// Neither the leader nor the store told it to an instance that the store refuses: the leader
	// knows nothing of a job that does not exist.
	It("is read by the leader for an instance that the store refuses", func() {
		c := newRefusableCluster(2)
		n := c.follower()
		c.refusals[n].all.Store(true)
		Expect(c.status(c.instances[n], http.MethodGet, path(50), keyOfA)).To(Equal(http.StatusGone))
	})
})
