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
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1/operatorv1connect"
	"fuchsiacross/rpcserver"
	"fuchsiacross/timeline"
)

const (
	// queryTimeout bounds a query of the reducer, whose answer may have to be
	// fetched from a request's home in another region.
	queryTimeout = 5 * time.Second
	// defaultMaxCalls is the bound on concurrent calls where Options has none.
	// Operators are few; their calls must not crowd out callers.
	defaultMaxCalls = 64
	// maxEditIDLength is the length in bytes of the longest edit identifier.
	maxEditIDLength = 128
)

// Options are the seams and bounds of a Server.
type Options struct {
	Instance  model.InstanceID
	Post      func(event.Event)
	NextToken func() event.Token
	Now       func() time.Time
	// Document returns the document in force at this instance.
	Document func() *document.Document
	// ReadDocument reads the committed document from the platform.
	ReadDocument func(ctx context.Context) (*document.Document, error)
	// Edit commits an edit on the condition that the section has the revision
	// that the edit names. An edit identifier that was committed before yields
	// the result of that commit. An error means that nothing was changed.
	Edit func(ctx context.Context, e Edit) (EditResult, error)
	// History returns up to limit committed edits, newest first, of one section
	// or, when it is empty, of all.
	History     func(ctx context.Context, section string, limit int) ([]HistoryEntry, error)
	Timeline    *timeline.Ring
	Credentials *Credentials // nil when none are configured
	MaxCalls    int          // concurrent calls; 0 for the default of 64
	Log         *zap.Logger
	Metrics     metrics.Registry
}

// Server serves operators. It is safe for concurrent use.
type Server struct {
	o       Options
	slots   *rpcserver.Slots
	waiting *rpcserver.Waiting
	calls   metrics.Counter
	denied  metrics.Counter
	edits   metrics.Counter
	dropped metrics.Counter
}

// New returns a server.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.MaxCalls == 0 {
		o.MaxCalls = defaultMaxCalls
	}
	return &Server{
		o:       o,
		slots:   rpcserver.NewSlots(o.MaxCalls),
		waiting: rpcserver.NewWaiting(),
		calls:   metrics.GetOrRegisterCounter("operator.calls", o.Metrics),
		denied:  metrics.GetOrRegisterCounter("operator.calls_denied", o.Metrics),
		edits:   metrics.GetOrRegisterCounter("operator.edits", o.Metrics),
		dropped: metrics.GetOrRegisterCounter("operator.answers_dropped", o.Metrics),
	}
}

// Handler returns the path prefix of the service and its handler.
func (s *Server) Handler() (path string, handler http.Handler) {
	path, handler = operatorv1connect.NewOperatorServiceHandler(s, rpcserver.Options(document.MaxSectionBytes)...)
	handler = rpcserver.LimitBody(document.MaxSectionBytes, handler)
	return path, s.admit(handler)
}

// Apply carries out AnswerQuery and Reject for its tokens. It returns false if
// the effect or the token is not its own.
func (s *Server) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.AnswerQuery:
		if !s.waiting.Deliver(e.Token, e) {
			s.dropped.Inc(1)
			return false
		}
		return true
	case event.Reject:
		// A token that is not found may belong to the server for callers, so it
		// is not counted.
		return s.waiting.Deliver(e.Token, e)
	}
	return false
}

type teamKey struct{}

// teamOf returns the team in whose name a call is made, or an empty one when
// no credentials are configured.
func teamOf(ctx context.Context) model.Team {
	team, _ := ctx.Value(teamKey{}).(model.Team)
	return team
}

// admit takes a slot for each call and finds the team that its bearer token
// belongs to.
func (s *Server) admit(next http.Handler) http.Handler {
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Inc(1)
		release, err := s.slots.Take()
		if err != nil {
			_ = errorWriter.Write(w, r, err)
			return
		}
		defer release()
		if s.o.Credentials != nil {
			token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			team, ok := s.o.Credentials.Team(token)
			if !bearer || !ok {
				s.denied.Inc(1)
				logevent.OperatorRefused.Log(s.o.Log, zap.String("remote", r.RemoteAddr))
				err := connect.NewError(connect.CodeUnauthenticated, errors.New("the call carries no valid bearer token"))
				_ = errorWriter.Write(w, r, err)
				return
			}
			r = r.WithContext(context.WithValue(r.Context(), teamKey{}, team))
		}
		next.ServeHTTP(w, r)
	})
}

// query asks the reducer for a view of type T.
func query[T any](ctx context.Context, s *Server, view event.ViewKind, request model.RequestID) (T, error) {
	var none T
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	token := s.o.NextToken()
	answer := s.waiting.Add(token)
	s.o.Post(event.Query{Token: token, View: view, Request: request})
	var e event.Effect
	select {
	case e = <-answer:
	case <-ctx.Done():
		if s.waiting.Remove(token) {
			s.o.Post(event.CallAbandoned{Token: token})
			return none, connect.NewError(connect.CodeUnavailable, errors.Wrap(ctx.Err(), "no answer in time"))
		}
		e = <-answer
	}
	switch e := e.(type) {
	case event.AnswerQuery:
		if v, ok := e.View.(T); ok {
			return v, nil
		}
		return none, connect.NewError(connect.CodeInternal, errors.Errorf("view %T, expected %T", e.View, none))
	case event.Reject:
		return none, rpcserver.Rejected(e)
	}
	return none, connect.NewError(connect.CodeInternal, errors.Errorf("effect %T answers no query", e))
}
