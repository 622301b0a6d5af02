package loopback

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// The second byte of an address is that of the process, so that processes that
// run side by side take no ports from each other.
const (
	firstProcess = 20
	processes    = 200
	// networks is how many networks of a process differ from each other.
	networks = 256
	// maxTries bounds the search for a port that was not handed out before.
	maxTries = 100
)

// Network is a range of hosts that no other network of the process shares.
type Network struct {
	process, number byte

	mu        sync.Mutex
	handedOut map[netip.AddrPort]bool
}

// made counts the networks of this process.
var made atomic.Uint32

// New returns the next network of this process.
func New() *Network {
	return &Network{
		process: firstProcess + byte(os.Getpid()%processes), number: byte((made.Add(1) - 1) % networks),
		handedOut: map[netip.AddrPort]bool{},
	}
}

// Host returns the address of the host with an index, below 255.
func (n *Network) Host(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, n.process, n.number, byte(i + 1)})
}

// Free returns an address on a host, with a port that nothing listens on. The
// kernel may name a port again that is not listened on yet; Free does not.
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
