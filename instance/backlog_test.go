package instance

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/backlog"
)

var _ = Describe("Backlog", func() {
	// A client that repeats a submission may have had no answer to the first. A refusal means that
	// the job never runs, so it must not be given for a job that is stored.
	It("refuses new jobs of a full queue and accepts repetitions of stored ones", func() {
		s := newTestCluster(2, 2, 50*time.Millisecond)
		s.expectServed(s.instances[0], 1)
		announce := func() {
			for _, i := range s.instances {
				i.backlogGate.Announce(0, backlog.Announcement{Refusals: []backlog.Refusal{{Queue: "r", Wait: 7 * time.Second}}, At: time.Now().Add(time.Hour)})
			}
		}
		// The leader's own announcements, which are empty, replace it every 0.2 s.
		Eventually(func() int {
			announce()
			status, _ := s.request(s.instances[1], http.MethodPost, path(2), twoStepJob)
			return status
		}, eventuallyTimeout, "10ms").Should(Equal(http.StatusTooManyRequests))
		announce()
		status, _ := s.request(s.instances[1], http.MethodPost, path(1), twoStepJob)
		Expect(status).To(Equal(http.StatusOK))
		status, _ = s.request(s.instances[1], http.MethodGet, path(2), "")
		Expect(status).To(Or(Equal(http.StatusGone), Equal(http.StatusOK)))
	})

	It("is announced to the other instances", func() {
		s := newTestCluster(2, 1, 50*time.Millisecond)
		leader := s.currentLeader()
		l := leader.shards()[0].currentLeadership()
		for _, i := range s.instances {
			if i == leader {
				continue
			}
			Eventually(func() bool {
				l.mu.Lock()
				l.backlogRefusals = []backlog.Refusal{{Queue: "r", Wait: 7 * time.Second}}
				for _, m := range l.members {
					if m.conn != nil {
						l.sendBacklog(m.conn)
					}
				}
				l.mu.Unlock()
				wait, refused := i.backlogGate.Admit(time.Now(), 0, "r", 0)
				return refused && wait == 7*time.Second
			}, eventuallyTimeout, "20ms").Should(BeTrue())
		}
	})
})
