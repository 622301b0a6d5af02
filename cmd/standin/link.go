package main

import (
	"net/netip"
	"strings"

	"github.com/jessevdk/go-flags"

	"fuchsiacross/linkstandin"
)

type linkCommand struct {
	commonOptions
	Relays []string `long:"relay" value-name:"NAME=TARGET" required:"true" description:"name of a link and the address to which it relays; repeatable"`
}

// Execute runs the links until a signal ends the process. Each link listens on a free
// port of the host of --address.
func (c *linkCommand) Execute([]string) error {
	address, err := parseAddress("--address", c.Address)
	if err != nil {
		return err
	}
	links := map[string]*linkstandin.Link{}
	r := readyInfo{Links: map[string]netip.AddrPort{}}
	for _, text := range c.Relays {
		name, target, ok := strings.Cut(text, "=")
		if !ok {
			return &flags.Error{Type: flags.ErrMarshal, Message: "--relay: " + text + " is not NAME=TARGET"}
		}
		to, err := parseAddress("--relay", target)
		if err != nil {
			return err
		}
		l, err := linkstandin.New(netip.AddrPortFrom(address.Addr(), 0), to)
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		links[name] = l
		r.Links[name] = l.Address()
	}
	if r.Control, err = serveControl(address.Addr(), linkstandin.Handler(links)); err != nil {
		return err
	}
	r.Address = r.Control
	return c.runUntilSignal(r)
}
