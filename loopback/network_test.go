package loopback_test

import (
	"net"
	"net/netip"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/loopback"
)

func TestLoopback(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loopback")
}

var _ = Describe("Network", func() {
	// Of two instances with the same address one fails to start (soak seed 112).
	It("hands out no address twice", func() {
		n := loopback.New()
		seen := map[netip.AddrPort]bool{}
		for range 200 {
			a, err := n.FreeAddress(0)
			Expect(err).NotTo(HaveOccurred())
			Expect(seen).NotTo(HaveKey(a))
			seen[a] = true
		}
	})

	// An outgoing connection took the port of an instance before it listened, which
	// failed with "address already in use" in the tests of package instance, once in CI.
	It("hands out addresses that outgoing connections do not take", func() {
		n := loopback.New()
		free, err := n.FreeAddress(3)
		Expect(err).NotTo(HaveOccurred())
		target, err := net.Listen("tcp", netip.AddrPortFrom(n.Host(1), 0).String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		c, err := net.Dial("tcp", target.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.LocalAddr().(*net.TCPAddr).AddrPort().Addr()).NotTo(Equal(free.Addr()))
	})

	It("gives each network hosts of its own", func() {
		a, b := loopback.New(), loopback.New()
		Expect(a.Host(0)).NotTo(Equal(b.Host(0)))
		Expect(a.Host(0)).NotTo(Equal(a.Host(1)))
	})
})
