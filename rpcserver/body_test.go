package rpcserver_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/intake"
	"fuchsiacross/rpcserver"
)

const maxField = 100_000

// echo returns the body of a request as its answer.
type echo struct {
	callerv1connect.UnimplementedCallerServiceHandler
	held func() int64 // bytes that count while a call is served
	seen int64
}

func (e *echo) Submit(_ context.Context, m *callerv1.SubmitRequest) (*callerv1.SubmitResponse, error) {
	e.seen = e.held()
	return &callerv1.SubmitResponse{Outcome: &callerv1.Outcome{Answer: m.GetBody()}}, nil
}

func serveEcho(t *testing.T, budget *intake.Budget) (*httptest.Server, *echo) {
	t.Helper()
	e := &echo{held: budget.Held}
	mux := http.NewServeMux()
	path, handler := callerv1connect.NewCallerServiceHandler(e, rpcserver.HandlerOptions(maxField)...)
	mux.Handle(path, rpcserver.BoundBodies(budget, maxField, handler))
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server, e
}

// Guards against protocols and compressions that the budget breaks, and against bodies that
// count twice or as long as their call waits.
func TestBoundBodiesServesEachProtocol(t *testing.T) {
	unencryptedHTTP2 := &http.Protocols{}
	unencryptedHTTP2.SetUnencryptedHTTP2(true)
	h2 := &http.Client{Transport: &http.Transport{Protocols: unencryptedHTTP2}}
	tests := []struct {
		name    string
		client  *http.Client
		options []connect.ClientOption
	}{
		{"connect", http.DefaultClient, nil},
		{"connect, JSON", http.DefaultClient, []connect.ClientOption{connect.WithProtoJSON()}},
		{"connect, compressed", http.DefaultClient, []connect.ClientOption{connect.WithSendGzip()}},
		{"connect over HTTP/2, compressed", h2, []connect.ClientOption{connect.WithSendGzip()}},
		{"gRPC", h2, []connect.ClientOption{connect.WithGRPC()}},
		{"gRPC, compressed", h2, []connect.ClientOption{connect.WithGRPC(), connect.WithSendGzip()}},
		{"gRPC-Web, compressed", http.DefaultClient, []connect.ClientOption{connect.WithGRPCWeb(), connect.WithSendGzip()}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := intake.NewBudget(1<<20, time.Minute)
			server, e := serveEcho(t, budget)
			body := bytes.Repeat([]byte("lot "), maxField/4)
			r, err := callerv1connect.NewCallerServiceClient(test.client, server.URL, test.options...).Submit(context.Background(), &callerv1.SubmitRequest{Body: body})
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(r.GetOutcome().GetAnswer(), body) {
				t.Error("the body is damaged")
			}
			if e.seen < maxField || e.seen > maxField+1000 {
				t.Errorf("%d bytes count while the call is served", e.seen)
			}
			for end := time.Now().Add(10 * time.Second); budget.Held() != 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes count after the call", budget.Held())
				}
			}
		})
	}
}

// Guards against refusals that callers cannot tell from a lost answer, and against compressed
// bodies that are inflated beyond the limit.
func TestBoundBodiesRefuses(t *testing.T) {
	const path = "/fuchsiacross.caller.v1.CallerService/Submit"
	var large bytes.Buffer
	z := gzip.NewWriter(&large)
	_, _ = z.Write(bytes.Repeat([]byte{' '}, 4*maxField))
	_ = z.Close()
	tests := []struct {
		name       string
		budget     int64
		headers    [][2]string
		body       io.Reader
		status     int
		code       string
		retryAfter string
	}{
		{"a declared length above the limit", 1 << 20, nil, bytes.NewReader(make([]byte, 4*maxField)), http.StatusBadRequest, "invalid_argument", ""},
		{"a chunked body above the limit", 1 << 20, nil, io.MultiReader(bytes.NewReader(make([]byte, 4*maxField))), http.StatusBadRequest, "invalid_argument", ""},
		{"an inflated body above the limit", 1 << 20, [][2]string{{"Content-Encoding", "gzip"}}, bytes.NewReader(large.Bytes()), http.StatusBadRequest, "invalid_argument", ""},
		{"a body that is not gzip", 1 << 20, [][2]string{{"Content-Encoding", "gzip"}}, strings.NewReader("{}"), http.StatusBadRequest, "invalid_argument", ""},
		{"a body without memory", 10_000, nil, bytes.NewReader(make([]byte, maxField)), http.StatusTooManyRequests, "resource_exhausted", "1"},
		{"a body that does not arrive in time", 1 << 20, [][2]string{{"Connect-Timeout-Ms", "50"}}, &stalled{}, http.StatusTooManyRequests, "resource_exhausted", "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := intake.NewBudget(test.budget, time.Minute)
			server, e := serveEcho(t, budget)
			request, err := http.NewRequest(http.MethodPost, server.URL+path, test.body)
			if err != nil {
				t.Fatal(err)
			}
			request.Header.Set("Content-Type", "application/json")
			for _, h := range test.headers {
				request.Header.Set(h[0], h[1])
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			text, _ := io.ReadAll(response.Body)
			if response.StatusCode != test.status || !strings.Contains(string(text), test.code) || response.Header.Get("Retry-After") != test.retryAfter {
				t.Errorf("%s %s, Retry-After %q", response.Status, text, response.Header.Get("Retry-After"))
			}
			if e.seen != 0 || budget.Held() != 0 {
				t.Errorf("the call is served, or %d bytes remain", budget.Held())
			}
		})
	}
}

// stalled is a body that begins and does not end before the test does.
type stalled struct{ began bool }

func (s *stalled) Read(p []byte) (int, error) {
	if !s.began {
		s.began = true
		return copy(p, "{"), nil
	}
	time.Sleep(time.Second)
	return 0, io.ErrUnexpectedEOF
}
