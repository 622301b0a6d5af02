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

// peer is a scheduler that sends whatever a test tells it to.
type peer struct {
	client workerv1connect.WorkerServiceClient
	stream *connect.BidiStreamForClientSimple[workerv1.Command, workerv1.Report]
}

func newWorker(id model.WorkerID, r *workerstandin.Recorder, trusting bool) *workerstandin.Worker {
	GinkgoHelper()
	w, err := workerstandin.New(workerstandin.Options{
		ID: id, Address: netip.MustParseAddrPort("127.0.0.1:0"), Recorder: r, Permissive: trusting, Unguarded: trusting,
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

func connectTo(w *workerstandin.Worker) *peer {
	GinkgoHelper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	DeferCleanup(transport.CloseIdleConnections)
	p := &peer{client: workerv1connect.NewWorkerServiceClient(
		&http.Client{Transport: transport}, "http://"+w.Address().String(),
	)}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	var err error
	p.stream, err = p.client.Session(ctx)
	Expect(err).NotTo(HaveOccurred())
	return p
}

func (p *peer) send(c *workerv1.Command) {
	GinkgoHelper()
	Expect(p.stream.Send(c)).To(Succeed())
}

func (p *peer) receive() *workerv1.Report {
	GinkgoHelper()
	r, err := p.stream.Receive()
	Expect(err).NotTo(HaveOccurred())
	return r
}

// acquire asks for the lease and returns its term, or 0 when it is denied.
func (p *peer) acquire(holder string, life, revision uint64) uint64 {
	GinkgoHelper()
	p.send(&workerv1.Command{Command: &workerv1.Command_Acquire{Acquire: &workerv1.Acquire{
		Holder: holder, HolderIncarnation: life, DocumentRevision: revision, LeaseMilliseconds: 5000,
	}}})
	return p.receive().GetGranted().GetTerm()
}

// run starts an attempt through the runner and returns the reason of a refusal.
func (p *peer) run(start *workerv1.Start) string {
	GinkgoHelper()
	reply, err := p.client.Run(context.Background(), &workerv1.RunRequest{Start: start})
	Expect(err).NotTo(HaveOccurred())
	return reply.GetRefused().GetReason()
}

func startOf(term uint64, id string, number uint32, milliCPU int64) *workerv1.Start {
	return &workerv1.Start{
		Term: term, Attempt: &workerv1.Attempt{RequestId: id, Number: number},
		Kind: "request", Resources: &workerv1.Resources{MilliCpu: milliCPU, Slots: 1},
	}
}

var _ = Describe("Worker", func() {
	// Each rule guards a guarantee of the design page: a stand-in that misses a
	// violation hides a faulty scheduler, and one that does not refuse would let
	// a correct scheduler look faulty.
	It("refuses what breaks a rule, or records it when it is trusting", func() {
		tests := []struct {
			rule    workerstandin.Rule
			refused bool // by a worker that is not trusting
			do      func(w *workerstandin.Worker, p *peer, term uint64) string
		}{
			{workerstandin.RuleOvercommitted, true, func(_ *workerstandin.Worker, p *peer, term uint64) string {
				return p.run(startOf(term, "large", 1, 1001))
			}},
			{workerstandin.RuleOlderTerm, true, func(_ *workerstandin.Worker, p *peer, term uint64) string {
				return p.run(startOf(term-1, "older", 1, 1))
			}},
			{workerstandin.RuleFencedAttempt, true, func(_ *workerstandin.Worker, p *peer, term uint64) string {
				a := &workerv1.Attempt{RequestId: "fenced", Number: 1}
				p.send(&workerv1.Command{Command: &workerv1.Command_Fence{Fence: &workerv1.Fence{Term: term, Attempt: a}}})
				Expect(p.receive().GetFenced().GetReport().GetState()).To(Equal(workerv1.TaskState_TASK_STATE_NEVER_SEEN))
				return p.run(startOf(term, "fenced", 1, 1))
			}},
			{workerstandin.RuleStartWhenLeaving, true, func(w *workerstandin.Worker, p *peer, term uint64) string {
				w.Leave(time.Now().Add(time.Minute))
				Expect(p.run(startOf(term, "in grace", 1, 1))).To(BeEmpty())
				time.Sleep(2100 * time.Millisecond)
				return p.run(startOf(term, "late", 1, 1))
			}},
			{workerstandin.RuleStartedTwice, false, func(_ *workerstandin.Worker, p *peer, term uint64) string {
				Expect(p.run(startOf(term, "paid", 1, 1))).To(BeEmpty())
				return p.run(startOf(term, "paid", 2, 1))
			}},
			{workerstandin.RuleRevisionDown, false, func(_ *workerstandin.Worker, p *peer, term uint64) string {
				p.send(&workerv1.Command{Command: &workerv1.Command_Renew{Renew: &workerv1.Renew{Term: term, DocumentRevision: 4}}})
				Expect(p.receive().GetRenewed().GetTerm()).To(Equal(term))
				return ""
			}},
		}
		for _, test := range tests {
			for _, trusting := range []bool{false, true} {
				r := workerstandin.NewRecorder()
				w := newWorker("w1", r, trusting)
				p := connectTo(w)
				reason := test.do(w, p, p.acquire("entry-1", 1, 5))
				if test.refused && !trusting {
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

	// A run in two places is only seen by comparing workers.
	It("finds a request that runs at two workers at once", func() {
		r := workerstandin.NewRecorder()
		for i, id := range []model.WorkerID{"w1", "w2"} {
			p := connectTo(newWorker(id, r, false))
			start := startOf(p.acquire("entry-1", 1, 1), "letter", uint32(i+1), 1)
			start.Kind = "service"
			p.send(&workerv1.Command{Command: &workerv1.Command_Start{Start: start}})
			Expect(p.receive().GetStarted()).NotTo(BeNil())
		}
		Expect(r.Violations()).To(HaveLen(1))
		Expect(r.Violations()[0].Rule).To(Equal(workerstandin.RuleTwoPlaces))
	})

	// Two instances with the lease at once could each fill the worker.
	It("grants the lease to its holder again and denies it to others", func() {
		w := newWorker("w1", workerstandin.NewRecorder(), false)
		first := connectTo(w)
		Expect(first.acquire("entry-1", 2, 1)).To(Equal(uint64(1)))
		Expect(connectTo(w).acquire("entry-2", 9, 1)).To(BeZero())
		Expect(connectTo(w).acquire("entry-1", 1, 1)).To(BeZero())
		Expect(connectTo(w).acquire("entry-1", 2, 1)).To(Equal(uint64(2)))
		Expect(first.receive().GetRevoked().GetTerm()).To(Equal(uint64(2)))
	})

	// A duplicate that ran again would run a request twice.
	It("starts an attempt once", func() {
		r := workerstandin.NewRecorder()
		p := connectTo(newWorker("w1", r, false))
		term := p.acquire("entry-1", 1, 1)
		for range 3 {
			Expect(p.run(startOf(term, "once", 1, 1))).To(BeEmpty())
		}
		Expect(r.StartsOf("once")).To(HaveLen(1))
	})

	// Large bodies are not sent with the start.
	It("fetches a stored body", func() {
		r := workerstandin.NewRecorder()
		p := connectTo(newWorker("w1", r, false))
		start := startOf(p.acquire("entry-1", 1, 1), "stored", 1, 1)
		digest := model.DigestOf([]byte("{}"))
		start.BodyStored, start.BodyDigest = true, digest[:]
		Expect(p.run(start)).To(BeEmpty())
		Expect(r.EntriesOfKind(workerstandin.EntryFinished)).To(HaveLen(1))
	})

	// A scenario script has no other way to reach a stand-in's process.
	It("is driven over HTTP", func() {
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
		p := connectTo(w)
		p.run(startOf(p.acquire("entry-1", 1, 1), "failing", 1, 1))
		status, _ = call("POST", "crash", "")
		Expect(status).To(Equal(http.StatusNoContent))
		_, record := call("GET", "record", "")
		Expect(record).To(And(ContainSubstring(`"kind":"failed"`), ContainSubstring(`"kind":"leaving"`),
			ContainSubstring(`"kind":"crashed"`), ContainSubstring(`"violations":[]`)))
	})
})
