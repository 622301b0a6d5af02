package instance

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
)

// Two instances may store a job that a client submits twice, each in another home and each with
// another leader that it notifies. Only one of the leaders may take the job for its own.
func TestTwoLeadersAreNotifiedOfOneJob(t *testing.T) {
	g := NewWithT(t)
	server := standin.NewStore()
	t.Cleanup(server.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	client := store.New(server.Address())
	encoded, err := jobstore.EncodeJob(job.Job{ID: jobID(1), Queue: "queue", Pool: "pool", AcceptedAt: time.Now(), Definition: job.Definition{Spec: "spec", Steps: []job.Step{{Tasks: 1}}}})
	g.Expect(err).NotTo(HaveOccurred())
	notified := 0
	for attempt := range 3 {
		i := &Instance{ctx: ctx, log: zap.NewNop(), store: client, metrics: metrics.NewRegistry()}
		s := &shard{instance: i, jobs: jobstore.New(client, 0), log: i.log}
		l := &leadership{instance: i, shard: s, ctx: ctx, events: make(chan any, 1)}
		s.ownLeadership = l
		homes := s.jobs.Homes(jobID(1))
		if attempt == 1 {
			s.jobs.MarkUnresponsive(homes[0])
			homes = s.jobs.Homes(jobID(1))
		}
		g.Expect(s.storeJob(ctx, homes[0], jobID(1), "", encoded)).To(Equal(job.OutcomeDone))
		if attempt == 2 {
			g.Expect(l.events).To(BeEmpty()) // stored before
			continue
		}
		var event any
		g.Eventually(l.events).Should(Receive(&event))
		if event.(dispatch.JobAccepted).Notified {
			notified++
		}
	}
	g.Expect(notified).To(Equal(1))
}
