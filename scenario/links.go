package scenario

import (
	"net/netip"

	"github.com/go-faster/errors"
)

// linkDirectionFaults and linkFaults are the JSON forms of the faults of package
// linkstandin.
type linkDirectionFaults struct {
	DelayMilliseconds  int64   `json:"delay_milliseconds"`
	JitterMilliseconds int64   `json:"jitter_milliseconds"`
	LossFraction       float64 `json:"loss_share"`
	Cut                bool    `json:"cut"`
}

type linkFaults struct {
	Forward  linkDirectionFaults `json:"forward"`
	Backward linkDirectionFaults `json:"backward"`
}

// linkName returns the name of the link that carries the connections opened by the
// instance from. The destination is an instance or "platform".
func linkName(from, to string) string { return from + "." + to }

// startLinks starts a link for the connections from each instance to each other
// one and to the platform.
func (c *cell) startLinks() error {
	args := []string{"link"}
	relay := func(from, to string, target netip.AddrPort) {
		args = append(args, "--relay", linkName(from, to)+"="+target.String())
	}
	for i, x := range c.instances {
		relay(x.name, "platform", netip.AddrPortFrom(c.platformIP(i), c.platform.Address.Port()))
		for _, other := range c.instances {
			if other != x {
				relay(x.name, other.name, other.peerAddress)
			}
		}
	}
	c.links = c.newStandin("links", args...)
	return c.links.launch()
}

// cutDirection holds back all data from one end to the other, regardless of which
// end opened the connection.
func (c *cell) cutDirection(from, to string) error {
	found := false
	if name := linkName(from, to); c.links.Links[name].IsValid() {
		f := c.faultsByLink[name]
		f.Forward.Cut = true
		c.faultsByLink[name], found = f, true
	}
	if name := linkName(to, from); c.links.Links[name].IsValid() {
		f := c.faultsByLink[name]
		f.Backward.Cut = true
		c.faultsByLink[name], found = f, true
	}
	if !found {
		return errors.Errorf("no link between %s and %s", from, to)
	}
	return c.applyLinkFaults()
}

// delayInstanceLinks sets delay, jitter and loss in both directions of all links
// between instances.
func (c *cell) delayInstanceLinks(d linkDirectionFaults) error {
	for _, x := range c.instances {
		for _, other := range c.instances {
			if other != x {
				c.faultsByLink[linkName(x.name, other.name)] = linkFaults{d, d}
			}
		}
	}
	return c.applyLinkFaults()
}

func (c *cell) healLinks() error {
	for name := range c.faultsByLink {
		c.faultsByLink[name] = linkFaults{}
	}
	return c.applyLinkFaults()
}

func (c *cell) applyLinkFaults() error {
	for name, f := range c.faultsByLink {
		if err := c.links.sendJSON("PUT", "links/"+name, f); err != nil {
			return err
		}
	}
	return nil
}
