package localcell

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"

	"fuchsiacross/linkstandin"
	"fuchsiacross/model"
)

// network delays the traffic between data centres through simulated links.
type network struct {
	faults linkstandin.Faults

	mu          sync.Mutex
	dataCentres map[netip.AddrPort]model.DataCentre
	links       map[linkKey]*linkstandin.Link
}

// linkKey identifies the link from a data centre to an address in another one.
type linkKey struct {
	from model.DataCentre
	to   netip.AddrPort
}

func newNetwork(d Deployment) *network {
	direction := linkstandin.Direction{
		DelayMilliseconds:  d.DelayMilliseconds,
		JitterMilliseconds: d.JitterMilliseconds,
	}
	return &network{
		faults:      linkstandin.Faults{Forward: direction, Backward: direction},
		dataCentres: map[netip.AddrPort]model.DataCentre{},
		links:       map[linkKey]*linkstandin.Link{},
	}
}

// setDataCentre registers the data centre of an address.
func (n *network) setDataCentre(a netip.AddrPort, centre model.DataCentre) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dataCentres[a] = centre
}

// dialFrom returns the dial function of an instance in a data centre.
func (n *network) dialFrom(from model.DataCentre) func(context.Context, string, string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "parse address")
		}
		via, err := n.linkAddress(from, to)
		if err != nil {
			return nil, err
		}
		return dialer.DialContext(ctx, network, via.String())
	}
}

// linkAddress returns the address of the link to a destination, or the
// destination itself if it is in the same data centre. It creates the link on
// first use.
func (n *network) linkAddress(from model.DataCentre, to netip.AddrPort) (netip.AddrPort, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dataCentres[to] == from {
		return to, nil
	}
	key := linkKey{from: from, to: to}
	link, ok := n.links[key]
	if !ok {
		var err error
		if link, err = linkstandin.New(ephemeralAddress(), to); err != nil {
			return netip.AddrPort{}, errors.Wrap(err, "start link stand-in")
		}
		link.SetFaults(n.faults)
		n.links[key] = link
	}
	return link.Address(), nil
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		_ = link.Close()
	}
}
