package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/intake"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1/operatorv1connect"
	"fuchsiacross/rpcserver"
	"fuchsiacross/timeline"
)

const (
	// queryTimeout is the timeout of a query of the reducer. The answer may come
	// from a request's home in another data centre. The home of a request is the
	// instance that controls it.
	queryTimeout = 5 * time.Second
	// defaultMaxCalls is the default limit of concurrent calls. It is low because
	// operators are few and their calls must not take resources from callers.
	defaultMaxCalls = 64
	// maxEditIDBytes limits the length of an edit identifier.
	maxEditIDBytes = 128
)

// Options configures a Server.
type Options struct {
	Instance  model.InstanceID
	Post      func(event.Event)
	NextToken func() event.Token
	Now       func() time.Time
	// Document returns the document in force at this instance.
	Document func() *document.Document
	// ReadDocument reads the committed document from the platform.
	ReadDocument func(ctx context.Context) (*document.Document, error)
	// Edit commits an edit if the section has the revision that the edit names. If
	// the edit identifier was committed before, it returns the result of that
	// commit. An error means that nothing was changed.
	Edit func(ctx context.Context, e Edit) (EditResult, error)
	// History returns up to limit committed edits, newest first. An empty section
	// selects the edits of all sections.
	History     func(ctx context.Context, section string, limit int) ([]HistoryEntry, error)
	Timeline    *timeline.Ring
	Credentials *Credentials   // nil if none are configured
	MaxCalls    int            // limit of concurrent calls; 0 for the default of 64
	Budget      *intake.Budget // for the bodies of calls; nil for one of their own
	Log         *zap.Logger
	Metrics     metrics.Registry
}

// Server implements operatorv1connect.OperatorServiceHandler. It is safe for concurrent
// use.
type Server struct {
	options        Options
	limiter        *rpcserver.CallLimiter
	pendingQueries *rpcserver.PendingCalls
	calls          metrics.Counter
	deniedCalls    metrics.Counter
	edits          metrics.Counter
	droppedAnswers metrics.Counter
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
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	return &Server{
		options:        o,
		limiter:        rpcserver.NewCallLimiter(o.MaxCalls),
		pendingQueries: rpcserver.NewPendingCalls(),
		calls:          metrics.GetOrRegisterCounter("operator.calls", o.Metrics),
		deniedCalls:    metrics.GetOrRegisterCounter("operator.calls_denied", o.Metrics),
		edits:          metrics.GetOrRegisterCounter("operator.edits", o.Metrics),
		droppedAnswers: metrics.GetOrRegisterCounter("operator.answers_dropped", o.Metrics),
	}
}

// Handler returns the path prefix of the service and its HTTP handler.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = operatorv1connect.NewOperatorServiceHandler(s, rpcserver.HandlerOptions(document.MaxSectionBytes)...)
	handler = rpcserver.BoundBodies(s.options.Budget, document.MaxSectionBytes, s.limitCalls(handler))
	return path, s.authenticate(handler)
}

// Apply delivers an AnswerQuery or Reject to the call that waits for its token. It
// returns false for other effects and if no call waits for the token.
func (s *Server) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.AnswerQuery:
		if !s.pendingQueries.Deliver(e.Token, e) {
			s.droppedAnswers.Inc(1)
			return false
		}
		return true
	case event.Reject:
		// The token may belong to a call of the server for callers, so an unknown
		// token is not counted as a dropped answer.
		return s.pendingQueries.Deliver(e.Token, e)
	}
	return false
}

type teamContextKey struct{}

// teamFromContext returns the team that makes a call, or an empty one if no
// credentials are configured.
func teamFromContext(ctx context.Context) model.Team {
	team, _ := ctx.Value(teamContextKey{}).(model.Team)
	return team
}

// authenticate returns a handler that authenticates each call by its bearer token, and passes
// the call with its team in the context on to next.
func (s *Server) authenticate(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Inc(1)
		if s.options.Credentials != nil {
			token, hasBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			team, ok := s.options.Credentials.Team(token)
			if !hasBearer || !ok {
				s.deniedCalls.Inc(1)
				logevent.OperatorCallRefused.Log(s.options.Log, zap.String("remote", r.RemoteAddr))
				err := connect.NewError(connect.CodeUnauthenticated, errors.New("the call carries no valid bearer token"))
				_ = errorWriter.Write(w, r, err)
				return
			}
			r = r.WithContext(context.WithValue(r.Context(), teamContextKey{}, team))
		}
		next.ServeHTTP(w, r)
	})
}

// limitCalls returns a handler that limits concurrent calls. A call counts from the end of its
// body, so that bodies that stop short take no calls from others.
func (s *Server) limitCalls(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		release, err := s.limiter.Acquire()
		if err != nil {
			_ = errorWriter.Write(w, r, err)
			return
		}
		defer release()
		next.ServeHTTP(w, r)
	})
}

// queryReducer gets a view of type T from the reducer.
func queryReducer[T any](ctx context.Context, s *Server, view event.ViewKind, request model.RequestID) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	token := s.options.NextToken()
	answer := s.pendingQueries.Add(token)
	s.options.Post(event.Query{Token: token, View: view, Request: request})
	var e event.Effect
	select {
	case e = <-answer:
	case <-ctx.Done():
		if s.pendingQueries.Remove(token) {
			s.options.Post(event.CallAbandoned{Token: token})
			return zero, connect.NewError(connect.CodeUnavailable, errors.Wrap(ctx.Err(), "no answer in time"))
		}
		e = <-answer
	}
	switch e := e.(type) {
	case event.AnswerQuery:
		if v, ok := e.View.(T); ok {
			return v, nil
		}
		return zero, connect.NewError(connect.CodeInternal, errors.Errorf("view %T, expected %T", e.View, zero))
	case event.Reject:
		return zero, rpcserver.RejectionError(e)
	}
	return zero, connect.NewError(connect.CodeInternal, errors.Errorf("effect %T answers no query", e))
}
