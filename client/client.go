package client

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1/operatorv1connect"
)

// dialTimeout limits connecting to one address. It is several times the latency between
// regions and allows for two lost packets.
const dialTimeout = 4 * time.Second

// Options are the server addresses and the credentials of a Client.
type Options struct {
	Entries   []netip.AddrPort // for callers
	Operators []netip.AddrPort // for operators; Entries when empty
	Token     string           // bearer token for operators; may be empty
	TLS       *tls.Config      // nil for plain connections
}

// Client calls the services for callers and for operators. It is safe for concurrent use.
type Client struct {
	entries   []endpoint
	operators []endpoint
}

// endpoint is one address with the clients of both services.
type endpoint struct {
	address  netip.AddrPort
	caller   callerv1connect.CallerServiceClient
	operator operatorv1connect.OperatorServiceClient
}

// New returns a client. Connections are opened by the first call.
func New(o Options) *Client {
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		// With the default of net/http most of many concurrent calls would open a new
		// connection.
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     90 * time.Second,
		TLSClientConfig:     o.TLS,
		TLSHandshakeTimeout: dialTimeout,
	}
	scheme := "http"
	if o.TLS != nil {
		scheme = "https"
	}
	h := &http.Client{Transport: transport}
	if len(o.Operators) == 0 {
		o.Operators = o.Entries
	}
	return &Client{
		entries:   newEndpoints(h, scheme, o.Entries, o.Token),
		operators: newEndpoints(h, scheme, o.Operators, o.Token),
	}
}

func newEndpoints(h *http.Client, scheme string, addresses []netip.AddrPort, token string) []endpoint {
	authorise := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				r.Header().Set("Authorization", "Bearer "+token)
			}
			return next(ctx, r)
		}
	})
	es := make([]endpoint, 0, len(addresses))
	for _, a := range addresses {
		url := scheme + "://" + a.String()
		es = append(es, endpoint{
			address:  a,
			caller:   callerv1connect.NewCallerServiceClient(h, url),
			operator: operatorv1connect.NewOperatorServiceClient(h, url, connect.WithInterceptors(authorise)),
		})
	}
	return es
}

// NewID returns a new identifier for a request or an edit.
func NewID() string { return rand.Text() }

// Submit submits a request. If the connection to an entry, an instance that serves
// callers, failed after the entry may have received the request, an error has
// KindUnknown, unless a later entry reports a conflict.
func (c *Client) Submit(ctx context.Context, m *callerv1.SubmitRequest) (*callerv1.Outcome, error) {
	r, err := failover(ctx, c.entries, true, func(ctx context.Context, e endpoint) (*callerv1.SubmitResponse, error) {
		return e.caller.Submit(ctx, m)
	})
	if err != nil {
		return nil, err
	}
	return verifyAnswer(r.GetOutcome())
}

// Status returns the outcome of a request so far or, with wait, its final outcome.
func (c *Client) Status(ctx context.Context, id model.RequestID, wait bool) (*callerv1.Outcome, error) {
	r, err := failover(ctx, c.entries, false, func(ctx context.Context, e endpoint) (*callerv1.StatusResponse, error) {
		return e.caller.Status(ctx, &callerv1.StatusRequest{RequestId: string(id), Wait: wait})
	})
	if err != nil {
		return nil, err
	}
	return verifyAnswer(r.GetOutcome())
}

// Cancel cancels a request and returns its outcome.
func (c *Client) Cancel(ctx context.Context, id model.RequestID) (*callerv1.Outcome, error) {
	r, err := failover(ctx, c.entries, true, func(ctx context.Context, e endpoint) (*callerv1.CancelResponse, error) {
		return e.caller.Cancel(ctx, &callerv1.CancelRequest{RequestId: string(id)})
	})
	if err != nil {
		return nil, err
	}
	return verifyAnswer(r.GetOutcome())
}

// verifyAnswer checks the answer against the length and digest that the worker computed,
// so that a truncated or corrupted answer is never returned.
func verifyAnswer(o *callerv1.Outcome) (*callerv1.Outcome, error) {
	if o.GetStatus() != callerv1.Status_STATUS_DONE {
		return o, nil
	}
	digest := model.DigestOf(o.GetAnswer())
	if uint64(len(o.GetAnswer())) != o.GetAnswerLength() || string(digest[:]) != string(o.GetAnswerDigest()) {
		return nil, &Error{KindUnknown, errors.Errorf("the answer to request %s does not match its length and digest", o.GetRequestId())}
	}
	return o, nil
}

// failover tries a call at each endpoint in order until one answers. It continues with
// the next endpoint only if the connection failed, not if the server returned an error.
func failover[R any](ctx context.Context, endpoints []endpoint, changesState bool, call func(context.Context, endpoint) (R, error)) (R, error) {
	var zero R
	if len(endpoints) == 0 {
		return zero, &Error{KindInput, errors.New("no address is given")}
	}
	var lastErr error
	maybeReceived := false // an endpoint may have received the call
	for _, e := range endpoints {
		r, connected, err := callEndpoint(ctx, e, call)
		if err == nil {
			return r, nil
		}
		lastErr = errors.Wrapf(err, "%s", e.address)
		if connect.IsWireError(err) {
			kind := kindOfCode(connect.CodeOf(err), changesState)
			// An error from this endpoint, for example because the deadline has passed
			// meanwhile, does not tell whether an earlier endpoint accepted the call.
			if maybeReceived && changesState && kind != KindConflict {
				kind = KindUnknown
			}
			return zero, &Error{kind, lastErr}
		}
		maybeReceived = maybeReceived || connected
		if ctx.Err() != nil {
			break
		}
	}
	return zero, &Error{kindOfLostAnswer(maybeReceived && changesState), lastErr}
}

// callEndpoint makes a call at one endpoint. Connected reports whether a connection was
// established; without one nothing was sent.
func callEndpoint[R any](ctx context.Context, e endpoint, call func(context.Context, endpoint) (R, error)) (r R, connected bool, err error) {
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	r, err = call(ctx, e)
	return r, gotConnection.Load(), err
}
