package soak

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/linkstandin"
	"fuchsiacross/loopback"
)

// Each instance reaches each runner and each other instance through a link of its own, so
// that a fault can separate any of them. The last byte of an address tells which link it
// belongs to: linkHostBase + linkHostStride * caller + target. A registration names the
// address with the caller registeredCaller, at which nothing listens. An instance that
// reads the store finds its own address instead, whichever instance has written the row.
const (
	linkHostBase     = 100
	linkHostStride   = 20
	registeredCaller = instanceCount
)

// links are the links to a runner or an instance, by the number of the calling instance.
type links struct {
	byCaller          []*linkstandin.Link
	registeredAddress netip.AddrPort
}

// network provides the loopback addresses of the instances and the links.
var network = loopback.New()

func freeAddress() netip.AddrPort {
	GinkgoHelper()
	a, err := network.FreeAddress(0)
	Expect(err).NotTo(HaveOccurred())
	return a
}

// newLink starts a link to a target, on a free port.
func newLink(target netip.AddrPort) *linkstandin.Link {
	GinkgoHelper()
	return newLinkAt(netip.MustParseAddrPort("127.0.0.1:0"), target)
}

func newLinkAt(address, target netip.AddrPort) *linkstandin.Link {
	GinkgoHelper()
	l, err := linkstandin.New(address, target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}

// linkHost returns the index of the host at which a caller reaches a target. The first
// runnerCount targets are the runners, the others are the instances.
func linkHost(caller, target int) int { return linkHostBase + linkHostStride*caller + target - 1 }

// newLinks starts the links from all instances to the target with a number.
func newLinks(number int, target netip.AddrPort) links {
	GinkgoHelper()
	registered, err := network.FreeAddress(linkHost(registeredCaller, number))
	Expect(err).NotTo(HaveOccurred())
	l := links{registeredAddress: registered}
	for caller := range instanceCount {
		address := netip.AddrPortFrom(network.Host(linkHost(caller, number)), registered.Port())
		l.byCaller = append(l.byCaller, newLinkAt(address, target))
	}
	return l
}

// addressesOf returns a function that replaces the addresses of links in a row by those
// that belong to a caller. They have the same length, as encoded rows require.
func addressesOf(caller int) func(value []byte) []byte {
	host := network.Host(0).As4()
	prefix := fmt.Sprintf("%d.%d.%d.", host[0], host[1], host[2])
	address := regexp.MustCompile(regexp.QuoteMeta(prefix) + `[12]\d\d:`)
	return func(value []byte) []byte {
		return address.ReplaceAllFunc(value, func(found []byte) []byte {
			last, _ := strconv.Atoi(string(found[len(prefix) : len(found)-1])) // three digits
			return fmt.Appendf(nil, "%s%d:", prefix, linkHostBase+linkHostStride*caller+(last-linkHostBase)%linkHostStride)
		})
	}
}

// setFaults replaces the faults of links. Links that a split cuts stay cut until it ends.
func (c *cluster) setFaults(f linkstandin.Faults, list ...*linkstandin.Link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range list {
		if !c.splitLinks[l] {
			l.SetFaults(f)
		}
	}
}

// applyFaults sets the faults of links and returns the function that clears them.
func (c *cluster) applyFaults(f linkstandin.Faults, list ...*linkstandin.Link) func() {
	c.setFaults(f, list...)
	return func() { c.setFaults(linkstandin.Faults{}, list...) }
}

// split cuts an instance and the runners beside it off from the store and from all other
// instances and runners, in both directions, and returns the function that ends this.
// Clients reach all instances, and the runners' registrations stay.
func (c *cluster) split(instance int, beside map[int]bool) func() {
	cut := []*linkstandin.Link{c.processes[instance].storeLink}
	for caller := range c.processes {
		for target, p := range c.processes {
			if (caller == instance) != (target == instance) {
				cut = append(cut, p.peerLinks.byCaller[caller])
			}
		}
		for target, r := range c.runners {
			if (caller == instance) != beside[target] {
				cut = append(cut, r.byCaller[caller])
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range cut {
		l.SetFaults(cutBothDirections)
		c.splitLinks[l] = true
	}
	return func() {
		c.mu.Lock()
		clear(c.splitLinks)
		c.mu.Unlock()
		c.setFaults(linkstandin.Faults{}, cut...)
	}
}

// resetConnections resets all open connections of links.
func resetConnections(list ...*linkstandin.Link) {
	for _, l := range list {
		l.ResetConnections()
	}
}
