package caller

import (
	"context"
	"net/http"
	"sync/atomic"
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
	"fuchsiacross/intake"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/rpcserver"
)

const (
	// replyGraceDuration is how long a call waits after the deadline of its request. The
	// reducer ends such a request at its next tick, unless it first has to fence an attempt:
	// the worker then reports the state of the attempt and refuses to start it later.
	replyGraceDuration = 2 * time.Second
	// statusTimeout limits a status or cancel call that does not wait for the request to
	// end. It allows for a query to the request's home, the instance responsible for it,
	// in another region.
	statusTimeout = 5 * time.Second
	// maxInlineBodyBytes is the largest body that is kept in journal records instead of
	// the object store.
	maxInlineBodyBytes = 4096
)

// Options are the dependencies and limits of a Server.
type Options struct {
	Post      func(event.Event)
	NextToken func() event.Token
	Now       func() time.Time
	Document  func() *document.Document
	StoreBody func(ctx context.Context, data []byte) (model.Digest, error)
	Limits    model.Limits
	MaxCalls  int            // concurrent calls; more are refused with resource_exhausted
	Budget    *intake.Budget // for the bodies of calls; nil for one of their own
	Log       *zap.Logger
	Metrics   metrics.Registry
}

// Server implements callerv1connect.CallerServiceHandler. It is safe for concurrent use.
type Server struct {
	options        Options
	limiter        *rpcserver.CallLimiter
	pendingCalls   *rpcserver.PendingCalls
	draining       atomic.Bool
	calls          metrics.Counter
	refusedCalls   metrics.Counter
	droppedReplies metrics.Counter
	damagedAnswers metrics.Counter
}

// New returns a server that is used through its Handler.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Budget == nil {
		o.Budget = rpcserver.DefaultBudget()
	}
	return &Server{
		options:        o,
		limiter:        rpcserver.NewCallLimiter(o.MaxCalls),
		pendingCalls:   rpcserver.NewPendingCalls(),
		calls:          metrics.GetOrRegisterCounter("caller.calls", o.Metrics),
		refusedCalls:   metrics.GetOrRegisterCounter("caller.calls_refused", o.Metrics),
		droppedReplies: metrics.GetOrRegisterCounter("caller.replies_dropped", o.Metrics),
		damagedAnswers: metrics.GetOrRegisterCounter("caller.answers_damaged", o.Metrics),
	}
}

// Handler returns the path prefix of the service and its HTTP handler.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = callerv1connect.NewCallerServiceHandler(s, rpcserver.HandlerOptions(s.options.Limits.MaxBodyBytes)...)
	return path, s.refuseWhileDraining(rpcserver.BoundBodies(s.options.Budget, s.options.Limits.MaxBodyBytes, handler))
}

// Drain makes the server refuse all calls that follow with unavailable, so that clients with open
// connections do not keep a shutdown waiting.
func (s *Server) Drain() { s.draining.Store(true) }

func (s *Server) refuseWhileDraining(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.draining.Load() {
			next.ServeHTTP(w, r)
			return
		}
		s.calls.Inc(1)
		s.refusedCalls.Inc(1)
		w.Header().Set("Connection", "close")
		rpcserver.SetRetryAfter(w.Header())
		_ = errorWriter.Write(w, r, connect.NewError(connect.CodeUnavailable, errors.New("the instance is shutting down")))
	})
}

// Apply delivers a Reply or Reject to the call that waits for its token. It returns
// false for other effects and for tokens that no call waits for.
func (s *Server) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.Reply:
		if !s.pendingCalls.Deliver(e.Token, e) {
			s.droppedReplies.Inc(1)
			return false
		}
		return true
	case event.Reject:
		// An unknown token may belong to the server for operators, so the effect is
		// not counted as dropped.
		return s.pendingCalls.Deliver(e.Token, e)
	}
	return false
}

// Submit submits a request and, unless the caller asks not to wait, returns its final
// outcome.
func (s *Server) Submit(ctx context.Context, m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	release, err := s.beginCall()
	if err != nil {
		return nil, err
	}
	defer release()
	now := s.options.Now()
	doc := s.options.Document()
	if doc.Revision == 0 {
		// Before the first document is read, an unknown team cannot be distinguished
		// from one that is not read yet.
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the instance knows no document yet"))
	}
	r, findings := buildRequest(m, doc, now)
	findings = append(findings, r.Validate(now, s.options.Limits)...)
	if findings = append(rpcserver.FindUnknownFields(m), findings...); findings.Any() {
		s.refusedCalls.Inc(1)
		return nil, rpcserver.InvalidArgument(findings)
	}
	if err := s.storeBody(ctx, r); err != nil {
		return nil, err
	}
	o, err := s.awaitOutcome(ctx, r.Deadline.Add(replyGraceDuration), func(token event.Token) event.Event {
		// Services run until they are cancelled, so the caller cannot wait for their end.
		wait := !m.GetNoWait() && r.Kind != model.KindService
		return event.Submit{Token: token, Request: r, Wait: wait}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.SubmitResponse{Outcome: outcomeMessage(r.ID, o)}, nil
}

// Status returns the outcome of a request so far or, with wait, its final outcome.
func (s *Server) Status(ctx context.Context, m *callerv1.StatusRequest) (*callerv1.StatusResponse, error) {
	release, err := s.beginCall()
	if err != nil {
		return nil, err
	}
	defer release()
	id, err := s.validateRequestID(m.GetRequestId(), rpcserver.FindUnknownFields(m))
	if err != nil {
		return nil, err
	}
	deadline := time.Time{}
	if !m.GetWait() {
		deadline = s.options.Now().Add(statusTimeout)
	}
	o, err := s.awaitOutcome(ctx, deadline, func(token event.Token) event.Event {
		return event.Status{Token: token, Request: id, Wait: m.GetWait()}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.StatusResponse{Outcome: outcomeMessage(id, o)}, nil
}

// Cancel cancels a request and returns its outcome.
func (s *Server) Cancel(ctx context.Context, m *callerv1.CancelRequest) (*callerv1.CancelResponse, error) {
	release, err := s.beginCall()
	if err != nil {
		return nil, err
	}
	defer release()
	id, err := s.validateRequestID(m.GetRequestId(), rpcserver.FindUnknownFields(m))
	if err != nil {
		return nil, err
	}
	o, err := s.awaitOutcome(ctx, s.options.Now().Add(statusTimeout), func(token event.Token) event.Event {
		return event.Cancel{Token: token, Request: id}
	})
	if err != nil {
		return nil, err
	}
	return &callerv1.CancelResponse{Outcome: outcomeMessage(id, o)}, nil
}

func (s *Server) beginCall() (release func(), err error) {
	s.calls.Inc(1)
	release, err = s.limiter.Acquire()
	if err != nil {
		s.refusedCalls.Inc(1)
	}
	return release, err
}

func (s *Server) validateRequestID(id string, fs finding.List) (model.RequestID, error) {
	if message := checkIDLength(id, s.options.Limits); message != "" {
		fs.Add("request_id", message)
	}
	if fs.Any() {
		s.refusedCalls.Inc(1)
		return "", rpcserver.InvalidArgument(fs)
	}
	return model.RequestID(id), nil
}

// storeBody writes the body of a journaled request to the object store if it is too
// large for journal records. If it fails, the request has not been accepted.
func (s *Server) storeBody(ctx context.Context, r *model.Request) error {
	if r.Durability() == model.Ephemeral || r.BodyLength <= maxInlineBodyBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(s.options.Now()))
	defer cancel()
	digest, err := s.options.StoreBody(ctx, r.Body)
	if err == nil && digest != r.BodyDigest {
		err = errors.New("the object store returned another digest")
	}
	if err != nil {
		logevent.BodyNotStored.Log(s.options.Log, zap.String("request_id", string(r.ID)), zap.Error(err))
		return connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "store the body"))
	}
	r.Body = nil
	r.BodyStored = true
	return nil
}

// awaitOutcome posts an event with a new token and waits for the effect with that token
// until the deadline or, if it is zero, until the context ends.
func (s *Server) awaitOutcome(ctx context.Context, deadline time.Time, newEvent func(event.Token) event.Event) (*model.Outcome, error) {
	token := s.options.NextToken()
	reply := s.pendingCalls.Add(token)
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(deadline.Sub(s.options.Now()))
		defer timer.Stop()
		expired = timer.C
	}
	s.options.Post(newEvent(token))
	select {
	case effect := <-reply:
		return s.outcomeFromEffect(effect)
	case <-ctx.Done():
	case <-expired:
	}
	if !s.pendingCalls.Remove(token) {
		return s.outcomeFromEffect(<-reply)
	}
	s.options.Post(event.CallAbandoned{Token: token})
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
	}
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("no answer in time; ask for the status of the request"))
}

func (s *Server) outcomeFromEffect(e event.Effect) (*model.Outcome, error) {
	switch e := e.(type) {
	case event.Reply:
		if !e.Outcome.HasIntactAnswer() {
			s.damagedAnswers.Inc(1)
			logevent.AnswerDamaged.Log(s.options.Log, zap.Stringer("attempt", e.Outcome.Attempt), zap.String("worker", string(e.Outcome.Worker)))
			return nil, connect.NewError(connect.CodeDataLoss, errors.Errorf("the answer of attempt %s does not match its digest", e.Outcome.Attempt))
		}
		return &e.Outcome, nil
	case event.Reject:
		s.refusedCalls.Inc(1)
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
