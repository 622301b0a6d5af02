package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/caller"
	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/operator"
	"fuchsiacross/peer"
	"fuchsiacross/scheduler"
	"fuchsiacross/settings"
	"fuchsiacross/tableservice"
	"fuchsiacross/timeline"
	"fuchsiacross/worker"
)

const (
	// tickInterval bounds how late the reducer acts on a deadline.
	tickInterval = 10 * time.Millisecond
	// delayLimit is the delay of the control goroutine that is logged: half the
	// silence after which peers suspect the instance.
	delayLimit = 400 * time.Millisecond
	// measureInterval is the time between two updates of the reducer's metrics.
	measureInterval = time.Second
	// runnerConnections is the number of connections that a runner takes from
	// all instances together.
	runnerConnections = 64
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 10 * time.Second
)

// Daemon is one running instance.
type Daemon struct {
	options  Options
	settings *settings.Settings
	self     model.Instance
	life     model.Incarnation
	log      *zap.Logger
	metrics  metrics.Registry
	ring     *timeline.Ring
	mailbox  *mailbox
	reducer  *scheduler.Reducer

	callers   *caller.Server
	operators *operator.Server
	links     *peer.Links
	workers   *worker.Client
	platform  *tableservice.Client
	servers   []*server

	document    atomic.Pointer[document.Document]
	token       atomic.Uint64
	connections atomic.Int64
	pollsHead   atomic.Bool
	ready       atomic.Bool
	sequence    uint64 // of timeline records
	stopped     chan struct{}
	quit        chan struct{}
	done        chan struct{}
}

// Options are the seams of a Daemon. The zero value is that of a real one.
type Options struct {
	// Dial opens the connections to peers, workers and the platform; nil for
	// the net package's own.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New listens on the addresses of the settings and starts the instance. It
// returns an error when an address cannot be used or a file cannot be read.
func New(s *settings.Settings, log *zap.Logger, o Options) (*Daemon, error) {
	now := time.Now()
	d := &Daemon{
		options:  o,
		settings: s,
		self: model.Instance{
			ID:         s.Instance,
			Address:    s.PeerAddress,
			DataCentre: s.DataCentre,
			Weight:     s.Weight,
		},
		life:    model.Incarnation(now.UnixMilli()),
		log:     log,
		metrics: metrics.NewRegistry(),
		ring:    timeline.NewRing(int(s.TimelineRecords)),
		mailbox: newMailbox(),
		stopped: make(chan struct{}),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	d.connections.Store(1)
	d.document.Store(document.Default())
	if err := d.build(now); err != nil {
		d.closeServers()
		return nil, err
	}
	go func() {
		defer close(d.done)
		d.control()
	}()
	d.links.SetPeers(s.Peers)
	for _, x := range d.servers {
		x.start()
	}
	return d, nil
}

func (d *Daemon) build(now time.Time) error {
	s := d.settings
	d.reducer = scheduler.New(now, scheduler.Options{
		Self:                 d.self,
		Incarnation:          d.life,
		Seed:                 uint64(now.UnixNano()),
		Partitions:           uint32(s.JournalPartitions),
		StoreWritesPerSecond: float64(s.StoreWritesPerSecond),
		MaxQueued:            int(s.Limits.MaxQueued),
		Timing:               d.timing(),
	})
	secret, err := readSecret(s.PeerSecretFile)
	if err != nil {
		return err
	}
	credentials, err := d.loadCredentials()
	if err != nil {
		return err
	}
	d.buildTargets()
	d.links = peer.New(peer.Options{
		Self:              d.self,
		Incarnation:       d.life,
		Post:              d.mailbox.post,
		CurrentDocument:   d.document.Load,
		HandleDocument:    d.copied,
		MaxFrameBytes:     s.Limits.MaxFrameBytes,
		MaxQueuedMessages: int(s.Limits.MaxPeerQueue),
		Secret:            secret,
		Dial:              d.options.Dial,
		Log:               d.log,
		Metrics:           d.metrics,
	})
	d.buildServers(credentials)
	return d.listen()
}

func (d *Daemon) timing() membership.Timing {
	t := membership.DefaultTiming()
	ratio := t.SuspicionTimeoutMilliseconds / t.HeartbeatIntervalMilliseconds
	t.HeartbeatIntervalMilliseconds = d.settings.HeartbeatMilliseconds
	t.SuspicionTimeoutMilliseconds = ratio * d.settings.HeartbeatMilliseconds
	return t
}

func (d *Daemon) buildTargets() {
	s := d.settings
	d.workers = worker.New(worker.Options{
		Self:              d.self.ID,
		Incarnation:       d.life,
		Post:              d.mailbox.post,
		DocumentRevision:  func() model.Revision { return d.document.Load().Revision },
		MaxConnections:    func() int { return int(d.connections.Load()) },
		LeaseMilliseconds: s.LeaseMilliseconds,
		Dial:              d.options.Dial,
		Log:               d.log,
		Metrics:           d.metrics,
	})
	d.platform = tableservice.New(tableservice.Options{
		Address:                  s.PlatformAddress,
		Self:                     d.self.ID,
		Incarnation:              d.life,
		Post:                     d.mailbox.post,
		ListIntervalMilliseconds: s.ListMilliseconds,
		HeadIntervalMilliseconds: s.HeadMilliseconds,
		ShouldPollHead:           d.pollsHead.Load,
		Dial:                     d.options.Dial,
		Log:                      d.log,
		Metrics:                  d.metrics,
	})
}

func (d *Daemon) buildServers(credentials *operator.Credentials) {
	s := d.settings
	limits := model.DefaultLimits()
	limits.MaxBodyBytes = s.Limits.MaxBodyBytes
	limits.MaxTasks = uint32(s.Limits.MaxTasks)
	d.callers = caller.New(caller.Options{
		Post:      d.mailbox.post,
		NextToken: d.nextToken,
		Now:       time.Now,
		Document:  d.document.Load,
		StoreBody: d.platform.StoreBody,
		Limits:    limits,
		MaxCalls:  int(s.Limits.MaxCalls),
		Log:       d.log,
		Metrics:   d.metrics,
	})
	d.operators = operator.New(operator.Options{
		Instance:  d.self.ID,
		Post:      d.mailbox.post,
		NextToken: d.nextToken,
		Now:       time.Now,
		Document:  d.document.Load,
		ReadDocument: func(ctx context.Context) (*document.Document, error) {
			return d.platform.ReadDocument(ctx, d.document.Load())
		},
		Edit:        d.edit,
		History:     d.history,
		Timeline:    d.ring,
		Credentials: credentials,
		Log:         d.log,
		Metrics:     d.metrics,
	})
}

func (d *Daemon) nextToken() event.Token { return event.Token(d.token.Add(1)) }

// copied assembles sections that a peer sent and puts them in force.
func (d *Daemon) copied(from model.InstanceID, c event.DocumentCopy) {
	have := d.document.Load()
	if c.Revision <= have.Revision {
		return
	}
	next, err := have.WithSections(c.Revision, c.Sections)
	if err != nil {
		logevent.DocumentInvalid.Log(d.log, zap.String("peer", string(from)), zap.Error(err))
		return
	}
	d.mailbox.post(event.DocumentChanged{Document: next})
}

func (d *Daemon) loadCredentials() (*operator.Credentials, error) {
	if d.settings.CredentialsFile == "" {
		return nil, nil
	}
	c, err := operator.LoadCredentials(d.settings.CredentialsFile, time.Now, d.log)
	if err != nil {
		return nil, errors.Wrap(err, "credentials")
	}
	return c, nil
}

func readSecret(path string) (func() []byte, error) {
	if path == "" {
		return nil, nil
	}
	key, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "peer secret")
	}
	return func() []byte { return key }, nil
}

// Shutdown stops the instance without interrupting a request in flight: it
// refuses new requests, hands its leases and partitions over, and returns when
// every call is answered or the context ends.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.ready.Store(false)
	d.mailbox.post(event.Shutdown{})
	var err error
	select {
	case <-d.stopped:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "requests were still in flight")
	}
	for _, x := range d.servers {
		err = errors.Join(err, x.shutdown(ctx))
	}
	err = errors.Join(err, d.workers.Close(ctx), d.links.Close(ctx), d.platform.Close(ctx))
	close(d.quit)
	<-d.done
	return err
}

// Kill ends the instance at once, as the loss of its machine would. It is meant
// for tests and demonstrations within one process.
func (d *Daemon) Kill() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	d.closeServers()
	close(d.quit)
	<-d.done
	_ = d.links.Close(ended)
	_ = d.workers.Close(ended)
	_ = d.platform.Close(ended)
}

// server is one listener with its handler.
type server struct {
	http     *http.Server
	listener net.Listener
	log      *zap.Logger
	files    settings.TLS // empty for plain connections
}

func (x *server) start() {
	go func() {
		var err error
		if x.files.CertificateFile != "" {
			err = x.http.ServeTLS(x.listener, x.files.CertificateFile, x.files.KeyFile)
		} else {
			err = x.http.Serve(x.listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			logevent.ServerFailed.Log(x.log, zap.Error(err))
		}
	}()
}

func (x *server) shutdown(ctx context.Context) error { return x.http.Shutdown(ctx) }

func (d *Daemon) closeServers() {
	for _, x := range d.servers {
		_ = x.http.Close()
		_ = x.listener.Close()
	}
}

func (d *Daemon) listen() error {
	s := d.settings
	calls := http.NewServeMux()
	calls.Handle(d.callers.Handler())
	operations := http.NewServeMux()
	operations.Handle(d.operators.Handler())
	peers := http.NewServeMux()
	peers.Handle(peer.Path, d.links.Handler())
	if err := d.serve(s.CallerAddress, calls, s.TLS); err != nil {
		return err
	}
	if err := d.serve(s.OperatorAddress, operations, s.TLS); err != nil {
		return err
	}
	if err := d.serve(s.PeerAddress, peers, settings.TLS{}); err != nil {
		return err
	}
	if !s.MetricsAddress.IsValid() {
		return nil
	}
	return d.serve(s.MetricsAddress, d.healthHandler(), settings.TLS{})
}

func (d *Daemon) serve(address netip.AddrPort, handler http.Handler, files settings.TLS) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	d.servers = append(d.servers, &server{
		listener: listener,
		log:      d.log,
		files:    files,
		http: &http.Server{
			Handler:           handler,
			Protocols:         protocols,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          zap.NewStdLog(d.log),
		},
	})
	return nil
}
