package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/intake"
)

// slowListener accepts connections that delay the result of each read that returns data, like
// a process that has no processor time.
type slowListener struct {
	net.Listener
	delay  *atomic.Int64 // nanoseconds
	served chan struct{} // receives a value when such a read has data
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c, l}, err
}

type slowConn struct {
	net.Conn
	listener slowListener
}

// NetConn returns the connection that is delayed.
func (c slowConn) NetConn() net.Conn { return c.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if delay := time.Duration(c.listener.delay.Load()); n > 0 && delay > 0 {
		select {
		case c.listener.served <- struct{}{}:
		default:
		}
		time.Sleep(delay)
	}
	return n, err
}

var _ = Describe("Connections of clients in a shutdown", func() {
	const request = "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"
	var delay atomic.Int64
	var read chan struct{}
	var callers *callerListener
	var client net.Conn
	var responses *bufio.Reader
	var handlerTime time.Duration

	send := func() {
		_, err := io.WriteString(client, request)
		Expect(err).NotTo(HaveOccurred())
	}
	receive := func() (*http.Response, error) {
		Expect(client.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		response, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		return response, err
	}
	drain := func() chan error {
		done := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			done <- callers.drain(ctx)
		}()
		return done
	}

	BeforeEach(func() {
		delay.Store(0)
		read, handlerTime = make(chan struct{}, 1), 0
		listener, err := intake.Listen(netip.MustParseAddrPort("127.0.0.1:0"), intake.Options{MaxConnections: 16})
		Expect(err).NotTo(HaveOccurred())
		callers = newCallerListener(slowListener{listener, &delay, read})
		var stopping atomic.Bool
		recordCaller := callers.recordState
		recordState := func(c net.Conn, state http.ConnState) {
			intake.RecordState(c, state)
			recordCaller(c, state)
		}
		server := &http.Server{ConnState: recordState, ConnContext: intake.ConnContext, Handler: intake.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(handlerTime)
			if stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, "ok")
		}))}
		go func() { _ = server.Serve(callers) }()
		DeferCleanup(server.Close)
		client, err = net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		responses = bufio.NewReader(client)
		send()
		_, err = receive()
		Expect(err).NotTo(HaveOccurred())
		stopping.Store(true)
		time.Sleep(newConnectionTime)
	})

	// http.Server.Shutdown closed the connection as idle, since the request had been read but
	// not parsed, and the client got no answer.
	It("answer a request that has been read but not parsed", func() {
		delay.Store(int64(500 * time.Millisecond))
		send()
		Eventually(read).Should(Receive())
		done := drain()
		response, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Eventually(done, "5s").Should(Receive(BeNil()))
	})

	It("answer a request that is being handled", func() {
		handlerTime = 300 * time.Millisecond
		send()
		time.Sleep(100 * time.Millisecond)
		done := drain()
		_, err := receive()
		Expect(err).NotTo(HaveOccurred())
		Eventually(done, "5s").Should(Receive(BeNil()))
	})

	It("close at once if they are idle", func() {
		done := drain()
		Eventually(done, "1s").Should(Receive(BeNil()))
		_, err := receive()
		Expect(err).To(HaveOccurred())
	})

	It("close when half a request has arrived and the time is up", func() {
		_, err := io.WriteString(client, request[:10])
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(50 * time.Millisecond)
		Eventually(drain(), "5s").Should(Receive(HaveOccurred()))
	})
})
