// Package instance is one instance of the scheduler on the users' platform.
//
// Every instance takes jobs from clients and stores them. Jobs and workers are
// divided into shards, one in a small fleet; the leader of a shard places its tasks
// on its workers. Any instance can become the leader of any shard: all that must last
// lies in the store, and what runs is read from the workers. A leader opens a link to
// each other instance, over which it hears of new jobs at once, answers questions
// about jobs and has calls for advice made.
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

	"fuchsiacross/job"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/advice"
	"fuchsiacross/platform/client"
	"fuchsiacross/platform/runner"
	"fuchsiacross/platform/store"
	"fuchsiacross/storehealth"
)

const (
	idleTimeout       = 30 * time.Second
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	rotationSpan      = 2300 * time.Millisecond // until the balancer has noticed two failed checks
	shutdownReserve   = 1200 * time.Millisecond // of the grace period, kept for the end of open requests
	metricsPath       = "/metrics"
	readinessPath     = "/ready"
	storeSilenceReady = 1500 * time.Millisecond // without the store, after which no new connections are wanted
)

// Instance is a running instance.
type Instance struct {
	settings Settings
	life     int64 // distinguishes processes of one name
	log      *zap.Logger
	metrics  metrics.Registry
	dropped  func() int64

	store  *store.Client
	runner *runner.Client
	advice *advice.Client

	configuration atomic.Pointer[job.Configuration]
	configured    chan struct{} // closed once a configuration is known
	division      atomic.Pointer[division]
	divided       chan struct{} // closed once the division is known
	storeHealth   storehealth.Health
	stopping      atomic.Bool

	mu        sync.Mutex // also guards what the shards know of their leaders
	slowdown  float64    // of the processor, by its measurements; zero before the first
	slowedAt  time.Time  // when that last changed
	questions map[int64]chan link.Message
	number    int64

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
	front   *http.Server
}

// New opens the addresses of an instance and starts it.
func New(s Settings, log *zap.Logger, dropped func() int64) (*Instance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		settings: s, life: time.Now().UnixMicro(), log: log, metrics: metrics.NewRegistry(), dropped: dropped,
		store: store.New(s.StoreAddress), runner: runner.New(),
		configured: make(chan struct{}), divided: make(chan struct{}), questions: map[int64]chan link.Message{},
		ctx: ctx, cancel: cancel,
	}
	if s.AdviceAddress.IsValid() {
		i.advice = advice.New(s.AdviceAddress)
	}
	handler := &client.Handler{
		Route: i.route, MaxBody: i.maxBody, Submit: i.submit, Status: i.status,
		Cancel: i.cancelJob, Pending: i.pending, Closing: i.stopping.Load,
	}
	peers := http.NewServeMux()
	peers.Handle(link.Path, link.Handler(i.received, i.linkClosed))
	ready := http.NewServeMux()
	ready.HandleFunc(readinessPath, i.ready)
	values := http.NewServeMux()
	values.HandleFunc(metricsPath, i.writeMetrics)
	listeners := []struct {
		address netip.AddrPort
		handler http.Handler
	}{
		{s.CallerAddress, handler},
		{s.PeerAddress, peers},
		{s.ReadinessAddress, ready},
		{s.MetricsAddress, values},
	}
	for n, l := range listeners {
		if !l.address.IsValid() {
			continue
		}
		server, err := i.serve(l.address, l.handler)
		if err != nil {
			cancel()
			return nil, err
		}
		if n == 0 {
			i.front = server
		} else {
			i.servers = append(i.servers, server)
		}
	}
	i.running.Go(i.followConfiguration)
	i.running.Go(i.register)
	i.running.Go(i.join)
	i.running.Go(i.probe)
	i.running.Go(i.watchSpeed)
	logevent.InstanceStarted.Log(log, zap.Stringer("caller_address", s.CallerAddress), zap.Int64("life", i.life))
	return i, nil
}

func (i *Instance) serve(address netip.AddrPort, handler http.Handler) (*http.Server, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(zap.NewNop()),
	}
	i.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logevent.ServerFailed.Log(i.log, zap.Stringer("address", address), failure(err))
		}
	})
	return server, nil
}

// ready tells the balancer whether this instance wants new connections.
func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if i.stopping.Load() || i.configuration.Load() == nil || i.division.Load() == nil || i.storeHealth.FailureDuration(time.Now()) > storeSilenceReady {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Shutdown hands what this instance leads over, answers the open requests and ends.
func (i *Instance) Shutdown() {
	deadline := time.Now().Add(time.Duration(i.settings.GraceSeconds*float64(time.Second)) - shutdownReserve)
	logevent.ShutdownStarted.Log(i.log)
	i.stopping.Store(true)
	var resigned sync.WaitGroup
	for _, s := range i.shards() {
		if leading := s.leadership(); leading != nil {
			resigned.Go(leading.resign)
		}
	}
	pause := time.NewTimer(min(rotationSpan, time.Until(deadline)))
	<-pause.C
	resigned.Wait()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := i.front.Shutdown(ctx); err != nil {
		logevent.ShutdownTimedOut.Log(i.log, failure(err))
	}
	i.cancel()
	for _, s := range i.servers {
		_ = s.Close()
	}
	logevent.InstanceStopped.Log(i.log, zap.Int64("dropped_log_lines", i.dropped()))
}

// jitter returns a random span up to limit.
func jitter(limit time.Duration) time.Duration { return rand.N(limit) }

const (
	// probeInterval is between two calls that look whether the store is back.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = time.Second
)

// storeAway reports whether the store gives no answers now.
func (i *Instance) storeAway() bool { return i.storeHealth.IsUnavailable(time.Now(), i.store.Patience()) }

// probe finds out that the store is back after it was away.
func (i *Instance) probe() {
	for sleep(i.ctx, probeInterval) {
		if !i.storeAway() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(i.ctx, probeTimeout)
			defer cancel()
			i.reached(i.store.Ping(ctx))
		}()
	}
}

// reached notes the outcome of a call to the store. One that was given up because
// another was faster tells nothing.
func (i *Instance) reached(err error) {
	if i.ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	answered := err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrGone)
	if !i.storeHealth.Observe(time.Now(), answered) {
		return
	}
	if answered {
		logevent.StoreReached.Log(i.log)
	} else {
		logevent.StoreLost.Log(i.log, failure(err))
	}
}

// failure is a log field with an error's message, without its stack.
func failure(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
