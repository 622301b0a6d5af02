package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The second byte of an address is derived from the process ID, so that concurrent
// processes do not take ports from each other.
const (
	minProcessByte   = 20
	processByteCount = 200
	// networkByteCount is the number of distinct networks per process.
	networkByteCount = 256
	// maxTries limits the search for a port that was not handed out before.
	maxTries = 100
)

// Network is a range of loopback hosts that other networks of the process do not use.
type Network struct {
	processByte, networkByte byte

	mu        sync.Mutex
	handedOut map[netip.AddrPort]bool
}

// networkCounter counts the networks created by this process.
var networkCounter atomic.Uint32

// New returns a new network. After networkByteCount networks the host ranges repeat.
func New() *Network {
	return &Network{
		processByte: minProcessByte + byte(os.Getpid()%processByteCount), networkByte: byte((networkCounter.Add(1) - 1) % networkByteCount),
		handedOut: map[netip.AddrPort]bool{},
	}
}

// Host returns the address of the host with index i, which must be below 255.
func (n *Network) Host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.processByte, n.networkByte, byte(i + 1)})
}

// FreeAddress returns an address on a host with a free port. The kernel may return the
// same port again before anything listens on it; FreeAddress returns each port once.
func (n *Network) FreeAddress(host int) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for range maxTries {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(n.Host(host), 0).String())
		if err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find a free port")
		}
		free := listener.Addr().(*net.TCPAddr).AddrPort()
		if err := listener.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "find a free port")
		}
		if !n.handedOut[free] {
			n.handedOut[free] = true
			return free, nil
		}
	}
	return netip.AddrPort{}, errors.Errorf("no free port on %s in %d tries", n.Host(host), maxTries)
}
