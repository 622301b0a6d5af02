package linkstandin_test

import (
	"io"
	"net"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/linkstandin"
)

// noDataTimeout is how long a test waits for data that must not arrive.
const noDataTimeout = 100 * time.Millisecond

var _ = Describe("Link", func() {
	var (
		link *linkstandin.Link
		conn net.Conn
	)

	BeforeEach(func() {
		echo, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(echo.Close)
		go func() {
			for {
				c, err := echo.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(c, c) }()
			}
		}()
		link, err = linkstandin.New(netip.MustParseAddrPort("127.0.0.1:0"), echo.Addr().(*net.TCPAddr).AddrPort())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(link.Close)
		conn, err = net.Dial("tcp", link.Address().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
	})

	readEcho := func(wait time.Duration) (string, error) {
		buffer := make([]byte, 5)
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(conn, buffer)
		return string(buffer), err
	}

	// A relay that corrupted data would make scenarios fail for the wrong reason.
	It("relays both ways", func() {
		_, err := conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(readEcho(10 * time.Second)).To(Equal("hello"))
	})

	// If a cut dropped data or let it pass, tests of network partitions would be void.
	for _, c := range []struct {
		name   string
		faults linkstandin.Faults
	}{
		{"forward", linkstandin.Faults{Forward: linkstandin.Direction{Cut: true}}},
		{"backward", linkstandin.Faults{Backward: linkstandin.Direction{Cut: true}}},
	} {
		It("holds data while cut "+c.name, func() {
			link.SetFaults(c.faults)
			_, err := conn.Write([]byte("hello"))
			Expect(err).NotTo(HaveOccurred())
			_, err = readEcho(noDataTimeout)
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			link.SetFaults(linkstandin.Faults{})
			Expect(readEcho(10 * time.Second)).To(Equal("hello"))
		})
	}

	// Without the delays, tests of slow links would pass on a plain loopback connection.
	It("delays data by the delay and by the stall of a lost chunk", func() {
		link.SetFaults(linkstandin.Faults{Forward: linkstandin.Direction{DelayMilliseconds: 50}, Backward: linkstandin.Direction{LossFraction: 1, StallMilliseconds: 60}})
		startedAt := time.Now()
		_, err := conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(readEcho(10 * time.Second)).To(Equal("hello"))
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 110*time.Millisecond))
	})

	// A refused connection must fail at once, not hang like a cut one.
	It("refuses new connections", func() {
		link.SetFaults(linkstandin.Faults{Refuse: true})
		refused, err := net.Dial("tcp", link.Address().String())
		Expect(err).NotTo(HaveOccurred())
		_ = refused.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = refused.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})
