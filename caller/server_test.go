package caller_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/caller"
	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

const gates = `{"owners":["gates"],"workloads":[
	{"name":"check","kind":"request","class":"urgent","idempotent":true,"deadline_seconds":5,"resources":{"milli_cpu":500}},
	{"name":"season","kind":"batch","class":"standard","preemptible":true,"deadline_seconds":60}]}`

// harness is a server whose reducer is replaced by the function handleEvent.
type harness struct {
	server      *caller.Server
	client      callerv1connect.CallerServiceClient
	url         string
	metrics     metrics.Registry
	stored      atomic.Int64
	storeUp     atomic.Bool
	mu          sync.Mutex
	doc         atomic.Pointer[document.Document]
	events      []event.Event
	handleEvent func(event.Event) event.Effect
}

func newHarness(handleEvent func(event.Event) event.Effect) *harness {
	doc, err := document.Assemble(3, []document.Section{{Name: "gates", Revision: 1, DocumentRevision: 3, Body: []byte(gates)}})
	Expect(err).NotTo(HaveOccurred())
	h := &harness{handleEvent: handleEvent, metrics: metrics.NewRegistry()}
	h.doc.Store(doc)
	h.storeUp.Store(true)
	var tokens atomic.Uint64
	limits := model.DefaultLimits()
	limits.MaxBodyBytes = 64 << 10
	h.server = caller.New(caller.Options{
		Post:      h.post,
		NextToken: func() event.Token { return event.Token(tokens.Add(1)) },
		Now:       time.Now,
		Document:  h.doc.Load,
		StoreBody: func(_ context.Context, data []byte) (model.Digest, error) {
			if !h.storeUp.Load() {
				return model.Digest{}, errors.New("store is down")
			}
			h.stored.Add(1)
			return model.DigestOf(data), nil
		},
		Limits:   limits,
		MaxCalls: 2,
		Metrics:  h.metrics,
	})
	mux := http.NewServeMux()
	mux.Handle(h.server.Handler())
	listener := httptest.NewServer(mux)
	DeferCleanup(listener.Close)
	h.url = listener.URL
	h.client = callerv1connect.NewCallerServiceClient(listener.Client(), listener.URL)
	return h
}

func (h *harness) post(e event.Event) {
	h.mu.Lock()
	h.events = append(h.events, e)
	h.mu.Unlock()
	if h.handleEvent == nil {
		return
	}
	if effect := h.handleEvent(e); effect != nil {
		go h.server.Apply(effect)
	}
}

func (h *harness) posted() []event.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]event.Event(nil), h.events...)
}

func replyDone(e event.Event) event.Effect {
	s, ok := e.(event.Submit)
	if !ok {
		return nil
	}
	answer := []byte("answer to " + s.Request.ID)
	return event.Reply{Token: s.Token, Outcome: model.Outcome{Status: model.StatusDone, Answer: answer, Digest: model.DigestOf(answer)}}
}

func checkRequest(id string) *callerv1.SubmitRequest {
	return &callerv1.SubmitRequest{RequestId: id, Team: "gates", Workload: "check", Body: []byte("lot 7")}
}

var _ = Describe("Submit", func() {
	// Without the values of the workload in the document the reducer would schedule the
	// request with the wrong kind, class and resources.
	It("completes a request from the document and returns the whole answer", func(ctx SpecContext) {
		h := newHarness(replyDone)
		response, err := h.client.Submit(ctx, checkRequest("c1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(response.GetOutcome().GetAnswer())).To(Equal("answer to c1"))
		Expect(response.GetOutcome().GetAnswerLength()).To(Equal(uint64(12)))
		digest := model.DigestOf([]byte("answer to c1"))
		Expect(response.GetOutcome().GetAnswerDigest()).To(Equal(digest[:]))
		s := h.posted()[0].(event.Submit)
		Expect(s.Wait).To(BeTrue())
		Expect(s.Request.Durability()).To(Equal(model.Ephemeral))
		Expect(s.Request.Resources).To(Equal(model.Resources{MilliCPU: 500, Slots: 1}))
		Expect(s.Request.Deadline).To(BeTemporally("~", time.Now().Add(5*time.Second), time.Second))
		Expect(s.Request.BodyDigest).To(Equal(model.DigestOf([]byte("lot 7"))))
	})

	// A malformed request must not be accepted in part, and its caller must get all
	// findings in one response.
	It("refuses malformed requests with every finding", func(ctx SpecContext) {
		h := newHarness(replyDone)
		tests := []struct {
			change func(*callerv1.SubmitRequest)
			places []string
		}{
			{func(m *callerv1.SubmitRequest) { m.Team = "nobody" }, []string{"team"}},
			{func(m *callerv1.SubmitRequest) { m.Workload = "none" }, []string{"workload"}},
			{func(m *callerv1.SubmitRequest) { m.Team, m.Workload = "", "" }, []string{"team", "workload"}},
			{func(m *callerv1.SubmitRequest) { m.Body = make([]byte, 100<<10) }, []string{"body"}},
			{func(m *callerv1.SubmitRequest) { m.Body = make([]byte, 1<<20) }, []string{"body"}},
			{func(m *callerv1.SubmitRequest) { m.Kind, m.Class = 99, 99 }, []string{"class", "kind"}},
			{func(m *callerv1.SubmitRequest) { m.Resources = &callerv1.Resources{MilliCpu: -1} }, []string{"resources.milli_cpu"}},
			{func(m *callerv1.SubmitRequest) { m.Resources = &callerv1.Resources{MemoryBytes: 1 << 62} }, []string{"resources.memory_bytes"}},
			{func(m *callerv1.SubmitRequest) { m.Deadline = timestamppb.New(time.Now().Add(-time.Second)) }, []string{"deadline"}},
			{func(m *callerv1.SubmitRequest) { m.Deadline = &timestamppb.Timestamp{Nanos: -1} }, []string{"deadline"}},
			{func(m *callerv1.SubmitRequest) {
				m.RequestId, m.Tasks, m.Team = strings.Repeat("x", 200), 20_000, "nobody"
			}, []string{"request_id", "tasks", "tasks", "team"}},
			{func(m *callerv1.SubmitRequest) {
				m.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 1))
			}, []string{"has 3 bytes of unknown fields"}},
		}
		for _, test := range tests {
			m := checkRequest("bad")
			test.change(m)
			_, err := h.client.Submit(ctx, m)
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument), "%v: %v", test.places, err)
			message := err.(*connect.Error).Message()
			var places []string
			for line := range strings.Lines(message) {
				place, _, _ := strings.Cut(strings.TrimSpace(line), ":")
				places = append(places, place)
			}
			Expect(places).To(Equal(test.places), message)
		}
		Expect(h.posted()).To(BeEmpty())
	})

	// If an instance reported teams as unknown before it has read the document, callers
	// would treat a temporary condition as a permanent error.
	It("returns a retryable error before it has a document", func(ctx SpecContext) {
		h := newHarness(replyDone)
		h.doc.Store(document.Default())
		_, err := h.client.Submit(ctx, checkRequest("c"))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		Expect(h.posted()).To(BeEmpty())
	})

	// A misspelt field in a JSON request must not be ignored silently.
	It("refuses unknown and overflowing JSON fields", func() {
		h := newHarness(replyDone)
		for _, fields := range []string{`"deadlin":1`, `"resources":{"milli_cpu":"9223372036854775808"}`} {
			body := `{"request_id":"a","team":"gates","workload":"check",` + fields + `}`
			for _, contentType := range []string{"application/json", "application/json; charset=utf-8"} {
				response, err := http.Post(h.url+callerv1connect.CallerServiceSubmitProcedure, contentType, bytes.NewBufferString(body))
				Expect(err).NotTo(HaveOccurred())
				text, _ := io.ReadAll(response.Body)
				Expect(response.Body.Close()).To(Succeed())
				Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
				Expect(string(text)).To(ContainSubstring("invalid_argument"))
			}
		}
		Expect(h.posted()).To(BeEmpty())
	})

	// A journaled request whose body is not stored cannot be recovered. Ephemeral
	// requests must not depend on the object store.
	It("stores large bodies of journaled requests first", func(ctx SpecContext) {
		h := newHarness(replyDone)
		m := checkRequest("s1")
		m.Workload, m.Body = "season", make([]byte, 5000)
		_, err := h.client.Submit(ctx, m)
		Expect(err).NotTo(HaveOccurred())
		r := h.posted()[0].(event.Submit).Request
		Expect([]any{r.BodyStored, r.Body == nil, r.BodyLength, r.Preemptible}).To(Equal([]any{true, true, int64(5000), false}))

		h.storeUp.Store(false)
		_, err = h.client.Submit(ctx, m)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		Expect(h.posted()).To(HaveLen(1))

		m.Workload = "check"
		_, err = h.client.Submit(ctx, m)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.stored.Load()).To(Equal(int64(1)))
	})

	// With a wrong code clients retry calls that they must not retry, or give up early.
	It("maps the codes of rejections", func(ctx SpecContext) {
		tests := []struct {
			code event.Code
			want connect.Code
		}{
			{event.CodeInvalid, connect.CodeInvalidArgument},
			{event.CodeConflict, connect.CodeAlreadyExists},
			{event.CodeUnavailable, connect.CodeUnavailable},
			{event.CodeExhausted, connect.CodeResourceExhausted},
		}
		for _, test := range tests {
			h := newHarness(func(e event.Event) event.Effect {
				return event.Reject{Token: e.(event.Submit).Token, Code: test.code, Place: "memory", Reason: "r"}
			})
			_, err := h.client.Submit(ctx, checkRequest("c"))
			Expect(connect.CodeOf(err)).To(Equal(test.want))
			Expect(err.(*connect.Error).Message()).To(Equal("memory: r"))
		}
	})

	// A corrupted answer must not be returned as the answer of the request.
	It("reports an answer that does not match its digest as lost", func(ctx SpecContext) {
		h := newHarness(func(e event.Event) event.Effect {
			reply := replyDone(e).(event.Reply)
			reply.Outcome.Answer = reply.Outcome.Answer[:5]
			return reply
		})
		_, err := h.client.Submit(ctx, checkRequest("c"))
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeDataLoss))
	})

	// Replies that arrive out of order or late must not reach the wrong caller.
	It("matches replies to calls and drops the rest", func(ctx SpecContext) {
		h := newHarness(nil)
		answers := make(chan string, 2)
		for _, id := range []string{"c1", "c2"} {
			go func() {
				defer GinkgoRecover()
				response, err := h.client.Submit(ctx, checkRequest(id))
				Expect(err).NotTo(HaveOccurred())
				Expect(string(response.GetOutcome().GetAnswer())).To(Equal("answer to " + id))
				answers <- id
			}()
		}
		Eventually(h.posted).Should(HaveLen(2))
		// Both concurrent calls are in use, so a third one is refused.
		_, err := h.client.Status(ctx, &callerv1.StatusRequest{RequestId: "c1"})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeResourceExhausted))
		events := h.posted()
		Expect(h.server.Apply(replyDone(events[1]))).To(BeTrue())
		Expect(h.server.Apply(replyDone(events[0]))).To(BeTrue())
		Eventually(answers).Should(HaveLen(2))
		Expect(h.server.Apply(replyDone(events[0]))).To(BeFalse())
		Expect(h.server.Apply(event.AnswerQuery{Token: 1})).To(BeFalse())
		Expect(metrics.GetOrRegisterCounter("caller.replies_dropped", h.metrics).Count()).To(Equal(int64(1)))
	})

	// Without this event the reducer would keep state for calls that have ended.
	It("posts CallAbandoned when a caller disconnects", func(ctx SpecContext) {
		h := newHarness(nil)
		ctxCall, cancel := context.WithCancel(ctx)
		go func() { _, _ = h.client.Submit(ctxCall, checkRequest("c")) }()
		Eventually(h.posted).Should(HaveLen(1))
		cancel()
		token := h.posted()[0].(event.Submit).Token
		Eventually(h.posted).Should(ContainElement(event.CallAbandoned{Token: token}))
		Expect(h.server.Apply(event.Reply{Token: token})).To(BeFalse())
	})

	// A call without a reply must not wait forever, and its error must leave the outcome
	// of the request open.
	It("returns unavailable after the deadline and the grace period", func(ctx SpecContext) {
		h := newHarness(nil)
		m := checkRequest("c")
		m.Deadline = timestamppb.New(time.Now().Add(100 * time.Millisecond))
		_, err := h.client.Submit(ctx, m)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
		Expect(h.posted()).To(HaveLen(2))
	})
})

var _ = Describe("Drain", func() {
	// A caller must learn when to come back, and a balancer must be able to send it elsewhere.
	It("refuses the calls that follow", func(ctx SpecContext) {
		h := newHarness(func(event.Event) event.Effect { return nil })
		h.server.Drain()
		_, err := h.client.Status(ctx, &callerv1.StatusRequest{RequestId: "c"})
		var failure *connect.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Code()).To(Equal(connect.CodeUnavailable))
		Expect(failure.Meta().Get("Retry-After")).To(Equal("1"))
		Expect(h.posted()).To(BeEmpty())
	})
})

var _ = Describe("Status and Cancel", func() {
	// The events must carry the identifier of the request and the wait flag.
	It("ask the reducer", func(ctx SpecContext) {
		h := newHarness(func(e event.Event) event.Effect {
			switch e := e.(type) {
			case event.Status:
				return event.Reply{Token: e.Token, Outcome: model.Outcome{Status: model.StatusNotRun, Proof: model.ProofTargetFenced}}
			case event.Cancel:
				return event.Reply{Token: e.Token, Outcome: model.Outcome{Status: model.StatusCancelled}}
			}
			return nil
		})
		status, err := h.client.Status(ctx, &callerv1.StatusRequest{RequestId: "c", Wait: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(status.GetOutcome().GetStatus()).To(Equal(callerv1.Status_STATUS_NOT_RUN))
		Expect(status.GetOutcome().GetProof()).To(Equal(callerv1.Proof_PROOF_TARGET_FENCED))
		cancelled, err := h.client.Cancel(ctx, &callerv1.CancelRequest{RequestId: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(cancelled.GetOutcome().GetStatus()).To(Equal(callerv1.Status_STATUS_CANCELLED))
		Expect(h.posted()).To(Equal([]event.Event{event.Status{Token: 1, Request: "c", Wait: true}, event.Cancel{Token: 2, Request: "c"}}))
		_, err = h.client.Cancel(ctx, &callerv1.CancelRequest{})
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeInvalidArgument))
	})
})
