// Package instance runs one instance of the scheduler on the users' platform.
//
// Every instance accepts jobs from clients and stores them. Jobs and workers are divided
// into shards, of which a small fleet has only one; the leader of a shard places its tasks
// on its workers. Any instance can become the leader of any shard: all durable state is in
// the store, and the workers report what runs. A leader opens a link to each other
// instance. Over it the instance notifies the leader of new jobs and asks for the state of
// jobs, and the leader has the instance make calls for advice, which return the workers
// that are allowed to run a step.
//
// # Usage
//
//	i, err := instance.New(settings, log, dropped)
//	defer i.Shutdown()
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/backlog"
	"fuchsiacross/boundedhttp"
	"fuchsiacross/intake"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/operatorfeed"
	"fuchsiacross/platform/advice"
	"fuchsiacross/platform/client"
	"fuchsiacross/platform/runner"
	"fuchsiacross/platform/store"
	"fuchsiacross/share"
	"fuchsiacross/storebudget"
	"fuchsiacross/storehealth"
)

const (
	idleTimeout            = 30 * time.Second
	balancerDetectionDelay = 2300 * time.Millisecond // time until the load balancer has seen two failed checks
	shutdownReserve        = 1200 * time.Millisecond // part of the grace period that is kept for open requests
	metricsPath            = "/metrics"
	// Connections to the store that requests do not use. A reading of the configuration that
	// gets no answer holds its connection until it times out.
	configurationConnections = 2
	controlConnections       = 16
	readinessPath            = "/ready"
	readinessStoreTimeout    = 1500 * time.Millisecond // how long store calls may fail before the instance reports that it is not ready
)

// Instance is a running instance.
type Instance struct {
	settings    Settings
	incarnation int64 // distinguishes the processes that run under one name
	log         *zap.Logger
	metrics     metrics.Registry
	dropped     func() int64
	bounded     *boundedhttp.Servers

	store              *store.Client // for requests
	controlStore       *store.Client // for elections, leaderships and registrations
	configurationStore *store.Client
	loadStore          *store.Client // for all jobs of a shard at once

	runner *runner.Client
	advice *advice.Client

	configuration      atomic.Pointer[configurationInForce]
	configurationMutex sync.Mutex          // held while the configuration is replaced
	configurationKnown chan struct{}       // closed when the first configuration is known
	feed               *operatorfeed.Watch // of the configuration
	keys               *keyState
	shardTable         atomic.Pointer[shardTable]
	shardsKnown        chan struct{} // closed when the map of shards is known
	storeHealth        storehealth.Health
	writeBudget        storebudget.Budget // of the requests' calls to the store
	readBudget         storebudget.Budget
	gate               *share.Gate   // refuses jobs beyond their tenants' shares
	backlogGate        *backlog.Gate // refuses jobs for which leaders have no memory
	refusalChecks      chan struct{} // one element for each check whether a job to refuse is stored
	stopping           atomic.Bool

	mu                sync.Mutex // also guards the mutable fields of the shards
	slowdown          float64    // factor by which the processor is slower than at its best; zero before the first change
	slowdownChangedAt time.Time  // time of the last change of slowdown
	pendingRequests   map[int64]chan link.Message
	lastRequestNumber int64

	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	servers      []*http.Server
	callerServer *http.Server
	callers      *callerListener
}

// New opens the addresses of an instance and starts it. The dropped function returns the
// number of log lines lost so far. The error names the address that cannot be opened.
func New(s Settings, log *zap.Logger, dropped func() int64) (*Instance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		settings: s, incarnation: time.Now().UnixMicro(), log: log, metrics: metrics.NewRegistry(), dropped: dropped,
		store: store.New(s.StoreAddress), runner: runner.New(), feed: operatorfeed.NewWatch(time.Now()), keys: newKeyState(), gate: share.NewGate(), backlogGate: backlog.NewGate(maxBacklogBytes(&s)), refusalChecks: make(chan struct{}, maxRefusalChecks),
		configurationKnown: make(chan struct{}), shardsKnown: make(chan struct{}), pendingRequests: map[int64]chan link.Message{},
		ctx: ctx, cancel: cancel,
	}
	i.store.OnUnreadableRow = func(err error) {
		i.counter("store.unreadable_rows").Inc(1)
		logevent.StoreRowUnreadable.Log(i.log, errorField(err))
	}
	i.store.Admit = func(isWrite bool) bool {
		admitted := i.callBudget(isWrite).Take(time.Now())
		if !admitted {
			i.counter("store.held_back").Inc(1)
		}
		return admitted
	}
	i.store.OnAnswer = func(isWrite, isThrottled bool) {
		i.callBudget(isWrite).RecordAnswer(time.Now(), isThrottled)
		if isThrottled {
			i.counter("store.throttled").Inc(1)
		}
	}
	i.configurationStore = i.store.Reserved(configurationConnections)
	i.controlStore = i.store.Reserved(controlConnections)
	i.loadStore = i.store.Reserved(s.loadConnections())
	i.bounded = i.newServers()
	bounds := i.bounded.Bounds()
	if s.AdviceAddress.IsValid() {
		i.advice = advice.New(s.AdviceAddress)
	}
	handler := &client.Handler{
		Route: i.findRoute, MaxBodyBytes: i.maxBodyBytes, Submit: i.submit, Status: i.status,
		Cancel: i.cancelJob, CountPending: i.countPending, ShouldCloseConnections: i.stopping.Load,
		ReadBody: i.bounded.Budget().ReadBody,
	}
	peerMux := http.NewServeMux()
	peerMux.Handle(link.Path, link.Handler(i.handleLeaderMessage, i.handleLinkClosed))
	readinessMux := http.NewServeMux()
	readinessMux.HandleFunc(readinessPath, i.serveReadiness)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc(metricsPath, i.writeMetrics)
	metricsMux.HandleFunc(runTimesPath, i.serveRunTimes)
	listeners := []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
		options intake.Options
	}{
		{"callers", s.CallerAddress, handler, callerOptions(bounds)},
		{"peers", s.PeerAddress, peerMux, peerOptions(bounds)},
		{"readiness", s.ReadinessAddress, readinessMux, probeOptions(bounds)},
		{"metrics", s.MetricsAddress, metricsMux, probeOptions(bounds)},
	}
	for n, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		listener, err := i.bounded.Listen(l.name, l.address, l.options)
		if err != nil {
			cancel()
			return nil, errors.Wrapf(err, "listen at %s", l.address)
		}
		if n == 0 {
			i.callers = newCallerListener(listener)
			i.callerServer = i.startServer(i.callers, l.handler, i.callers.recordState)
		} else {
			i.servers = append(i.servers, i.startServer(listener, l.handler, nil))
		}
	}
	i.goroutines.Go(func() { i.bounded.Report(i.ctx) })
	i.goroutines.Go(i.followConfiguration)
	i.goroutines.Go(i.followOtherInstances)
	i.goroutines.Go(i.watchConfigurationFeed)
	i.goroutines.Go(i.registerInstance)
	i.goroutines.Go(i.joinElections)
	i.goroutines.Go(i.probeStore)
	i.goroutines.Go(i.monitorProcessorSpeed)
	logevent.InstanceStarted.Log(log, zap.Stringer("caller_address", s.CallerAddress), zap.Int64("life", i.incarnation))
	return i, nil
}

// startServer serves the requests of a listener until it is closed. The function connState,
// which may be nil, is notified of the states of connections.
func (i *Instance) startServer(listener net.Listener, handler http.Handler, connState func(net.Conn, http.ConnState)) *http.Server {
	server := i.bounded.NewServer(boundedhttp.ServerOptions{Handler: handler, IdleTimeout: idleTimeout, ConnState: connState})
	i.goroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logevent.ServerFailed.Log(i.log, zap.Stringer("address", listener.Addr()), errorField(err))
		}
	})
	return server
}

// serveReadiness answers the load balancer's check whether this instance wants new
// connections.
func (i *Instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if i.stopping.Load() || i.configuration.Load() == nil || i.shardTable.Load() == nil || i.storeHealth.FailureDuration(time.Now()) > readinessStoreTimeout {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Shutdown releases the leaderships of this instance, lets the open requests finish within
// the grace period and stops the instance.
func (i *Instance) Shutdown() {
	deadline := time.Now().Add(time.Duration(i.settings.GraceSeconds*float64(time.Second)) - shutdownReserve)
	logevent.ShutdownStarted.Log(i.log)
	i.stopping.Store(true)
	var resignations sync.WaitGroup
	for _, s := range i.shards() {
		if term := s.currentLeadership(); term != nil {
			resignations.Go(term.resign)
		}
	}
	drainTimer := time.NewTimer(min(balancerDetectionDelay, time.Until(deadline)))
	<-drainTimer.C
	resignations.Wait()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := i.callers.drain(ctx); err != nil {
		logevent.ShutdownTimedOut.Log(i.log, errorField(err))
	}
	i.cancel()
	_ = i.callerServer.Close()
	for _, s := range i.servers {
		_ = s.Close()
	}
	logevent.InstanceStopped.Log(i.log, zap.Int64("dropped_log_lines", i.dropped()))
}

// randomDelay returns a random duration below limit.
func randomDelay(limit time.Duration) time.Duration { return rand.N(limit) }

const (
	// probeInterval is the time between two pings of a store that is unavailable.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// isStoreUnavailable reports whether the store is expected not to answer a call now.
func (i *Instance) isStoreUnavailable() bool {
	return i.storeHealth.IsUnavailable(time.Now(), i.store.SlowCallThreshold())
}

// probeStore pings the store while it is unavailable, so that its recovery is detected.
func (i *Instance) probeStore() {
	for sleep(i.ctx, probeInterval) {
		if !i.isStoreUnavailable() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(i.ctx, probeTimeout)
			defer cancel()
			i.recordStoreCall(i.controlStore.Ping(ctx))
		}()
	}
}

// callBudget returns the budget of the requests' writes or reads.
func (i *Instance) callBudget(isWrite bool) *storebudget.Budget {
	if isWrite {
		return &i.writeBudget
	}
	return &i.readBudget
}

// recordStoreCall records the outcome of a call to the store. A canceled call is ignored:
// it was abandoned, for example because another attempt was faster.
func (i *Instance) recordStoreCall(err error) {
	if i.ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, store.ErrThrottled) {
		if i.storeHealth.ObserveThrottled(time.Now()) {
			logevent.StoreUnreachable.Log(i.log, errorField(err))
		}
		return
	}
	answered := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrHistoryGone) || errors.Is(err, store.ErrInvalid)
	if !i.storeHealth.Observe(time.Now(), answered) {
		return
	}
	if answered {
		logevent.StoreReachable.Log(i.log)
	} else {
		logevent.StoreUnreachable.Log(i.log, errorField(err))
	}
}

// errorField returns a log field with the message of an error, without its stack.
func errorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
