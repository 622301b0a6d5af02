// Package linkstandin is a TCP relay that stands in for a network link between
// two instances in tests. It is never linked into the daemon.
//
// Each Link listens on one address and relays connections to another. Delay, loss,
// bandwidth and cuts are set for each direction. A TCP stream cannot lose bytes, so a loss is
// emulated by the time of a retransmission, which delays the data behind it too. A
// cut direction holds its data until the cut ends; the sender gets no error. New
// connections to a cut link hang, or are refused if Faults.Refuse is set.
//
// # Usage
//
//	l, err := linkstandin.New(netip.MustParseAddrPort("127.0.0.1:0"), target)
//	if err != nil {
//		return err
//	}
//	defer l.Close()
//	l.SetFaults(linkstandin.Faults{Forward: linkstandin.Direction{DelayMilliseconds: 5}})
//
// The faults of a stand-in in another process are set over HTTP; see Handler.
package linkstandin
