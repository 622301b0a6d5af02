package rpcserver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/event"
	"fuchsiacross/rpcserver"
)

// rejecting answers each submission with an error.
type rejecting struct {
	callerv1connect.UnimplementedCallerServiceHandler
	err error
}

func (r rejecting) Submit(context.Context, *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	return nil, r.err
}

// Guards against refusals that do not tell callers when they may come back.
func TestRetryAfter(t *testing.T) {
	limiter := rpcserver.NewCallLimiter(1)
	if _, err := limiter.Acquire(); err != nil {
		t.Fatal(err)
	}
	_, allInUse := limiter.Acquire()
	tests := []struct {
		name    string
		err     error
		options []connect.ClientOption
		want    string
	}{
		{"a limit of the instance", rpcserver.RejectionError(event.Reject{Code: event.CodeExhausted}), nil, "1"},
		{"a limit of the instance, gRPC-Web", rpcserver.RejectionError(event.Reject{Code: event.CodeExhausted}), []connect.ClientOption{connect.WithGRPCWeb()}, "1"},
		{"a shutdown", rpcserver.RejectionError(event.Reject{Code: event.CodeUnavailable}), nil, "1"},
		{"all calls in use", allInUse, nil, "1"},
		{"a conflict", rpcserver.RejectionError(event.Reject{Code: event.CodeConflict}), nil, ""},
		{"another error", errors.New("unknown"), nil, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.Handle(callerv1connect.NewCallerServiceHandler(rejecting{err: test.err}, rpcserver.HandlerOptions(maxField)...))
			server := httptest.NewServer(mux)
			defer server.Close()
			_, err := callerv1connect.NewCallerServiceClient(http.DefaultClient, server.URL, test.options...).Submit(context.Background(), &callerv1.SubmitRequest{})
			var failure *connect.Error
			if !errors.As(err, &failure) {
				t.Fatalf("the call ends with %v", err)
			}
			if got := failure.Meta().Get("Retry-After"); got != test.want {
				t.Errorf("Retry-After is %q, want %q (%v)", got, test.want, err)
			}
		})
	}
}
