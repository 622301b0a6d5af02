package client_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/client"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/operatorv1/operatorv1connect"
)

// stub is a server whose behaviour the test defines.
type stub struct {
	callerv1connect.UnimplementedCallerServiceHandler
	operatorv1connect.UnimplementedOperatorServiceHandler
	submit   func(*callerv1.SubmitRequest) (*callerv1.SubmitResponse, error)
	edits    []*operatorv1.EditSectionRequest
	cell     *operatorv1.Section
	timeline *operatorv1.TimelineResponse
}

func (s *stub) Submit(_ context.Context, m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	return s.submit(m)
}

func (s *stub) ShowDocument(context.Context, *operatorv1.ShowDocumentRequest) (*operatorv1.ShowDocumentResponse, error) {
	m := &operatorv1.ShowDocumentResponse{}
	if s.cell != nil {
		m.Sections = append(m.Sections, s.cell)
	}
	return m, nil
}

func (s *stub) EditSection(_ context.Context, m *operatorv1.EditSectionRequest) (*operatorv1.EditSectionResponse, error) {
	s.edits = append(s.edits, m)
	return &operatorv1.EditSectionResponse{Result: operatorv1.EditResult_EDIT_RESULT_COMMITTED}, nil
}

func (s *stub) Timeline(context.Context, *operatorv1.TimelineRequest) (*operatorv1.TimelineResponse, error) {
	return s.timeline, nil
}

func serve(h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func (s *stub) start() netip.AddrPort {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(s))
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(s))
	return serve(mux)
}

// refusingAddress returns an address on which nothing listens.
func refusingAddress() netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// abortingAddress returns the address of a server that aborts every request it handles.
func abortingAddress() netip.AddrPort {
	return serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
}

func newAnswer(text string) *callerv1.SubmitResponse {
	digest := model.DigestOf([]byte(text))
	return &callerv1.SubmitResponse{Outcome: &callerv1.Outcome{
		Status: callerv1.Status_STATUS_DONE, Answer: []byte(text), AnswerDigest: digest[:], AnswerLength: uint64(len(text)),
	}}
}

var _ = Describe("Submit", func() {
	entry := func(r *callerv1.SubmitResponse, err error) netip.AddrPort {
		s := &stub{submit: func(*callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) { return r, err }}
		return s.start()
	}
	rejection := func(code connect.Code) error { return connect.NewError(code, errors.New("r")) }

	// If a request is reported as not accepted although an entry may have received it,
	// its caller submits it again with a new identifier and it runs twice.
	It("chooses the kind of an error by what is known about the effect of the call", func(ctx SpecContext) {
		damaged := newAnswer("whole")
		damaged.Outcome.Answer = []byte("wHole")
		shortened := newAnswer("whole")
		shortened.Outcome.AnswerLength = 4
		tests := []struct {
			entries []netip.AddrPort
			want    client.ErrorKind
		}{
			{[]netip.AddrPort{entry(newAnswer("a"), nil)}, client.KindNone},
			{[]netip.AddrPort{refusingAddress(), abortingAddress(), entry(newAnswer("a"), nil)}, client.KindNone},
			{[]netip.AddrPort{}, client.KindInput},
			{[]netip.AddrPort{refusingAddress(), refusingAddress()}, client.KindUnavailable},
			{[]netip.AddrPort{abortingAddress(), refusingAddress()}, client.KindUnknown},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeInvalidArgument))}, client.KindInput},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeInvalidArgument)), entry(newAnswer("a"), nil)}, client.KindInput},
			{[]netip.AddrPort{abortingAddress(), entry(nil, rejection(connect.CodeInvalidArgument))}, client.KindUnknown},
			{[]netip.AddrPort{abortingAddress(), entry(nil, rejection(connect.CodeAlreadyExists))}, client.KindConflict},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeUnavailable))}, client.KindUnavailable},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeResourceExhausted))}, client.KindUnavailable},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeDataLoss))}, client.KindUnknown},
			{[]netip.AddrPort{entry(nil, rejection(connect.CodeInternal))}, client.KindUnknown},
			{[]netip.AddrPort{entry(damaged, nil)}, client.KindUnknown},
			{[]netip.AddrPort{entry(shortened, nil)}, client.KindUnknown},
		}
		for i, test := range tests {
			c := client.New(client.Options{Entries: test.entries})
			_, err := c.Submit(ctx, &callerv1.SubmitRequest{RequestId: "x"})
			Expect(client.KindOf(err)).To(Equal(test.want), "%d: %v", i, err)
		}
	})

	// The request is not cancelled when its caller stops waiting.
	It("returns KindUnknown if the context ends during the call", func(ctx SpecContext) {
		block := make(chan struct{})
		s := &stub{submit: func(*callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
			<-block
			return nil, nil
		}}
		address := s.start()
		DeferCleanup(func() { close(block) })
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := client.New(client.Options{Entries: []netip.AddrPort{address}}).Submit(shortCtx, &callerv1.SubmitRequest{})
		Expect(client.KindOf(err)).To(Equal(client.KindUnknown))
	})

	// With a new identifier the next entry would run the request a second time.
	It("keeps the identifier at the next entry", func(ctx SpecContext) {
		var got string
		s := &stub{submit: func(m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
			got = m.GetRequestId()
			return newAnswer(""), nil
		}}
		id := client.NewID()
		_, err := client.New(client.Options{Entries: []netip.AddrPort{abortingAddress(), s.start()}}).Submit(ctx, &callerv1.SubmitRequest{RequestId: id})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(id))
	})
})

var _ = Describe("Drain", func() {
	// Draining must not change other fields of the section, and must be conditional on
	// the revision that was read, so that concurrent edits are not lost.
	It("edits one field", func(ctx SpecContext) {
		tests := []struct {
			body    string
			workers []model.WorkerID
			undo    bool
			want    string
		}{
			{`{"owners":["a"],"new_field":1.50}`, []model.WorkerID{"w2", "w1"}, false, `{"owners":["a"],"new_field":1.50,"drained_workers":["w1","w2"]}`},
			{`{"drained_workers":["w1"]}`, []model.WorkerID{"w1"}, false, `{"drained_workers":["w1"]}`},
			{`{"drained_workers":["w1","w2"]}`, []model.WorkerID{"w1", "w3"}, true, `{"drained_workers":["w2"]}`},
			{`{"drained_workers":["w1"]}`, []model.WorkerID{"w1"}, true, `{"drained_workers":[]}`},
		}
		for _, test := range tests {
			s := &stub{cell: &operatorv1.Section{Name: "cell", Revision: 4, Body: test.body}}
			c := client.New(client.Options{Entries: []netip.AddrPort{s.start()}})
			_, err := c.Drain(ctx, "e", test.workers, test.undo)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.edits[0].GetBody()).To(MatchJSON(test.want))
			Expect(s.edits[0].GetSectionRevision()).To(Equal(uint64(4)))
		}
	})
})

var _ = Describe("Timeline", func() {
	// One unreachable address must not hide the records of the others.
	It("merges the records it gets and reports unreachable addresses", func(ctx SpecContext) {
		at := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
		entry := func(process string, offset time.Duration) netip.AddrPort {
			s := &stub{timeline: &operatorv1.TimelineResponse{Records: []*operatorv1.TimelineRecord{
				{At: timestamppb.New(at.Add(offset)), Process: process, Sequence: 1, RequestId: "r", Attempt: 2},
			}}}
			return s.start()
		}
		unreachable := refusingAddress()
		c := client.New(client.Options{Operators: []netip.AddrPort{entry("b", 2), unreachable, entry("a", 1)}})
		records, err := c.Timeline(ctx, time.Time{}, "", 0)
		Expect(err).To(MatchError(ContainSubstring(unreachable.String())))
		Expect(client.KindOf(err)).To(Equal(client.KindUnavailable))
		Expect(records).To(HaveLen(2))
		Expect([]string{records[0].Process, records[1].Process}).To(Equal([]string{"a", "b"}))
		Expect(records[0].Attempt).To(Equal(model.Attempt{Request: "r", Number: 2}))
	})
})
