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

// quiet is how long a test waits for data that must not come.
const quiet = 100 * time.Millisecond

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

	answer := func(wait time.Duration) (string, error) {
		buffer := make([]byte, 5)
		_ = conn.SetReadDeadline(time.Now().Add(wait))
		_, err := io.ReadFull(conn, buffer)
		return string(buffer), err
	}

	// A relay that damages data would make scenarios fail for a wrong reason.
	It("relays both ways", func() {
		_, err := conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(10 * time.Second)).To(Equal("hello"))
	})

	// A cut that drops data or lets it pass would prove nothing about a partition.
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
			_, err = answer(quiet)
			Expect(err).To(MatchError(ContainSubstring("timeout")))
			link.SetFaults(linkstandin.Faults{})
			Expect(answer(10 * time.Second)).To(Equal("hello"))
		})
	}

	// A delay that is not applied makes every link test a test of loopback.
	It("delays", func() {
		link.SetFaults(linkstandin.Faults{Forward: linkstandin.Direction{DelayMilliseconds: 50}, Backward: linkstandin.Direction{LossFraction: 1, StallMilliseconds: 60}})
		began := time.Now()
		_, err := conn.Write([]byte("hello"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer(10 * time.Second)).To(Equal("hello"))
		Expect(time.Since(began)).To(BeNumerically(">=", 110*time.Millisecond))
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
