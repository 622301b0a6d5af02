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
	// workers is the number of goroutines that carry out effects. A partition
	// has at most one effect outstanding, so it bounds the partitions whose
	// calls overlap.
	workers = 16
	// pingTime finds a connection whose other end is gone without a reset.
	pingTime = 2 * time.Second
	// readPatience bounds the wait of a read at the gate.
	readPatience = 2 * time.Second
)

// Client is the adapter to the platform. It is safe for concurrent use.
type Client struct {
	options   Options
	log       *zap.Logger
	meter     *meter
	gate      gate
	transport *http.Transport
	table     platformv1connect.TableServiceClient
	objects   platformv1connect.ObjectServiceClient
	instances platformv1connect.InstanceServiceClient
	puts      limiter
	gets      limiter
	known     knownObjects
	journals  journals
	documents documents
	queue     *queue

	salt   string // of tokens
	tokens atomic.Uint64

	context  context.Context // ends when Close gives up
	cancel   context.CancelFunc
	polling  context.Context // ends when Close begins
	stopPoll context.CancelFunc
	wait     sync.WaitGroup
}

// logGate logs that the platform began or ceased to fail.
func (c *Client) logGate(failing bool) {
	if failing {
		logevent.StoreUnavailable.Log(c.log)
		return
	}
	logevent.StoreAvailable.Log(c.log)
}

// New starts a client.
func New(o Options) *Client {
	o = o.withDefaults()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: o.Dial,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingTime, PingTimeout: pingTime},
	}
	hc := &http.Client{Transport: transport}
	url := "http://" + o.Address.String()
	ctx, cancel := context.WithCancel(context.Background())
	polling, stopPoll := context.WithCancel(ctx)
	c := &Client{
		options:   o,
		log:       o.Log,
		meter:     newMeter(o.Metrics),
		transport: transport,
		table:     platformv1connect.NewTableServiceClient(hc, url),
		objects:   platformv1connect.NewObjectServiceClient(hc, url),
		instances: platformv1connect.NewInstanceServiceClient(hc, url),
		puts:      limiter{perSecond: o.ObjectWritesPerSecond},
		gets:      limiter{perSecond: o.ObjectReadsPerSecond},
		queue:     newQueue(),
		salt:      strconv.FormatUint(rand.Uint64(), 36),
		context:   ctx,
		cancel:    cancel,
		polling:   polling,
		stopPoll:  stopPoll,
	}
	c.journals.byPartition = make(map[model.Partition]storedJournal)
	c.gate.changed = c.logGate
	for range workers {
		c.wait.Go(func() {
			for task, ok := c.queue.take(); ok; task, ok = c.queue.take() {
				task()
			}
		})
	}
	c.wait.Go(func() { c.every(o.ListIntervalMilliseconds, c.listPoll()) })
	c.wait.Go(func() { c.every(o.HeadIntervalMilliseconds, c.pollHead) })
	return c
}

// Apply carries out LoadJournal, CommitJournal, CompactJournal and a
// FetchDocument without a peer. It returns false for other effects. It never
// blocks; answers are posted.
func (c *Client) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.LoadJournal:
		c.queue.put(func() { c.loadJournal(e) })
	case event.CommitJournal:
		c.queue.put(func() { c.commitJournal(e) })
	case event.CompactJournal:
		c.queue.put(func() { c.compactJournal(e) })
	case event.FetchDocument:
		if e.Peer != "" {
			return false
		}
		c.queue.put(func() { c.fetchDocument(e.Revision) })
	default:
		return false
	}
	return true
}

// Close stops polling, waits for the effects under way until ctx ends, and
// closes the connections. Effects cut off by ctx are not answered.
func (c *Client) Close(ctx context.Context) error {
	c.stopPoll()
	c.queue.close()
	finished := make(chan struct{})
	go func() {
		c.wait.Wait()
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

// every runs f at once and then at an interval until Close.
func (c *Client) every(milliseconds int64, f func(context.Context)) {
	ticker := time.NewTicker(time.Duration(milliseconds) * time.Millisecond)
	defer ticker.Stop()
	for {
		f(c.polling)
		select {
		case <-ticker.C:
		case <-c.polling.Done():
			return
		}
	}
}

// post posts an event unless the client has been closed.
func (c *Client) post(e event.Event) {
	if c.context.Err() == nil {
		c.options.Post(e)
	}
}
