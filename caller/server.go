package caller

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/finding"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/rpcserver"
)

const (
	// replyGrace is added to a request's deadline. The reducer settles a request
	// whose deadline has passed at its next tick and may first fence an attempt.
	replyGrace = 2 * time.Second
	// statusGrace bounds a status or cancel call that does not wait for the
	// request to end. It covers a query to the request's home in another region.
	statusGrace = 5 * time.Second
	// storedBodyBytes is the largest body that travels inside journal records.
	storedBodyBytes = 4096
)

// Options are the seams and bounds of a Server.
type Options struct {
	Post      func(event.Event)
	NextToken func() event.Token
	Now       func() time.Time
	Document  func() *document.Document
	StoreBody func(ctx context.Context, data []byte) (model.Digest, error)
	Limits    model.Limits
	MaxCalls  int // concurrent calls; more are refused with resource_exhausted
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Server serves callers. It is safe for concurrent use.
type Server struct {
	o        Options
	slots    *rpcserver.CallLimiter
	waiting  *rpcserver.PendingCalls
	calls    metrics.Counter
	refused  metrics.Counter
	dropped  metrics.Counter
	dataLoss metrics.Counter
}

// New returns a server.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return &Server{
		o:        o,
		slots:    rpcserver.NewCallLimiter(o.MaxCalls),
		waiting:  rpcserver.NewPendingCalls(),
		calls:    metrics.GetOrRegisterCounter("caller.calls", o.Metrics),
		refused:  metrics.GetOrRegisterCounter("caller.calls_refused", o.Metrics),
		dropped:  metrics.GetOrRegisterCounter("caller.replies_dropped", o.Metrics),
		dataLoss: metrics.GetOrRegisterCounter("caller.answers_damaged", o.Metrics),
	}
}

// Handler returns the path prefix of the service and its handler.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = callerv1connect.NewCallerServiceHandler(s, rpcserver.HandlerOptions(s.o.Limits.MaxBodyBytes)...)
	return path, rpcserver.LimitBody(s.o.Limits.MaxBodyBytes, handler)
}

// Apply carries out Reply and Reject for its tokens. It returns false if the
// effect or the token is not its own.
func (s *Server) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.Reply:
		if !s.waiting.Deliver(e.Token, e) {
			s.dropped.Inc(1)
			return false
		}
		return true
	case event.Reject:
		// A token that is not found may belong to the server for operators, so
		// it is not counted.
		return s.waiting.Deliver(e.Token, e)
	}
	return false
}

// Submit runs a request.
func (s *Server) Submit(ctx context.Context, m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	release, err := s.begin()
	if err != nil {
		return nil, err
	}
	defer release()
	now := s.o.Now()
	doc := s.o.Document()
	if doc.Revision == 0 {
		// An instance that has just started cannot tell an unknown team from one
		// that it has not read yet.
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the instance knows no document yet"))
	}
	r, findings := resolve(m, doc, now)
	findings = append(findings, r.Validate(now, s.o.Limits)...)
	if findings = append(rpcserver.FindUnknownFields(m), findings...); findings.Any() {
		s.refused.Inc(1)
		return nil, rpcserver.InvalidArgument(findings)
	}
	if err := s.storeBody(ctx, r); err != nil {
		return nil, err
	}
	o, err := s.call(ctx, r.Deadline.Add(replyGrace), func(token event.Token) event.Event {
		// A service has no end that a caller could wait for.
		wait := !m.GetNoWait() && r.Kind != model.KindService
		return event.Submit{Token: token, Request: r, Wait: wait}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.SubmitResponse{Outcome: outcomeMessage(r.ID, o)}, nil
}

// Status returns the state of a request.
func (s *Server) Status(ctx context.Context, m *callerv1.StatusRequest) (*callerv1.StatusResponse, error) {
	release, err := s.begin()
	if err != nil {
		return nil, err
	}
	defer release()
	id, err := s.requestID(m.GetRequestId(), rpcserver.FindUnknownFields(m))
	if err != nil {
		return nil, err
	}
	until := time.Time{}
	if !m.GetWait() {
		until = s.o.Now().Add(statusGrace)
	}
	o, err := s.call(ctx, until, func(token event.Token) event.Event {
		return event.Status{Token: token, Request: id, Wait: m.GetWait()}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.StatusResponse{Outcome: outcomeMessage(id, o)}, nil
}

// Cancel cancels a request.
func (s *Server) Cancel(ctx context.Context, m *callerv1.CancelRequest) (*callerv1.CancelResponse, error) {
	release, err := s.begin()
	if err != nil {
		return nil, err
	}
	defer release()
	id, err := s.requestID(m.GetRequestId(), rpcserver.FindUnknownFields(m))
	if err != nil {
		return nil, err
	}
	o, err := s.call(ctx, s.o.Now().Add(statusGrace), func(token event.Token) event.Event {
		return event.Cancel{Token: token, Request: id}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.CancelResponse{Outcome: outcomeMessage(id, o)}, nil
}

func (s *Server) begin() (release func(), err error) {
	s.calls.Inc(1)
	release, err = s.slots.Acquire()
	if err != nil {
		s.refused.Inc(1)
	}
	return release, err
}

func (s *Server) requestID(id string, fs finding.List) (model.RequestID, error) {
	if err := checkID(id, s.o.Limits); err != "" {
		fs.Add("request_id", err)
	}
	if fs.Any() {
		s.refused.Inc(1)
		return "", rpcserver.InvalidArgument(fs)
	}
	return model.RequestID(id), nil
}

// storeBody puts the body of a journaled request into the object store when it
// is too large for journal records. Nothing has been accepted when it fails.
func (s *Server) storeBody(ctx context.Context, r *model.Request) error {
	if r.Durability() == model.Ephemeral || r.BodyLength <= storedBodyBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(s.o.Now()))
	defer cancel()
	digest, err := s.o.StoreBody(ctx, r.Body)
	if err == nil && digest != r.BodyDigest {
		err = errors.New("the object store returned another digest")
	}
	if err != nil {
		logevent.BodyNotStored.Log(s.o.Log, zap.String("request_id", string(r.ID)), zap.Error(err))
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "store the body"))
	}
	r.Body = nil
	r.BodyStored = true
	return nil
}

// call posts an event with a new token and waits for its effect until the time
// until, or as long as the caller does when it is zero.
func (s *Server) call(ctx context.Context, until time.Time, e func(event.Token) event.Event) (*model.Outcome, error) {
	token := s.o.NextToken()
	reply := s.waiting.Add(token)
	var expired <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(until.Sub(s.o.Now()))
		defer timer.Stop()
		expired = timer.C
	}
	s.o.Post(e(token))
	select {
	case effect := <-reply:
		return s.outcome(effect)
	case <-ctx.Done():
	case <-expired:
	}
	if !s.waiting.Remove(token) {
		return s.outcome(<-reply)
	}
	s.o.Post(event.CallAbandoned{Token: token})
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("no answer in time; ask for the status of the request"))
}

func (s *Server) outcome(e event.Effect) (*model.Outcome, error) {
	switch e := e.(type) {
	case event.Reply:
		if !e.Outcome.HasIntactAnswer() {
			s.dataLoss.Inc(1)
			logevent.AnswerDamaged.Log(s.o.Log, zap.Stringer("attempt", e.Outcome.Attempt), zap.String("worker", string(e.Outcome.Worker)))
			return nil, connect.NewError(connect.CodeDataLoss, errors.Errorf("the answer of attempt %s does not match its digest", e.Outcome.Attempt))
		}
		return &e.Outcome, nil
	case event.Reject:
		s.refused.Inc(1)
		return nil, rpcserver.RejectionError(e)
	}
	return nil, connect.NewError(connect.CodeInternal, errors.Errorf("effect %T answers no call", e))
}

func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	}
	return connect.NewError(connect.CodeCanceled, err)
}
