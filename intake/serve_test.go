package intake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// serve answers with the bytes received, 413 or 503 as an instance does, and returns the
// address.
func serve(t *testing.T, budget *Budget, o Options, limit int64, timeout time.Duration) (*Listener, string) {
	t.Helper()
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), o)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, ConnState: RecordState, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, release, err := budget.ReadBody(w, r, limit, time.Now().Add(timeout))
		defer release()
		var refusal *Refusal
		if errors.As(err, &refusal) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, string(refusal.Cause))
			return
		}
		_, _ = fmt.Fprint(w, len(body))
	}))}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, l.Addr().String()
}

func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// receive returns the status, whether the connection is about to be closed, and the body.
func receive(t *testing.T, c net.Conn) string {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %t %s", response.StatusCode, response.Close, body)
}

func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func post(declared int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, body)
}

// Guards against refusals that a client cannot tell from a lost answer, and against bodies
// that keep their bytes after they were refused.
func TestBodiesOfServer(t *testing.T) {
	const limit = 100_000
	budget := NewBudget(limit, time.Minute)
	_, address := serve(t, budget, Options{MaxConnections: 16}, limit, time.Minute)
	oldest := dial(t, address, post(60_000, strings.Repeat("x", 59_999)))
	waitUntil(t, "the body is not read", func() bool { return budget.Held() >= 60_000 })
	for _, test := range []struct{ request, want string }{
		{post(45_000, strings.Repeat("x", 45_000)), "200 false 45000"},
		{"", "503 true evicted"},
		{post(limit+1, ""), "503 true too_large"},
		// A whole request counts with twice the length of its body.
		{post(60_000, strings.Repeat("x", 60_000)), "503 true budget"},
		{"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "200 false 3"},
		{post(0, ""), "200 false 0"},
	} {
		c := oldest
		if test.request != "" {
			c = dial(t, address, test.request)
		}
		if got := receive(t, c); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
	waitUntil(t, "bytes are held without a body", func() bool { return budget.Held() == 0 })
}

// Guards against slow uploads that are cut off although they arrive in time, and against ones
// that never end.
func TestTimeLimitOfBodies(t *testing.T) {
	for _, test := range []struct {
		timeout time.Duration
		want    string
	}{
		{time.Minute, "200 false 4"},
		{50 * time.Millisecond, "503 true too_slow"},
	} {
		_, address := serve(t, NewBudget(1<<20, time.Minute), Options{MaxConnections: 16}, 100, test.timeout)
		c := dial(t, address, post(4, "a"))
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(c, "b")
		}
		if got := receive(t, c); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
}

// Guards against connections with half a header that keep others out.
func TestConnectionsOfServer(t *testing.T) {
	l, address := serve(t, NewBudget(1<<20, time.Minute), Options{MaxConnections: 8}, 100, time.Minute)
	half := dial(t, address, "POST / HTTP/1.1\r\n")
	waitUntil(t, "the connection is not accepted", func() bool { return l.Open() == 1 })
	for n := range 9 {
		if got := receive(t, dial(t, address, post(1, "a"))); got != "200 false 1" {
			t.Fatalf("request %d: %s", n, got)
		}
		waitUntil(t, "evicted connections stay open", func() bool { return l.Open() <= 8 })
	}
	if _, err := half.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("half a header is not evicted: %v", err)
	}
}

// Guards against clients that send requests and read no response, and that keep others out until
// the write of each has timed out.
func TestResponsesThatAreNotRead(t *testing.T) {
	l, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), Options{MaxConnections: 64, SendBytes: 4 << 10})
	if err != nil {
		t.Fatal(err)
	}
	large := strings.Repeat("r", 8<<20)
	server := &http.Server{ConnContext: ConnContext, ConnState: RecordState, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = io.WriteString(w, large)
		}
	}))}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	address := l.Addr().String()
	for range 64 {
		c := dial(t, address, "")
		// A fixed buffer, which the kernel does not enlarge meanwhile.
		if err := c.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(400 * time.Millisecond) // until the buffers of all sockets are full
	refused := 0
	for range 64 {
		if receive(t, dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")) != "200 false " {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 64 ordinary requests are refused", refused)
	}
}
