package leadercapacity_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/leadercapacity"
	"fuchsiacross/link"
	"fuchsiacross/platform/runner"
)

func TestLeaderCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leadercapacity")
}

var _ = Describe("Estimate", func() {
	// Values chosen by hand; a leader of 0.4 processors, 284 MB and 1,000 Mbit/s serves the
	// deployments with 48 workers, which need 48/500 = 0.096.
	tests := []struct {
		name        string
		processor   float64
		slowdown    float64
		link        float64
		memory      int64
		descriptors int64
		otherShards int64
		min, max    float64
	}{
		{"counts the processor if nothing else is scarce", 0.4, 1, 1000, 284, 10250, 0, 0.4, 0.4},
		{"ignores resources that are unknown", 0.8, 1, 0, 0, 0, 0, 0.8, 0.8},
		{"counts no slowdown before the first measurement", 0.4, 0, 1000, 284, 0, 0, 0.4, 0.4},
		{"divides by the slowdown", 0.8, 2.5, 200, 536, 10250, 0, 0.32, 0.32},
		{"divides by the number of shards", 0.8, 1, 200, 536, 10250, 1, 0.4, 0.4},
		{"is reduced by a slow link", 0.48, 1, 10, 536, 10250, 0, 0.01, 0.2},
		{"is reduced by little memory in proportion", 0.4, 1, 1000, 142, 10250, 0, 0.2, 0.2},
		{"is reduced by few descriptors in proportion", 0.4, 1, 1000, 284, 1600, 0, 0.15, 0.25},
		{"is zero if no descriptor is left for workers", 0.4, 1, 1000, 284, 100, 0, 0, 0},
	}
	for _, test := range tests {
		It(test.name, func() {
			got := leadercapacity.Estimate(test.processor, test.slowdown, test.link, test.memory, test.descriptors, test.otherShards)
			Expect(got).To(BeNumerically(">=", test.min-1e-9))
			Expect(got).To(BeNumerically("<=", test.max+1e-9))
		})
	}

	// The first leader had 0.8 processors and 200 Mbit/s and yielded, while its processor
	// counted as 2.6 times slower, to an instance of 0.48 processors whose link of
	// 10 Mbit/s was saturated by the first burst.
	It("ranks an instance with a sufficient link before one with a slow link", func() {
		large := leadercapacity.Estimate(0.8, 2.65, 200, 536, 10250, 0)
		Expect(large).To(BeNumerically(">", leadercapacity.Estimate(0.48, 1, 10, 536, 10250, 0)))
	})

	// Deployments whose instances differ only in their processors keep their order.
	It("keeps the order by processors where all other resources are equal", func() {
		for _, linkMegabits := range []float64{0, 10, 1000} {
			for _, memory := range []int64{0, 144, 284} {
				Expect(leadercapacity.Estimate(0.8, 1, linkMegabits, memory, 3075, 0)).To(
					BeNumerically(">", leadercapacity.Estimate(0.4, 1, linkMegabits, memory, 3075, 0)))
			}
		}
	})
})

// countingListener counts the bytes that its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// If the formats grow, the estimate of the link that a leader needs must follow.
var _ = Describe("The bytes of a leader's traffic", func() {
	const repetitions = 20
	serve := func(handler http.Handler) (netip.AddrPort, *atomic.Int64) {
		var count atomic.Int64
		server := httptest.NewUnstartedServer(handler)
		server.Listener = countingListener{server.Listener, &count}
		server.Start()
		DeferCleanup(server.CloseClientConnections)
		return server.Listener.Addr().(*net.TCPAddr).AddrPort(), &count
	}
	expectBytes := func(name string, total int64, want int64) {
		each := total / repetitions
		GinkgoWriter.Printf("%s: %d bytes\n", name, each)
		Expect(each).To(BeNumerically("<=", want), name)
		Expect(each).To(BeNumerically(">=", want*3/4), name)
	}

	It("of a start and of a reading with eight runs and one end are as stated", func(ctx SpecContext) {
		const task = "d2c9c623076da7a0.0.0.%d"
		running := make([]string, 8)
		for n := range running {
			running[n] = fmt.Sprintf(`["`+task+`",%d,"c%024d",%d.5,480]`, n, 4194499+n, n, 10*n)
		}
		reading := `{"ClockMs":1796604867123,"born":1796604800000,"Running":[` + strings.Join(running, ",") +
			`],"Ended":[[1234,"d2c9c623076da7a0.0.0.9",4194490,"done",""]]}`
		mux := http.NewServeMux()
		mux.HandleFunc("/run-start", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"ClockMs":1796604867123}`))
		})
		mux.HandleFunc("/hold", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(reading)) })
		address, count := serve(mux)
		client := runner.New()
		for n := range repetitions {
			_, err := client.Start(ctx, address, "i-7f3a91c2aa", runner.StartOrder{
				Task: job.TaskID{StepID: job.StepID{Job: "d2c9c623076da7a0"}, Index: n}, Run: 4194499, Spec: strings.Repeat("s", 64),
				Ticket: strings.Repeat("t", 64), Token: 4194304, DeadlineMilliseconds: 1796604867123,
			})
			Expect(err).NotTo(HaveOccurred())
		}
		expectBytes("start", count.Swap(0), leadercapacity.StartBytes)
		for range repetitions {
			_, err := client.Read(ctx, address, "i-7f3a91c2aa", runner.ReadOrder{Token: 4194304, AcknowledgedEnd: 1234, DeadlineMilliseconds: 1796604867123, Wait: time.Second})
			Expect(err).NotTo(HaveOccurred())
		}
		expectBytes("reading", count.Swap(0), leadercapacity.ReadingBytes)
	})

	It("of a message to or from an instance are as stated", func(ctx SpecContext) {
		arrived := make(chan link.Message, repetitions)
		address, count := serve(link.Handler(func(_ *link.Conn, m link.Message) { arrived <- m }, func(*link.Conn, error) {}))
		conn, err := link.Dial(context.WithoutCancel(ctx), address, func(*link.Conn, link.Message) {}, func(*link.Conn, error) {})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		count.Store(0)
		workers := make([]job.WorkerID, 16)
		for n := range workers {
			workers[n] = job.WorkerID(fmt.Sprintf("i-7f3a91c2%02d", n))
		}
		for n := range repetitions {
			conn.Send(link.Message{Kind: link.KindAdviceRequest, Number: int64(1000 + n), Step: job.StepID{Job: "d2c9c623076da7a0"}, Workers: workers})
			Eventually(arrived).Should(Receive())
		}
		expectBytes("message", count.Load(), leadercapacity.MessageBytes)
	})
})
