// Package link connects a leader with the other instances. The leader opens one
// WebSocket connection to each of them; messages are encoded in CBOR.
//
// Queued messages are sent together in one frame. A side that has nothing to send
// sends an empty frame as a heartbeat, and closes a connection on which nothing
// arrives for heartbeatTimeout. Connections to instances that are unlikely to succeed
// the leader use longer intervals and timeouts, so that heartbeats cost little in a
// large fleet.
//
// Anyone may open a connection to an instance. Until its hello, a connection may send
// small frames only, and the decoded form of each frame is bounded.
//
// # Usage
//
//	c, err := link.Dial(ctx, address, onMessage, onClosed)
//	c.Send(link.Message{Kind: link.KindHello, Shard: shard, Name: self, Token: token})
package link

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/backlog"
	"fuchsiacross/intake"
	"fuchsiacross/job"
	"fuchsiacross/share"
)

const (
	heartbeatInterval     = 250 * time.Millisecond
	heartbeatTimeout      = 1100 * time.Millisecond // a connection that receives nothing for this long is closed; four heartbeats
	extendedTimeoutFactor = 5                       // multiplies both of the above; see Conn.ExtendTimeouts
	dialTimeout           = time.Second
	maxQueuedMessages     = 2048
	maxFrameBytes         = 8 << 20
	maxStrangerFrameBytes = 64 << 10 // of a connection that was accepted and has not sent its hello
	maxFrameMessages      = 256
	writeTimeout          = time.Second
	handshakeTimeout      = 2 * time.Second
)

// Path is the HTTP path at which an instance accepts connections of leaders.
const Path = "/link"

// Kind determines what a message means and which of its fields are set.
type Kind int

// The kinds of messages, each with its sender.
const (
	KindHello                    Kind = iota + 1 // leader: its name, shard and token; the first message
	KindWelcome                                  // instance: its name; answers a hello
	KindJobStored                                // instance: a job that it has stored; Known if in its main home
	KindCancellationStored                       // instance: a cancellation that it has stored
	KindStatusRequest                            // instance: requests a job's state
	KindStatusResponse                           // leader: the state, if Known
	KindQueueLengthRequest                       // instance: requests a queue's length
	KindQueueLengthResponse                      // leader: the length in Count, if Known
	KindAdviceRequest                            // leader: requests advice
	KindAdviceResponse                           // instance: the tickets or an error
	KindStoreJobRequest                          // instance: requests that the leader stores a job
	KindStoreCancellationRequest                 // instance: requests that the leader stores a cancellation
	KindStoreResponse                            // leader: the outcome of such a request
	KindLeadershipConfirmed                      // leader: the store has confirmed the leadership; Count is the receiver's rank as a successor
	KindJobOffered                               // instance: a job that it is about to store
	KindLeadershipReleased                       // leader: it has released the leadership; Known if the receiver is the successor
	KindProcessorShare                           // instance: how much it can lead
	KindConfigurationRequest                     // requests a configuration that is newer than Version
	KindConfigurationResponse                    // the version that the sender has, in Data if newer; Known if the store has confirmed it
	KindAdmission                                // leader: the tenants whose jobs beyond their share are to be refused
	KindBacklog                                  // leader: the queues of which no jobs are to be accepted, since it has no memory for more
	KindStoredStateRequest                       // instance: requests that the leader reads a job's state from the store; answered with a KindStatusResponse, Known if the store tells
)

// Message is a message between a leader and an instance. Its kind determines which
// fields are set.
type Message struct {
	Kind           Kind
	Number         int64 // of a request; its response repeats it
	Name           string
	Shard          int // of a KindHello, KindLeadershipConfirmed or KindLeadershipReleased
	Token          int64
	Job            job.ID
	Queue          string
	State          job.State
	Known          bool
	Count          int64
	Data           []byte // an encoded job; of a KindConfigurationResponse, the row without keys
	Step           job.StepID
	Workers        []job.WorkerID
	Tickets        []job.Ticket
	Error          string
	Outcome        job.Outcome       // of a KindStoreResponse
	LeaderCapacity float64           // share of a full shard's load that the instance can lead for the shard
	Version        int64             // of the row of a stored job, of the released leader row, or of a configuration
	WriteDuration  time.Duration     // of the leader's last write to the store; milliseconds on the wire
	Refusals       []share.Refusal   // of a KindAdmission; milliseconds on the wire
	QueueRefusals  []backlog.Refusal // of a KindBacklog; milliseconds on the wire
	Tenant         string            // of a request for a job's state or cancellation, or of a stored cancellation
}

type wireMessage struct {
	Kind              int                `cbor:"1,keyasint"`
	Number            int64              `cbor:"2,keyasint,omitempty"`
	Name              string             `cbor:"3,keyasint,omitempty"`
	Token             int64              `cbor:"4,keyasint,omitempty"`
	Job               string             `cbor:"6,keyasint,omitempty"`
	Queue             string             `cbor:"7,keyasint,omitempty"`
	State             string             `cbor:"8,keyasint,omitempty"`
	Known             bool               `cbor:"9,keyasint,omitempty"`
	Count             int64              `cbor:"10,keyasint,omitempty"`
	Data              []byte             `cbor:"11,keyasint,omitempty"`
	Occurrence        int64              `cbor:"12,keyasint,omitempty"`
	Step              int                `cbor:"13,keyasint,omitempty"`
	Workers           []string           `cbor:"14,keyasint,omitempty"`
	Tickets           [][2]string        `cbor:"15,keyasint,omitempty"`
	Error             string             `cbor:"16,keyasint,omitempty"`
	Outcome           string             `cbor:"17,keyasint,omitempty"`
	Version           int64              `cbor:"18,keyasint,omitempty"`
	LeaderCapacity    float64            `cbor:"19,keyasint,omitempty"`
	Shard             int                `cbor:"20,keyasint,omitempty"`
	WriteMilliseconds int64              `cbor:"21,keyasint,omitempty"`
	Tenant            string             `cbor:"22,keyasint,omitempty"`
	Refusals          []wireRefusal      `cbor:"30,keyasint,omitempty"`
	QueueRefusals     []wireQueueRefusal `cbor:"31,keyasint,omitempty"`
}

type wireQueueRefusal struct {
	Queue            string `cbor:"1,keyasint"`
	WaitMilliseconds int64  `cbor:"2,keyasint"`
}

type wireRefusal struct {
	Tenant           string `cbor:"1,keyasint"`
	WaitMilliseconds int64  `cbor:"2,keyasint"`
}

func toWire(m *Message) wireMessage {
	w := wireMessage{
		Kind: int(m.Kind), Number: m.Number, Name: m.Name, Shard: m.Shard, Token: m.Token,
		Job: string(m.Job), Queue: m.Queue, State: string(m.State), Known: m.Known, Count: m.Count,
		Data: m.Data, Occurrence: m.Step.Occurrence, Step: m.Step.Step, Error: m.Error, Outcome: string(m.Outcome), Version: m.Version, LeaderCapacity: m.LeaderCapacity, WriteMilliseconds: m.WriteDuration.Milliseconds(),
		Tenant: m.Tenant,
	}
	if m.Step.Job != "" {
		w.Job = string(m.Step.Job)
	}
	for _, id := range m.Workers {
		w.Workers = append(w.Workers, string(id))
	}
	for _, r := range m.Refusals {
		w.Refusals = append(w.Refusals, wireRefusal{r.Tenant, r.Wait.Milliseconds()})
	}
	for _, r := range m.QueueRefusals {
		w.QueueRefusals = append(w.QueueRefusals, wireQueueRefusal{r.Queue, r.Wait.Milliseconds()})
	}
	for _, t := range m.Tickets {
		w.Tickets = append(w.Tickets, [2]string{string(t.Worker), t.Value})
	}
	return w
}

func fromWire(w *wireMessage) Message {
	m := Message{
		Kind: Kind(w.Kind), Number: w.Number, Name: w.Name, Shard: w.Shard, Token: w.Token,
		Job: job.ID(w.Job), Queue: w.Queue, State: job.State(w.State), Known: w.Known, Count: w.Count,
		Data: w.Data, Step: job.StepID{Job: job.ID(w.Job), Occurrence: w.Occurrence, Step: w.Step},
		Error: w.Error, Outcome: job.Outcome(w.Outcome), Version: w.Version, LeaderCapacity: w.LeaderCapacity, WriteDuration: time.Duration(w.WriteMilliseconds) * time.Millisecond,
		Tenant: w.Tenant,
	}
	for _, id := range w.Workers {
		m.Workers = append(m.Workers, job.WorkerID(id))
	}
	for _, r := range w.Refusals {
		m.Refusals = append(m.Refusals, share.Refusal{Tenant: r.Tenant, Wait: time.Duration(r.WaitMilliseconds) * time.Millisecond})
	}
	for _, r := range w.QueueRefusals {
		m.QueueRefusals = append(m.QueueRefusals, backlog.Refusal{Queue: r.Queue, Wait: time.Duration(r.WaitMilliseconds) * time.Millisecond})
	}
	for _, t := range w.Tickets {
		m.Tickets = append(m.Tickets, job.Ticket{Worker: job.WorkerID(t[0]), Value: t[1]})
	}
	return m
}

// Conn is a connection between a leader and an instance. Its methods are safe for
// concurrent use.
type Conn struct {
	socket           *websocket.Conn
	queue            chan *Message // pointers, since the channel of each connection is allocated in full
	cancel           context.CancelFunc
	closeOnce        sync.Once
	onClosed         func(*Conn, error)
	timeoutsExtended atomic.Bool
	onHello          func() // nil for dialled connections; called for each hello
}

// Dial opens a connection to an instance. The connection calls onMessage for each
// message that arrives and onClosed once, both from its own goroutines.
func Dial(ctx context.Context, address netip.AddrPort, onMessage func(*Conn, Message), onClosed func(*Conn, error)) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, errors.Wrap(err, "dial instance")
	}
	return newConn(socket, maxFrameBytes, nil, onMessage, onClosed), nil
}

// Handler returns an HTTP handler that accepts connections. The connections call
// onMessage and onClosed as those of Dial do.
func Handler(onMessage func(*Conn, Message), onClosed func(*Conn, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{
			CompressionMode: websocket.CompressionDisabled, InsecureSkipVerify: true,
		})
		if err != nil {
			return
		}
		onHello := func() {
			socket.SetReadLimit(maxFrameBytes)
			intake.Establish(r.Context())
		}
		newConn(socket, maxStrangerFrameBytes, onHello, onMessage, onClosed)
	})
}

func newConn(socket *websocket.Conn, readLimit int64, onHello func(), onMessage func(*Conn, Message), onClosed func(*Conn, error)) *Conn {
	socket.SetReadLimit(readLimit)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{socket: socket, queue: make(chan *Message, maxQueuedMessages), cancel: cancel, onClosed: onClosed, onHello: onHello}
	go func() { c.close(c.readLoop(ctx, onMessage)) }()
	go func() { c.close(c.writeLoop(ctx)) }()
	return c
}

// Send queues a message. If the queue is full, because the peer does not read, it
// closes the connection instead.
func (c *Conn) Send(m Message) {
	select {
	case c.queue <- &m:
	default:
		c.close(errors.New("send queue full: the peer does not read"))
	}
}

// ExtendTimeouts lengthens this side's heartbeat interval and timeout. Both sides must
// call it: one before it sends a message, the other when that message arrives.
func (c *Conn) ExtendTimeouts() { c.timeoutsExtended.Store(true) }

// scaleTimeout returns d, multiplied by extendedTimeoutFactor if the timeouts are
// extended.
func (c *Conn) scaleTimeout(d time.Duration) time.Duration {
	if c.timeoutsExtended.Load() {
		return extendedTimeoutFactor * d
	}
	return d
}

// Close closes the connection without sending the queued messages.
func (c *Conn) Close() { c.close(errors.New("closed")) }

func (c *Conn) close(err error) {
	c.closeOnce.Do(func() {
		c.cancel()
		_ = c.socket.CloseNow()
		c.onClosed(c, err)
	})
}

func (c *Conn) readLoop(ctx context.Context, onMessage func(*Conn, Message)) error {
	for {
		readCtx, cancel := context.WithTimeout(ctx, c.scaleTimeout(heartbeatTimeout))
		_, data, err := c.socket.Read(readCtx)
		cancel()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		frame, err := decodeFrame(data)
		if err != nil {
			return errors.Wrap(err, "decode frame")
		}
		for i := range frame {
			if Kind(frame[i].Kind) == KindHello && c.onHello != nil {
				c.onHello()
			}
			onMessage(c, fromWire(&frame[i]))
		}
	}
}

func (c *Conn) writeLoop(ctx context.Context) error {
	heartbeatTimer := time.NewTimer(heartbeatInterval)
	defer heartbeatTimer.Stop()
	for {
		frame := []wireMessage{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.queue:
			frame = append(frame, toWire(m))
		case <-heartbeatTimer.C:
		}
	gather:
		for len(frame) < maxFrameMessages {
			select {
			case m := <-c.queue:
				frame = append(frame, toWire(m))
			default:
				break gather
			}
		}
		data, err := cbor.Marshal(frame)
		if err != nil {
			return errors.Wrap(err, "encode frame")
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err = c.socket.Write(writeCtx, websocket.MessageBinary, data)
		cancel()
		if err != nil {
			return errors.Wrap(err, "write")
		}
		heartbeatTimer.Reset(c.scaleTimeout(heartbeatInterval))
	}
}
