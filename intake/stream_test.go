package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// serveHTTP2 serves without TLS like serve, with large responses to GET requests.
func serveHTTP2(t *testing.T, budget *Budget, maxConnections int) (*Listener, string) {
	t.Helper()
	large := strings.Repeat("r", 8<<20)
	return listenHTTP2(t, maxConnections, Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := budget.ReadBody(w, r, 100_000, time.Now().Add(time.Minute))
		defer release()
		var refusal *Refusal
		switch {
		case errors.As(err, &refusal):
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, string(refusal.Cause))
		case r.Method == http.MethodGet:
			_, _ = io.WriteString(w, large)
		default:
			_, _ = w.Write(body)
		}
	})))
}

// listenHTTP2 serves a handler without TLS.
func listenHTTP2(t *testing.T, maxConnections int, handler http.Handler) (*Listener, string) {
	t.Helper()
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Options{MaxConnections: maxConnections})
	if err != nil {
		t.Fatal(err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, ConnContext: ConnContext, ConnState: RecordState, Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, "http://" + l.Addr().String()
}

// newHTTP2Client returns a client with a connection of its own.
func newHTTP2Client(t *testing.T) *http.Client {
	t.Helper()
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// response is the status and the body of a response, or the error.
type response struct {
	status int
	body   string
	err    error
}

func call(ctx context.Context, client *http.Client, method, url string, body io.Reader) response {
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return response{err: err}
	}
	r, err := client.Do(request)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	return response{r.StatusCode, string(text), err}
}

// Guards against clients that leave the bodies of many streams incomplete on few connections,
// and against the loss of a connection on which other streams are served.
func TestStreamsCountLikeConnections(t *testing.T) {
	budget := NewBudget(1<<20, time.Minute)
	l, url := serveHTTP2(t, budget, 16)
	crowd, ordinary := newHTTP2Client(t), newHTTP2Client(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Opens the only connection of the crowd.
	if r := call(ctx, crowd, http.MethodPost, url, strings.NewReader("a")); r.err != nil {
		t.Fatal(r.err)
	}
	responses := make(chan response, 40)
	for range cap(responses) {
		reader, writer := io.Pipe()
		go func() { _, _ = io.WriteString(writer, "incomplete") }()
		go func() { responses <- call(ctx, crowd, http.MethodPost, url, reader) }()
	}
	// 15 streams fit beside their connection. Each further one evicts the oldest, or is refused
	// while those that are evicted have not ended.
	for range cap(responses) - 15 {
		if r := <-responses; r.err != nil || r.status != http.StatusServiceUnavailable {
			t.Fatalf("a stream ends with status %d: %v", r.status, r.err)
		}
	}
	for n := range 20 {
		if r := call(ctx, ordinary, http.MethodPost, url, strings.NewReader("a")); r.err != nil || r.body != "a" {
			t.Fatalf("request %d: %+v", n, r)
		}
	}
	waitUntil(t, "evicted streams stay open", func() bool { return l.Open() <= 16 })
	cancel()
	waitUntil(t, "streams stay open", func() bool { return l.Open() <= 2 })
	waitUntil(t, "bytes are held without a body", func() bool { return budget.Held() == 0 })
}

// Guards against clients that hold responses back by flow control while others wait.
func TestStreamsThatAreNotRead(t *testing.T) {
	l, url := serveHTTP2(t, NewBudget(1<<20, time.Minute), 16)
	crowd := newHTTP2Client(t)
	var unread sync.WaitGroup
	for range 14 {
		unread.Go(func() {
			r, err := crowd.Get(url)
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { _ = r.Body.Close() })
		})
	}
	unread.Wait()
	ordinary := newHTTP2Client(t)
	for n := range 30 {
		if r := call(context.Background(), ordinary, http.MethodPost, url, strings.NewReader("a")); r.err != nil || r.body != "a" {
			t.Fatalf("request %d: %+v; %d are open", n, r, l.Open())
		}
	}
}

// Guards against clients that open streams and reset them: the timer of a deadline keeps its
// stream in memory.
func TestResetStreamsAreReleased(t *testing.T) {
	const count = 20
	budget := NewBudget(1<<20, time.Minute)
	handler := Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, release, err := budget.ReadBody(w, r, 100, time.Now().Add(time.Minute))
		if err == nil {
			t.Error("the body of a stream that was reset is whole")
		}
		release()
	}))
	var released atomic.Int64
	began := make(chan struct{})
	_, url := listenHTTP2(t, 16, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Only the stream and its handler hold the context.
		runtime.SetFinalizer(r.Context(), func(context.Context) { released.Add(1) })
		began <- struct{}{}
		<-r.Context().Done()
		handler.ServeHTTP(w, r)
	}))
	client := newHTTP2Client(t)
	for range count {
		ctx, cancel := context.WithCancel(context.Background())
		reader, writer := io.Pipe()
		ended := make(chan response, 1)
		go func() { ended <- call(ctx, client, http.MethodPost, url, reader) }()
		<-began
		cancel()
		if r := <-ended; r.err == nil {
			t.Fatalf("a request that was cancelled has status %d", r.status)
		}
		_ = writer.Close()
	}
	waitUntil(t, "streams that were reset stay in memory", func() bool {
		runtime.GC()
		return released.Load() == count
	})
}
