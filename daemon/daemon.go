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

	"fuchsiacross/boundedhttp"
	"fuchsiacross/caller"
	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/intake"
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
	// tickInterval is the period of Tick events. It limits how late the reducer acts on
	// a deadline.
	tickInterval = 10 * time.Millisecond
	// controlDelayThreshold is the delay of the control goroutine above which it is
	// logged: half the default time without heartbeats after which peers suspect the
	// instance.
	controlDelayThreshold = 400 * time.Millisecond
	// metricsInterval is the period of updates of the reducer's metrics.
	metricsInterval = time.Second
	// maxRunnerConnections is the number of connections that a runner accepts from all
	// instances together.
	maxRunnerConnections = 64
	// idleTimeout is longer than the clients of package client keep idle connections.
	idleTimeout = 2 * time.Minute
)

// Daemon is one running instance of the scheduler.
type Daemon struct {
	options      Options
	settings     *settings.Settings
	self         model.Instance
	incarnation  model.Incarnation
	log          *zap.Logger
	metrics      metrics.Registry
	timelineRing *timeline.Ring
	mailbox      *mailbox
	reducer      *scheduler.Reducer

	callers   *caller.Server
	operators *operator.Server
	links     *peer.Links
	workers   *worker.Client
	platform  *tableservice.Client
	bounded   *boundedhttp.Servers
	servers   []*server

	document             atomic.Pointer[document.Document]
	lastToken            atomic.Uint64
	maxWorkerConnections atomic.Int64
	shouldPollHead       atomic.Bool
	ready                atomic.Bool
	timelineSequence     uint64        // of the latest timeline record
	stopped              chan struct{} // closed when the reducer has finished the shutdown
	quit                 chan struct{} // closed to end the control goroutine
	done                 chan struct{} // closed when the control goroutine has ended
	endReports           context.CancelFunc
}

// Options replace dependencies of a Daemon in tests. The zero value is for production.
type Options struct {
	// Dial opens the connections to peers, workers and the platform. The default is
	// that of the net package.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// New listens on the addresses of the settings and starts the instance. It returns an
// error if it cannot listen on an address or cannot read a file.
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
		incarnation:  model.Incarnation(now.UnixMilli()),
		log:          log,
		metrics:      metrics.NewRegistry(),
		timelineRing: timeline.NewRing(int(s.TimelineRecords)),
		mailbox:      newMailbox(),
		stopped:      make(chan struct{}),
		quit:         make(chan struct{}),
		done:         make(chan struct{}),
	}
	d.bounded = boundedhttp.New(boundedhttp.Options{Bounds: intakeBounds(&s.Limits), Log: log, Metrics: d.metrics})
	d.maxWorkerConnections.Store(1)
	d.document.Store(document.Default())
	if err := d.build(now); err != nil {
		d.closeServers()
		return nil, err
	}
	go func() {
		defer close(d.done)
		d.runControlLoop()
	}()
	reports, endReports := context.WithCancel(context.Background())
	d.endReports = endReports
	go func() { d.bounded.Report(reports) }()
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
		Incarnation:          d.incarnation,
		Seed:                 uint64(now.UnixNano()),
		Partitions:           uint32(s.JournalPartitions),
		StoreWritesPerSecond: float64(s.StoreWritesPerSecond),
		MaxQueued:            int(s.Limits.MaxQueued),
		MaxRequestBytes:      requestBytes(&s.Limits),
		Timing:               d.membershipTiming(),
	})
	secret, err := readSecret(s.PeerSecretFile)
	if err != nil {
		return err
	}
	credentials, err := d.loadCredentials()
	if err != nil {
		return err
	}
	d.buildClients()
	d.links = peer.New(peer.Options{
		Self:              d.self,
		Incarnation:       d.incarnation,
		Post:              d.mailbox.post,
		CurrentDocument:   d.document.Load,
		HandleDocument:    d.handleDocumentCopy,
		MaxFrameBytes:     s.Limits.MaxFrameBytes,
		MaxQueuedMessages: int(s.Limits.MaxPeerQueue),
		Secret:            secret,
		Dial:              d.options.Dial,
		Log:               d.log,
		Metrics:           d.metrics,
	})
	d.buildServers(credentials)
	return d.listenAll()
}

func (d *Daemon) membershipTiming() membership.Timing {
	t := membership.DefaultTiming()
	ratio := t.SuspicionTimeoutMilliseconds / t.HeartbeatIntervalMilliseconds
	t.HeartbeatIntervalMilliseconds = d.settings.HeartbeatIntervalMilliseconds
	t.SuspicionTimeoutMilliseconds = ratio * d.settings.HeartbeatIntervalMilliseconds
	return t
}

func (d *Daemon) buildClients() {
	s := d.settings
	d.workers = worker.New(worker.Options{
		Self:              d.self.ID,
		Incarnation:       d.incarnation,
		Post:              d.mailbox.post,
		DocumentRevision:  func() model.Revision { return d.document.Load().Revision },
		MaxConnections:    func() int { return int(d.maxWorkerConnections.Load()) },
		LeaseMilliseconds: s.LeaseDurationMilliseconds,
		Dial:              d.options.Dial,
		Log:               d.log,
		Metrics:           d.metrics,
	})
	d.platform = tableservice.New(tableservice.Options{
		Address:                  s.PlatformAddress,
		Self:                     d.self.ID,
		Incarnation:              d.incarnation,
		Post:                     d.mailbox.post,
		ListIntervalMilliseconds: s.ListIntervalMilliseconds,
		HeadIntervalMilliseconds: s.HeadIntervalMilliseconds,
		ShouldPollHead:           d.shouldPollHead.Load,
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
		Budget:    d.bounded.Budget(),
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
		Edit:        d.commitEdit,
		History:     d.readHistory,
		Timeline:    d.timelineRing,
		Credentials: credentials,
		Budget:      d.bounded.Budget(),
		Log:         d.log,
		Metrics:     d.metrics,
	})
}

func (d *Daemon) nextToken() event.Token { return event.Token(d.lastToken.Add(1)) }

// handleDocumentCopy builds a newer document from the sections that a peer sent and
// posts it to the reducer.
func (d *Daemon) handleDocumentCopy(from model.InstanceID, c event.DocumentCopy) {
	current := d.document.Load()
	if c.Revision <= current.Revision {
		return
	}
	next, err := current.WithSections(c.Revision, c.Sections)
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

// Shutdown stops the instance gracefully: it refuses new requests, waits for requests
// in flight, hands over its leases and partitions, and returns when every call is
// answered. If the context ends first, it returns an error.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.ready.Store(false)
	d.callers.Drain()
	d.mailbox.post(event.Shutdown{})
	var err error
	select {
	case <-d.stopped:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "requests were still in flight")
	}
	shutdowns := make(chan error, len(d.servers))
	for _, x := range d.servers {
		go func() { shutdowns <- x.shutdown(ctx) }()
	}
	for range d.servers {
		err = errors.Join(err, <-shutdowns)
	}
	err = errors.Join(err, d.workers.Close(ctx), d.links.Close(ctx), d.platform.Close(ctx))
	close(d.quit)
	<-d.done
	d.endReports()
	return err
}

// Kill stops the instance immediately, as a crash of its machine would. It is meant for
// tests and demonstrations within one process.
func (d *Daemon) Kill() {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	d.closeServers()
	close(d.quit)
	<-d.done
	d.endReports()
	_ = d.links.Close(cancelled)
	_ = d.workers.Close(cancelled)
	_ = d.platform.Close(cancelled)
}

// server is an HTTP server with its listener.
type server struct {
	http     *http.Server
	listener *intake.Listener
	log      *zap.Logger
	tlsFiles settings.TLS // empty for plain connections
}

func (x *server) start() {
	go func() {
		var err error
		if x.tlsFiles.CertificateFile != "" {
			err = x.http.ServeTLS(x.listener, x.tlsFiles.CertificateFile, x.tlsFiles.KeyFile)
		} else {
			err = x.http.Serve(x.listener)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			logevent.ServerFailed.Log(x.log, zap.Error(err))
		}
	}()
}

// evictionInterval is the time between two searches for incomplete requests in a shutdown.
const evictionInterval = 20 * time.Millisecond

// shutdown closes the listener and waits for the responses to requests that have been read
// whole. Others are not served any more.
func (x *server) shutdown(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- x.http.Shutdown(ctx) }()
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		x.listener.EvictIncomplete()
		select {
		case err := <-done:
			return err
		case <-ticker.C:
		}
	}
}

func (d *Daemon) closeServers() {
	for _, x := range d.servers {
		_ = x.http.Close()
		_ = x.listener.Close()
	}
}

func (d *Daemon) listenAll() error {
	s := d.settings
	calls := http.NewServeMux()
	calls.Handle(d.callers.Handler())
	operations := http.NewServeMux()
	operations.Handle(d.operators.Handler())
	peers := http.NewServeMux()
	peers.Handle(peer.Path, d.links.Handler())
	callers, operators, peerLinks, monitoring := listenerOptions(d.bounded.Bounds())
	addresses := []struct {
		name     string
		address  netip.AddrPort
		handler  http.Handler
		options  intake.Options
		tlsFiles settings.TLS
		http2    bool
	}{
		{"callers", s.CallerAddress, calls, callers, s.TLS, true},
		{"operators", s.OperatorAddress, operations, operators, s.TLS, true},
		{"peers", s.PeerAddress, peers, peerLinks, settings.TLS{}, false},
		{"metrics", s.MetricsAddress, d.healthHandler(), monitoring, settings.TLS{}, true},
	}
	for _, a := range addresses {
		if !a.address.IsValid() {
			continue
		}
		listener, err := d.bounded.Listen(a.name, a.address, a.options)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		d.servers = append(d.servers, &server{
			listener: listener,
			log:      d.log,
			tlsFiles: a.tlsFiles,
			http:     d.bounded.NewServer(boundedhttp.ServerOptions{Handler: a.handler, IdleTimeout: idleTimeout, HTTP2: a.http2}),
		})
	}
	return nil
}
