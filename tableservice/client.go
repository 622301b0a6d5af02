package tableservice

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/platformv1/platformv1connect"
)

const (
	// effectGoroutines is the number of goroutines that carry out effects. A
	// partition has at most one effect outstanding, so it bounds the number of
	// partitions whose calls overlap.
	effectGoroutines = 16
	// pingTimeout is the idle time after which an HTTP/2 ping is sent, and the
	// timeout of its answer. Pings detect a connection whose other end is gone
	// without a reset.
	pingTimeout = 2 * time.Second
	// readBreakerTimeout limits how long a read of the table waits for the
	// circuit breaker.
	readBreakerTimeout = 2 * time.Second
)

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	options    Options
	log        *zap.Logger
	metrics    *clientMetrics
	breaker    circuitBreaker
	transport  *http.Transport
	table      platformv1connect.TableServiceClient
	objects    platformv1connect.ObjectServiceClient
	instances  platformv1connect.InstanceServiceClient
	putLimiter rateLimiter
	getLimiter rateLimiter
	locations  locationCache
	journals   journalCache
	documents  documentCache
	effects    *effectQueue

	tokenSalt    string // makes the tokens of this client unique
	tokenCounter atomic.Uint64

	context     context.Context // cancelled when Close is done or its context ends
	cancel      context.CancelFunc
	pollContext context.Context // cancelled when Close begins
	stopPolling context.CancelFunc
	goroutines  sync.WaitGroup
}

// logAvailability logs that the platform started or stopped failing.
func (c *Client) logAvailability(failing bool) {
	if failing {
		logevent.StoreUnavailable.Log(c.log)
		return
	}
	logevent.StoreAvailable.Log(c.log)
}

// New returns a client and starts its goroutines, which run until Close.
func New(o Options) *Client {
	o = o.withDefaults()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: o.Dial,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
	}
	httpClient := &http.Client{Transport: transport}
	url := "http://" + o.Address.String()
	ctx, cancel := context.WithCancel(context.Background())
	pollContext, stopPolling := context.WithCancel(ctx)
	c := &Client{
		options:     o,
		log:         o.Log,
		metrics:     newClientMetrics(o.Metrics),
		transport:   transport,
		table:       platformv1connect.NewTableServiceClient(httpClient, url),
		objects:     platformv1connect.NewObjectServiceClient(httpClient, url),
		instances:   platformv1connect.NewInstanceServiceClient(httpClient, url),
		putLimiter:  rateLimiter{perSecond: o.ObjectWritesPerSecond},
		getLimiter:  rateLimiter{perSecond: o.ObjectReadsPerSecond},
		effects:     newEffectQueue(),
		tokenSalt:   strconv.FormatUint(rand.Uint64(), 36),
		context:     ctx,
		cancel:      cancel,
		pollContext: pollContext,
		stopPolling: stopPolling,
	}
	c.journals.byPartition = make(map[model.Partition]storedJournal)
	c.breaker.onChange = c.logAvailability
	for range effectGoroutines {
		c.goroutines.Go(func() {
			for apply, ok := c.effects.take(); ok; apply, ok = c.effects.take() {
				apply()
			}
		})
	}
	c.goroutines.Go(func() { c.runPeriodically(o.ListIntervalMilliseconds, c.newListPoller()) })
	c.goroutines.Go(func() { c.runPeriodically(o.HeadIntervalMilliseconds, c.pollDocumentHead) })
	return c
}

// Apply queues an effect and returns true if it is a LoadJournal, CommitJournal
// or CompactJournal, or a FetchDocument without a peer. It returns false for all
// others. It never blocks; results are posted as events.
func (c *Client) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.LoadJournal:
		c.effects.put(func() { c.loadJournal(e) })
	case event.CommitJournal:
		c.effects.put(func() { c.commitJournal(e) })
	case event.CompactJournal:
		c.effects.put(func() { c.compactJournal(e) })
	case event.FetchDocument:
		if e.Peer != "" {
			return false
		}
		c.effects.put(func() { c.fetchDocument(e.Revision) })
	default:
		return false
	}
	return true
}

// Close stops polling, waits for queued and running effects until ctx ends, and
// closes the connections. Results of effects that are cut off by the end of ctx
// are not posted. The error is that of ctx if it ended first.
func (c *Client) Close(ctx context.Context) error {
	c.stopPolling()
	c.effects.close()
	finished := make(chan struct{})
	go func() {
		c.goroutines.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = ctx.Err()
	}
	c.cancel()
	<-finished
	c.transport.CloseIdleConnections()
	return err
}

// runPeriodically runs f at once and then at an interval until Close.
func (c *Client) runPeriodically(intervalMilliseconds int64, f func(context.Context)) {
	ticker := time.NewTicker(time.Duration(intervalMilliseconds) * time.Millisecond)
	defer ticker.Stop()
	for {
		f(c.pollContext)
		select {
		case <-ticker.C:
		case <-c.pollContext.Done():
			return
		}
	}
}

// post posts an event unless the client is closed.
func (c *Client) post(e event.Event) {
	if c.context.Err() == nil {
		c.options.Post(e)
	}
}
