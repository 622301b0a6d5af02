package jobstore_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/model"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
)

func TestJobstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jobstore")
}

var _ = Describe("Store", func() {
	var server *standin.Store
	var jobs *jobstore.Store
	var home string
	ctx := context.Background()
	sample := job.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", AcceptedAt: time.UnixMilli(1_700_000_000_123),
		Policy: &job.Queue{
			Name: "q", Pool: "p", Priority: 2, MaxAttempts: 4, Stretch: 1.5, LatencyMilliseconds: 300,
			RequiresAdvice: true, AdviceCallMilliseconds: 8, AdviceWorkerMilliseconds: 0.12, TicketMilliseconds: 2500,
		},
		Definition: job.Definition{
			Spec: "spec", Occurrences: 3, FirstDueMilliseconds: 5, IntervalMilliseconds: 7,
			Steps: []job.Step{
				{Tasks: 2, Demand: model.Resources{MilliCPU: 500, MemoryBytes: 1 << 20, Accelerators: 1}, EstimateMilliseconds: 9.5, Gang: true, SameRack: true},
				{Tasks: 1, After: []int{0}, Checkpoints: true, RequiredLabel: "a", DataRack: "r1-1", MaxPerWorker: 2, Speculative: true, LongRunning: true, Fills: true, TargetMilliseconds: 40},
			},
		},
	}

	BeforeEach(func() {
		server = standin.NewStore()
		DeferCleanup(server.Close)
		jobs = jobstore.New(store.New(server.Address()), 0)
		home = jobs.Homes(sample.ID)[0]
	})
	accept := func() (bool, error) {
		encoded, err := jobstore.EncodeJob(sample)
		Expect(err).NotTo(HaveOccurred())
		version, err := jobs.Accept(ctx, home, sample.ID, encoded)
		return version != 0, err
	}

	// On a slow link, reading everything takes longer than one call to Load.
	It("keeps what a failed load has read", func() {
		Expect(accept()).To(BeTrue())
		loader := jobs.NewLoader(0)
		server.SetUnresponsive("p7")
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, _, err := loader.Load(short)
		Expect(err).To(HaveOccurred())
		server.SetUnresponsive()
		before := server.Calls(http.MethodGet, "/rows-get")
		loaded, _, err := loader.Load(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Jobs).To(HaveLen(1))
		Expect(server.Calls(http.MethodGet, "/rows-get") - before).To(BeNumerically("<=", 2))
	})

	// One row that could not be decoded kept a new leader from loading all other jobs.
	It("loads all other jobs beside rows that cannot be decoded", func() {
		Expect(accept()).To(BeTrue())
		write := func(partition, table, key string, value []byte) {
			_, err := store.New(server.Address()).Commit(ctx, store.Transaction{Partition: partition, Writes: []store.Write{{Table: table, Key: key, Value: value}}})
			Expect(err).NotTo(HaveOccurred())
		}
		// A step that depends on a later one, which ended the process that planned it.
		broken := sample
		broken.ID, broken.Definition.Steps = "00000000000000b1", []job.Step{{Tasks: 1, After: []int{5}}}
		encoded, err := jobstore.EncodeJob(broken)
		Expect(err).NotTo(HaveOccurred())
		write("p1", jobs.JobTable(), string(broken.ID), encoded)
		write("p2", jobs.JobTable(), "00000000000000b2", []byte{0xff})
		// A job whose progress is unknown may have ended tasks, so none of it may start.
		started := sample
		started.ID = "00000000000000b3"
		encoded, err = jobstore.EncodeJob(started)
		Expect(err).NotTo(HaveOccurred())
		write("p3", jobs.JobTable(), string(started.ID), encoded)
		write("leader-0", "progress", string(started.ID), []byte{0xff})
		write("leader-0", "workers", "i-9", []byte{0xff})
		var unreadable []string
		jobs.OnUnreadableRow = func(key string, _ error) { unreadable = append(unreadable, key) }
		loaded, _, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Jobs).To(HaveLen(1))
		Expect(loaded.Jobs[0].ID).To(Equal(sample.ID))
		Expect(loaded.Workers).To(ConsistOf(dispatch.Enrolment{Worker: job.Worker{ID: "i-9"}, StrayLease: true}))
		Expect(unreadable).To(ConsistOf("00000000000000b1", "00000000000000b2", "00000000000000b3", "i-9"))
	})

	It("loads what was accepted, cancelled and saved", func() {
		Expect(accept()).To(BeTrue())
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		progress := dispatch.Progress{ID: sample.ID, Started: true, Steps: []dispatch.StepProgress{
			{Occurrence: 1, Step: 1, Done: []byte{1}, Failures: []dispatch.TaskFailures{{Index: 0, Runs: []int64{4, 9}}}, Starts: []dispatch.StartRecord{{Index: 2, Run: 12, Worker: "i-1"}}},
			{Step: 0, AllowedWorkers: []job.WorkerID{"i-1", "i-2"}, DeniedWorkers: []job.WorkerID{"i-3"}},
		}}
		workers := []dispatch.Enrolment{
			{Worker: job.Worker{ID: "i-1", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.1:1"), StartTime: 7}, StrayLease: true},
			{Worker: job.Worker{ID: "i-2", Pool: "p", Address: netip.MustParseAddrPort("10.0.0.2:1")}},
		}
		l := jobstore.LeaderRow{Name: "i", Token: 1}
		written, err := jobs.WriteLeader(ctx, 0, l, &dispatch.Save{Progress: []dispatch.Progress{progress}, Enrolled: workers, RunTimes: []byte("model")})
		Expect(err).NotTo(HaveOccurred())
		_, err = jobs.WriteLeader(ctx, written, l, &dispatch.Save{Unenrolled: []job.WorkerID{"i-2"}})
		Expect(err).NotTo(HaveOccurred())
		loaded, version, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(version).To(BeNumerically(">", 0))
		Expect(loaded.RunTimes).To(Equal([]byte("model")))
		Expect(loaded.Jobs).To(HaveLen(1))
		Expect(loaded.Jobs[0].Version).To(BeNumerically(">", 0))
		loaded.Jobs[0].Version = 0
		Expect(loaded.Jobs).To(Equal([]job.Job{sample}))
		Expect(loaded.Cancels).To(Equal([]dispatch.CancelAccepted{{ID: sample.ID}}))
		Expect(loaded.Progress).To(Equal([]dispatch.Progress{progress}))
		Expect(loaded.Workers).To(Equal(workers[:1]))
	})

	// A job that is submitted again after it was accepted must not be inserted twice.
	It("accepts a job once", func() {
		Expect(accept()).To(BeTrue())
		Expect(accept()).To(BeFalse())
	})

	// A client that submits its job again may reach another instance, for which the first
	// home does not answer. The job is then in both homes and must still run only once.
	It("loads a job that is in both of its homes once, with the earlier acceptance", func() {
		encode := func(at time.Time) []byte {
			j := sample
			j.AcceptedAt = at
			encoded, err := jobstore.EncodeJob(j)
			Expect(err).NotTo(HaveOccurred())
			return encoded
		}
		homes := jobs.Homes(sample.ID)
		Expect(homes[0]).NotTo(Equal(homes[1]))
		Expect(jobs.Accept(ctx, homes[1], sample.ID, encode(sample.AcceptedAt.Add(time.Second)))).NotTo(BeZero())
		Expect(jobs.Accept(ctx, homes[0], sample.ID, encode(sample.AcceptedAt))).NotTo(BeZero())
		loaded, _, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Jobs).To(HaveLen(1))
		Expect(loaded.Jobs[0].Version).To(BeNumerically(">", 0))
		loaded.Jobs[0].Version = 0
		Expect(loaded.Jobs).To(Equal([]job.Job{sample}))
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateCancelled))
	})

	It("returns an unresponsive home last", func() {
		homes := jobs.Homes(sample.ID)
		jobs.MarkUnresponsive(homes[0])
		Expect(jobs.Homes(sample.ID)[0]).To(Equal(homes[1]))
	})

	// If the leader was notified of one row only, its predecessor may have started the job
	// after a notification of the other row.
	It("reports jobs that have a row in each home as resubmitted", func() {
		for n, rows := range []int{1, 2} {
			stored := sample
			stored.ID = job.ID(fmt.Sprintf("%016x", n))
			homes := jobs.Homes(stored.ID)
			for _, home := range homes[:rows] {
				encoded, err := jobstore.EncodeJob(stored)
				Expect(err).NotTo(HaveOccurred())
				Expect(jobs.Accept(ctx, home, stored.ID, encoded)).NotTo(BeZero())
			}
		}
		loaded, _, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Jobs).To(HaveLen(2))
		Expect(loaded.Resubmitted).To(Equal([]job.ID{job.ID(fmt.Sprintf("%016x", 1))}))
	})

	// A job that one home does not hold may be in the other home, which does not answer.
	It("reports a job as missing only if both homes answer", func() {
		homes := jobs.Homes(sample.ID)
		server.SetUnresponsive(homes[1])
		shortCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := jobs.ReadState(shortCtx, sample.ID)
		Expect(err).To(HaveOccurred())
		Expect(accept()).To(BeTrue())
		ctxAgain, cancelAgain := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancelAgain()
		Expect(jobs.ReadState(ctxAgain, sample.ID)).To(Equal(job.StateQueued))
	})

	It("removes a job from both homes, with its cancellation and its progress", func() {
		for _, home := range jobs.Homes(sample.ID) {
			encoded, err := jobstore.EncodeJob(sample)
			Expect(err).NotTo(HaveOccurred())
			Expect(jobs.Accept(ctx, home, sample.ID, encoded)).NotTo(BeZero())
		}
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		l := jobstore.LeaderRow{Name: "i", Token: 1}
		progress := dispatch.Progress{ID: sample.ID, State: job.StateCancelled}
		version, err := jobs.WriteLeader(ctx, 0, l, &dispatch.Save{Progress: []dispatch.Progress{progress}})
		Expect(err).NotTo(HaveOccurred())
		Expect(jobs.Remove(ctx, sample.ID)).To(Succeed())
		_, err = jobs.WriteLeader(ctx, version, l, &dispatch.Save{RemovedProgress: []job.ID{sample.ID}})
		Expect(err).NotTo(HaveOccurred())
		loaded, _, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded).To(BeZero())
		Expect(jobs.ReadState(ctx, sample.ID)).To(BeEmpty())
	})

	// Callers take a refusal as proof that the job never runs.
	It("refuses a job only if the store did nothing", func() {
		server.SetDown(true)
		_, err := accept()
		Expect(err).To(MatchError(store.ErrRefused))
		server.SetDown(false)
		server.DropResponses(1)
		_, err = accept()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(store.ErrRefused))
		Expect(accept()).To(BeFalse(), "the lost transaction was carried out")
	})

	It("reads a job's state without the leader", func() {
		Expect(jobs.ReadState(ctx, sample.ID)).To(BeEmpty())
		Expect(accept()).To(BeTrue())
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateQueued))
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateCancelled))
		Expect(jobs.Cancel(ctx, "0000000000000000", "")).To(BeFalse())
	})

	// A client whose submission had no answer cancelled the job and heard that there is none.
	// Then the store carried out the insertion, and the job ran (review/7: UNASKED).
	It("carries out no insertion in transit of a job whose cancellation found none", func() {
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeFalse())
		client := store.New(server.Address())
		for _, home := range jobs.Homes(sample.ID) {
			_, err := client.Commit(ctx, store.Transaction{
				Partition: home,
				Expected:  []store.Condition{{Table: jobs.JobTable(), Key: string(sample.ID)}, {Table: jobs.JobTable(), Key: string(sample.ID) + "/cancel"}},
				Writes:    []store.Write{{Table: jobs.JobTable(), Key: string(sample.ID), Value: []byte{1}}},
			})
			Expect(err).To(MatchError(store.ErrConflict))
		}
		Expect(jobs.ReadState(ctx, sample.ID)).To(BeEmpty())
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeFalse())
	})

	It("stores a job as cancelled that is submitted after its cancellation", func() {
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeFalse())
		for _, home = range jobs.Homes(sample.ID) {
			Expect(accept()).To(BeFalse(), "nobody is notified of a new job")
			Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateCancelled))
			loaded, _, err := jobs.Load(ctx, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Cancels).To(ContainElement(dispatch.CancelAccepted{ID: sample.ID}))
		}
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		Expect(jobs.Remove(ctx, sample.ID)).To(Succeed())
		Expect(accept()).To(BeTrue(), "the cancellation was removed")
	})

	It("does not report a job as missing while one of its homes does not answer", func() {
		homes := jobs.Homes(sample.ID)
		server.SetUnresponsive(homes[1])
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		_, err := jobs.Cancel(short, sample.ID, "")
		Expect(err).To(HaveOccurred())
		server.SetUnresponsive()
		// The insertion in the other home is carried out before the client cancels again.
		home = homes[1]
		Expect(accept()).To(BeTrue())
		Expect(jobs.Cancel(ctx, sample.ID, "")).To(BeTrue())
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateCancelled))
	})

	It("loads progress that is divided into several rows", func() {
		Expect(accept()).To(BeTrue())
		parts := []dispatch.Progress{
			{ID: sample.ID, Started: true, CompletedOccurrences: []dispatch.OccurrenceRange{{First: 0, Last: 7}, {First: 9, Last: 9}}},
			{ID: sample.ID, Part: 1, Steps: []dispatch.StepProgress{{Occurrence: 8, Done: []byte{1}}}},
			{ID: sample.ID, Part: 2, Steps: []dispatch.StepProgress{{Occurrence: 10, Done: []byte{1}}}},
		}
		l := jobstore.LeaderRow{Name: "i", Token: 1}
		version, err := jobs.WriteLeader(ctx, 0, l, &dispatch.Save{Progress: parts})
		Expect(err).NotTo(HaveOccurred())
		loaded, _, err := jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Progress).To(Equal(parts))
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateRunning))
		_, err = jobs.WriteLeader(ctx, version, l, &dispatch.Save{Progress: parts[:1], RemovedParts: []dispatch.ProgressPart{{ID: sample.ID, Part: 1}, {ID: sample.ID, Part: 2}}})
		Expect(err).NotTo(HaveOccurred())
		loaded, _, err = jobs.Load(ctx, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Progress).To(Equal(parts[:1]))
	})

	// Expensive advice is stored as progress before the job's first run starts.
	It("reports a job with progress but without a start as queued", func() {
		Expect(accept()).To(BeTrue())
		progress := dispatch.Progress{ID: sample.ID, Steps: []dispatch.StepProgress{{AllowedWorkers: []job.WorkerID{"i-1"}}}}
		_, err := jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "i", Token: 1}, &dispatch.Save{Progress: []dispatch.Progress{progress}})
		Expect(err).NotTo(HaveOccurred())
		Expect(jobs.ReadState(ctx, sample.ID)).To(Equal(job.StateQueued))
	})

	It("lets only one of two instances claim the leadership", func() {
		_, err := jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "a", Token: 1}, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "b", Token: 1}, nil)
		Expect(err).To(MatchError(jobstore.ErrDeposed))
	})
})

var _ = Describe("Saver", func() {
	ctx := context.Background()
	startSaver := func() (*standin.Store, *jobstore.Store, *jobstore.Saver, chan jobstore.Report) {
		server := standin.NewStore()
		DeferCleanup(server.Close)
		jobs := jobstore.New(store.New(server.Address()), 0)
		l := jobstore.LeaderRow{Name: "a", Incarnation: 1, Token: 1}
		version, err := jobs.WriteLeader(ctx, 0, l, nil)
		Expect(err).NotTo(HaveOccurred())
		reports := make(chan jobstore.Report, 1000)
		saver := jobstore.NewSaver(jobs, l, version, func(r jobstore.Report) { reports <- r })
		DeferCleanup(func() { saver.Stop() })
		return server, jobs, saver, reports
	}
	isSaved := func(n int64) func(jobstore.Report) bool {
		return func(r jobstore.Report) bool { return r.SavedNumber == n }
	}
	save := &dispatch.Save{Number: 1, Progress: []dispatch.Progress{{ID: "5c0e7a21d94b36f8", State: job.StateCompleted}}}

	// A save whose answer is lost has been applied. It must be reported as saved, and its
	// row must not be mistaken for another instance's claim.
	It("detects that a save whose answer was lost is stored", func() {
		server, jobs, saver, reports := startSaver()
		server.DropResponses(1)
		saver.Save(save)
		Eventually(reports, "5s").Should(Receive(Satisfy(isSaved(1))))
		Expect(jobs.ReadState(ctx, "5c0e7a21d94b36f8")).To(Equal(job.StateCompleted))
	})

	// With a third of the answers lost, each save without an answer delayed the next ones
	// by half a second, during which no job was shown as completed.
	It("takes at most a quarter of a second per save on average if every second answer is lost", func() {
		server, _, saver, reports := startSaver()
		server.HangEveryNth(2)
		const saves = 24
		startedAt := time.Now()
		for n := range int64(saves) {
			saver.Save(&dispatch.Save{Number: n + 1, Progress: save.Progress})
			Eventually(reports, "5s").Should(Receive(Satisfy(isSaved(n + 1))))
		}
		Expect(time.Since(startedAt)).To(BeNumerically("<", saves*time.Second/4))
	})

	// A leader that stopped its saves but did not release its row left the successors
	// waiting for the row to change. With a slow store the shard had no leader for 4.6 s.
	It("releases the row together with a queued save, also if an answer is lost", func() {
		server, jobs, saver, reports := startSaver()
		server.DropResponses(1)
		saver.Save(save)
		shortCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		version, released := saver.Release(shortCtx)
		Expect(released).To(BeTrue())
		l, stored, err := jobs.ReadLeader(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Released).To(BeTrue())
		Expect(stored).To(Equal(version))
		Eventually(reports, "5s").Should(Receive(Satisfy(isSaved(1))))
	})

	It("stops a release when its context expires", func() {
		server, _, saver, _ := startSaver()
		server.SetDown(true)
		shortCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, released := saver.Release(shortCtx)
		Expect(released).To(BeFalse())
	})

	It("completes a save when the store is available again", func() {
		server, _, saver, reports := startSaver()
		server.SetDown(true)
		saver.Save(save)
		Consistently(reports, "300ms").ShouldNot(Receive(Satisfy(isSaved(1))))
		server.SetDown(false)
		Eventually(reports, "5s").Should(Receive(Satisfy(isSaved(1))))
	})

	// The saver repeated a save that the store rejects for ever, and confirmed nothing.
	It("goes on after a save that the store rejects", func() {
		server, jobs, saver, reports := startSaver()
		server.SetMaxRowBytes(100)
		saver.Save(&dispatch.Save{Number: 7, Progress: []dispatch.Progress{{ID: "5c0e7a21d94b36f8", Steps: []dispatch.StepProgress{{Done: make([]byte, 200)}}}}})
		Eventually(reports, "5s").Should(Receive(Satisfy(func(r jobstore.Report) bool { return r.RejectedNumber == 7 && r.Err != nil })))
		saver.Save(save)
		Eventually(reports, "5s").Should(Receive(Satisfy(isSaved(1))))
		Expect(jobs.ReadState(ctx, "5c0e7a21d94b36f8")).To(Equal(job.StateCompleted))
		saver.Save(&dispatch.Save{Number: 8, Progress: []dispatch.Progress{{ID: "5c0e7a21d94b36f8", Steps: []dispatch.StepProgress{{Done: make([]byte, 200)}}}}})
		_, released := saver.Release(ctx)
		Expect(released).To(BeTrue())
	})

	// A deposed leader must not overwrite its successor's progress with older progress.
	It("saves nothing after another instance has claimed the row", func() {
		_, jobs, saver, reports := startSaver()
		Eventually(func() error {
			_, version, err := jobs.ReadLeader(ctx)
			Expect(err).NotTo(HaveOccurred())
			_, err = jobs.WriteLeader(ctx, version, jobstore.LeaderRow{Name: "b", Incarnation: 2, Token: 2}, nil)
			return err
		}, "5s").Should(Succeed())
		go saver.Save(save)
		Eventually(reports, "5s").Should(Receive(Satisfy(func(r jobstore.Report) bool { return r.Deposed })))
		Expect(jobs.ReadState(ctx, "5c0e7a21d94b36f8")).To(BeEmpty())
	})
})
