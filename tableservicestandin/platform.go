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

// MaxRowBytes is the largest size of a row's value.
const MaxRowBytes = 256 << 10

// Options configures a stand-in.
type Options struct {
	Address netip.AddrPort // to listen on; port 0 for any free one
	Faults  Faults         // in force from the start
}

// Platform is a running stand-in. It is safe for concurrent use.
type Platform struct {
	address  netip.AddrPort
	server   *http.Server
	table    *table
	objects  *objectStore
	list     *listHistory
	injector *faultInjector
	counter  *counter
	views    atomic.Pointer[Views]
}

// New starts a stand-in. It returns an error if it cannot listen on the address.
func New(o Options) (*Platform, error) {
	listener, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Platform{
		address: listener.Addr().(*net.TCPAddr).AddrPort(),
		table:   newTable(),
		objects: newObjectStore(),
		list:    newListHistory(),
		counter: newCounter(),
	}
	p.injector = newFaultInjector(p.counter)
	p.injector.set(o.Faults)
	p.server = &http.Server{Handler: p.handler(), Protocols: new(http.Protocols)}
	p.server.Protocols.SetHTTP1(true)
	p.server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the address that the stand-in listens on.
func (p *Platform) Address() netip.AddrPort { return p.address }

// SetFaults replaces the faults. Calls that hang continue if Hang is no longer set.
func (p *Platform) SetFaults(f Faults) { p.injector.set(f) }

// Counters returns the current counters.
func (p *Platform) Counters() Counters { return p.counter.snapshot() }

// ResetCounters sets the counters to zero and begins a new period.
func (p *Platform) ResetCounters() { p.counter.reset() }

// Rows returns the rows whose keys begin with prefix, in key order.
func (p *Platform) Rows(prefix string) []Row { return p.table.rowsWithPrefix(prefix) }

// Close stops the stand-in and closes its connections.
func (p *Platform) Close() error {
	p.injector.close()
	return p.server.Close()
}

func (p *Platform) handler() http.Handler {
	services := http.NewServeMux()
	limit := connect.WithReadMaxBytes(64 << 20)
	services.Handle(platformv1connect.NewTableServiceHandler(&tableService{p}, limit))
	services.Handle(platformv1connect.NewObjectServiceHandler(&objectService{p}, limit))
	services.Handle(platformv1connect.NewInstanceServiceHandler(&instanceService{p}, limit))
	mux := http.NewServeMux()
	mux.Handle("/", p.injector.wrapHandler(services))
	p.registerControl(mux)
	return mux
}
