package tableservicestandin

import (
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/platformv1/platformv1connect"
)

// RowLimit is the largest value of a row in bytes.
const RowLimit = 256 << 10

// Options configures a stand-in.
type Options struct {
	Address netip.AddrPort // to listen on; port 0 for any
	Faults  Faults         // from the start
}

// Platform is a running stand-in.
type Platform struct {
	address netip.AddrPort
	server  *http.Server
	table   *table
	objects *objects
	list    *list
	faults  *injector
	counts  *counter
	views   atomic.Pointer[Views]
}

// New starts a stand-in.
func New(o Options) (*Platform, error) {
	listener, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Platform{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		table:   newTable(),
		objects: newObjects(),
		list:    newList(),
		counts:  newCounter(),
	}
	p.faults = newInjector(p.counts)
	p.faults.set(o.Faults)
	p.server = &http.Server{Handler: p.handler(), Protocols: new(http.Protocols)}
	p.server.Protocols.SetHTTP1(true)
	p.server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the address that the stand-in listens on.
func (p *Platform) Address() netip.AddrPort { return p.address }

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) { p.faults.set(f) }

// Counters returns the counters.
func (p *Platform) Counters() Counters { return p.counts.read() }

// ResetCounters sets the counters to zero.
func (p *Platform) ResetCounters() { p.counts.reset() }

// Rows returns the rows whose keys begin with prefix, in key order.
func (p *Platform) Rows(prefix string) []Row { return p.table.rows(prefix) }

// Close stops the stand-in and its connections.
func (p *Platform) Close() error {
	p.faults.close()
	return p.server.Close()
}

func (p *Platform) handler() http.Handler {
	services := http.NewServeMux()
	limit := connect.WithReadMaxBytes(64 << 20)
	services.Handle(platformv1connect.NewTableServiceHandler(&tableService{p}, limit))
	services.Handle(platformv1connect.NewObjectServiceHandler(&objectService{p}, limit))
	services.Handle(platformv1connect.NewInstanceServiceHandler(&instanceService{p}, limit))
	mux := http.NewServeMux()
	mux.Handle("/", p.faults.wrap(services))
	p.control(mux)
	return mux
}
