package workerstandin_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/workerstandin"
	"fuchsiacross/workerv1"
	"fuchsiacross/workerv1/workerv1connect"
)

// testScheduler is a client of a worker that sends any commands, also those that a
// correct scheduler does not send.
type testScheduler struct {
	client workerv1connect.WorkerServiceClient
	stream *connect.BidiStreamForClientSimple[workerv1.Command, workerv1.Report]
}

func newWorker(id model.WorkerID, r *workerstandin.Recorder, permissive bool) *workerstandin.Worker {
	GinkgoHelper()
	w, err := workerstandin.New(workerstandin.Options{
		ID: id, Address: netip.MustParseAddrPort("127.0.0.1:0"), Recorder: r, Permissive: permissive, IgnoreFencing: permissive,
		Capacity: model.Resources{MilliCPU: 1000, Slots: 2},
		FetchBody: func(_ context.Context, d model.Digest) ([]byte, error) {
			Expect(d).To(Equal(model.DigestOf([]byte("{}"))))
			return []byte("{}"), nil
		},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Close)
	return w
}

func connectTo(w *workerstandin.Worker) *testScheduler {
	GinkgoHelper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	DeferCleanup(transport.CloseIdleConnections)
	s := &testScheduler{client: workerv1connect.NewWorkerServiceClient(
		&http.Client{Transport: transport}, "http://"+w.Address().String(),
	)}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var err error
	s.stream, err = s.client.Session(ctx)
	Expect(err).NotTo(HaveOccurred())
	return s
}

func (s *testScheduler) send(c *workerv1.Command) {
	GinkgoHelper()
	Expect(s.stream.Send(c)).To(Succeed())
}

func (s *testScheduler) receive() *workerv1.Report {
	GinkgoHelper()
	r, err := s.stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return r
}

// acquire requests the lease and returns its term, or 0 if it is denied.
func (s *testScheduler) acquire(holder string, incarnation, revision uint64) uint64 {
	GinkgoHelper()
	s.send(&workerv1.Command{Command: &workerv1.Command_Acquire{Acquire: &workerv1.Acquire{
		Holder: holder, HolderIncarnation: incarnation, DocumentRevision: revision, LeaseMilliseconds: 5000,
	}}})
	return s.receive().GetGranted().GetTerm()
}

// run starts an attempt with a Run call and returns the reason if it is refused, or
// an empty string.
func (s *testScheduler) run(start *workerv1.Start) string {
	GinkgoHelper()
	reply, err := s.client.Run(context.Background(), &workerv1.RunRequest{Start: start})
	Expect(err).NotTo(HaveOccurred())
	return reply.GetRefused().GetReason()
}

func newStart(term uint64, id string, number uint32, milliCPU int64) *workerv1.Start {
	return &workerv1.Start{
		Term: term, Attempt: &workerv1.Attempt{RequestId: id, Number: number},
		Kind: "request", Resources: &workerv1.Resources{MilliCpu: milliCPU, Slots: 1},
	}
}

var _ = Describe("Worker", func() {
	// Each rule protects a guarantee of the design. A stand-in that misses a
	// violation hides a faulty scheduler, and one that does not refuse a start
	// makes a correct scheduler look faulty.
	It("refuses a start that breaks a rule, or records a violation if it is permissive", func() {
		tests := []struct {
			rule    workerstandin.Rule
			refused bool // by a worker that is not permissive
			do      func(w *workerstandin.Worker, s *testScheduler, term uint64) string
		}{
			{workerstandin.RuleOvercommitted, true, func(_ *workerstandin.Worker, s *testScheduler, term uint64) string {
				return s.run(newStart(term, "large", 1, 1001))
			}},
			{workerstandin.RuleStaleTerm, true, func(_ *workerstandin.Worker, s *testScheduler, term uint64) string {
				return s.run(newStart(term-1, "older", 1, 1))
			}},
			{workerstandin.RuleFencedAttempt, true, func(_ *workerstandin.Worker, s *testScheduler, term uint64) string {
				a := &workerv1.Attempt{RequestId: "fenced", Number: 1}
				s.send(&workerv1.Command{Command: &workerv1.Command_Fence{Fence: &workerv1.Fence{Term: term, Attempt: a}}})
				Expect(s.receive().GetFenced().GetReport().GetState()).To(Equal(workerv1.TaskState_TASK_STATE_NEVER_SEEN))
				return s.run(newStart(term, "fenced", 1, 1))
			}},
			{workerstandin.RuleStartWhenLeaving, true, func(w *workerstandin.Worker, s *testScheduler, term uint64) string {
				w.Leave(time.Now().Add(time.Minute))
				Expect(s.run(newStart(term, "in grace", 1, 1))).To(BeEmpty())
				time.Sleep(2100 * time.Millisecond)
				return s.run(newStart(term, "late", 1, 1))
			}},
			{workerstandin.RuleStartedTwice, false, func(_ *workerstandin.Worker, s *testScheduler, term uint64) string {
				Expect(s.run(newStart(term, "paid", 1, 1))).To(BeEmpty())
				return s.run(newStart(term, "paid", 2, 1))
			}},
			{workerstandin.RuleRevisionDecreased, false, func(_ *workerstandin.Worker, s *testScheduler, term uint64) string {
				s.send(&workerv1.Command{Command: &workerv1.Command_Renew{Renew: &workerv1.Renew{Term: term, DocumentRevision: 4}}})
				Expect(s.receive().GetRenewed().GetTerm()).To(Equal(term))
				return ""
			}},
		}
		for _, test := range tests {
			for _, permissive := range []bool{false, true} {
				r := workerstandin.NewRecorder()
				w := newWorker("w1", r, permissive)
				s := connectTo(w)
				reason := test.do(w, s, s.acquire("entry-1", 1, 5))
				if test.refused && !permissive {
					Expect(reason).NotTo(BeEmpty(), "%s", test.rule)
					Expect(r.Violations()).To(BeEmpty())
					continue
				}
				Expect(reason).To(BeEmpty(), "%s", test.rule)
				Expect(r.Violations()).To(HaveLen(1))
				Expect(r.Violations()[0].Rule).To(Equal(test.rule))
			}
		}
	})

	// Only the shared recorder can detect a run at two workers; neither worker can.
	It("detects a request that runs at two workers at once", func() {
		r := workerstandin.NewRecorder()
		for i, id := range []model.WorkerID{"w1", "w2"} {
			s := connectTo(newWorker(id, r, false))
			start := newStart(s.acquire("entry-1", 1, 1), "letter", uint32(i+1), 1)
			start.Kind = "service"
			s.send(&workerv1.Command{Command: &workerv1.Command_Start{Start: start}})
			Expect(s.receive().GetStarted()).NotTo(BeNil())
		}
		Expect(r.Violations()).To(HaveLen(1))
		Expect(r.Violations()[0].Rule).To(Equal(workerstandin.RuleConcurrentRuns))
	})

	// Two instances that held the lease at once could overcommit the worker.
	It("grants the lease to its holder again and denies it to others", func() {
		w := newWorker("w1", workerstandin.NewRecorder(), false)
		first := connectTo(w)
		Expect(first.acquire("entry-1", 2, 1)).To(Equal(uint64(1)))
		Expect(connectTo(w).acquire("entry-2", 9, 1)).To(BeZero())
		Expect(connectTo(w).acquire("entry-1", 1, 1)).To(BeZero())
		Expect(connectTo(w).acquire("entry-1", 2, 1)).To(Equal(uint64(2)))
		Expect(first.receive().GetRevoked().GetTerm()).To(Equal(uint64(2)))
	})

	// If a duplicate start ran the attempt again, the request would run twice.
	It("starts an attempt only once", func() {
		r := workerstandin.NewRecorder()
		s := connectTo(newWorker("w1", r, false))
		term := s.acquire("entry-1", 1, 1)
		for range 3 {
			Expect(s.run(newStart(term, "once", 1, 1))).To(BeEmpty())
		}
		Expect(r.StartsOf("once")).To(HaveLen(1))
	})

	// A large body is not part of the start, so the worker must fetch it.
	It("fetches a stored body", func() {
		r := workerstandin.NewRecorder()
		s := connectTo(newWorker("w1", r, false))
		start := newStart(s.acquire("entry-1", 1, 1), "stored", 1, 1)
		digest := model.DigestOf([]byte("{}"))
		start.BodyStored, start.BodyDigest = true, digest[:]
		Expect(s.run(start)).To(BeEmpty())
		Expect(r.EntriesOfKind(workerstandin.EntryFinished)).To(HaveLen(1))
	})

	// Scenario scripts can control the process of a stand-in only over HTTP.
	It("is controlled over HTTP", func() {
		w := newWorker("w1", workerstandin.NewRecorder(), false)
		call := func(method, path, body string) (int, string) {
			request, err := http.NewRequest(method, "http://"+w.Address().String()+"/standin/"+path, strings.NewReader(body))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			return response.StatusCode, string(text)
		}
		status, _ := call("PUT", "faults", `{"fail_everything": true}`)
		Expect(status).To(Equal(http.StatusBadRequest))
		status, _ = call("PUT", "faults", `{"fail_all": true}`)
		Expect(status).To(Equal(http.StatusNoContent))
		status, _ = call("POST", "leave", `{"deadline_milliseconds": 1000}`)
		Expect(status).To(Equal(http.StatusNoContent))
		s := connectTo(w)
		s.run(newStart(s.acquire("entry-1", 1, 1), "failing", 1, 1))
		status, _ = call("POST", "crash", "")
		Expect(status).To(Equal(http.StatusNoContent))
		_, record := call("GET", "record", "")
		Expect(record).To(And(ContainSubstring(`"kind":"failed"`), ContainSubstring(`"kind":"leaving"`),
			ContainSubstring(`"kind":"crashed"`), ContainSubstring(`"violations":[]`)))
	})
})
