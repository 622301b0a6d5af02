// Package link connects a leader with the other instances: one WebSocket connection
// to each, opened by the leader, with messages in CBOR.
//
// Messages that wait are sent together in one frame. Both sides send an empty
// frame when they have been silent for a while, and give up a connection on
// which nothing arrives. Instances that are not likely to succeed the leader relax
// their connections, so that those of a large fleet cost little.
//
// # Usage
//
//	c, err := link.Dial(ctx, address, receive, closed)
//	c.Send(link.Message{Kind: link.KindStatus, Number: 1, Job: id})
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

	"fuchsiacross/job"
)

const (
	beatInterval   = 250 * time.Millisecond
	silence        = 1100 * time.Millisecond // after which a connection is given up; four beats
	relaxedFactor  = 5                       // by which both are longer on a relaxed connection
	dialTimeout    = time.Second
	queueLength    = 2048
	maxFrameBytes  = 8 << 20
	frameMessages  = 256
	writeTimeout   = time.Second
	handshakeLimit = 2 * time.Second
)

// Path is where an instance accepts the leader's connection.
const Path = "/link"

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	KindHello                    Kind = iota + 1 // leader: its name, shard and token
	KindWelcome                                  // instance: its name
	KindJobStored                                // instance: a stored job
	KindCancellationStored                       // instance: a stored cancellation
	KindStatusRequest                            // instance: asks for a job's state
	KindStatusResponse                           // leader
	KindQueueLengthRequest                       // instance: asks for a queue's length
	KindQueueLengthResponse                      // leader
	KindAdviceRequest                            // leader: asks for advice
	KindAdviceResponse                           // instance
	KindStoreJobRequest                          // instance: asks the leader to store a job
	KindStoreCancellationRequest                 // instance: asks the leader to store a cancellation
	KindStoreResponse                            // leader: the outcome of either
	KindLeadershipConfirmed                      // leader: the store has confirmed the leadership
	KindJobOffered                               // instance: a job that it is storing
	KindLeadershipReleased                       // leader: it has given the leadership up; Known names the successor
	KindProcessorShare                           // instance: the processor time that it has now
)

// Message is a message between the leader and an instance.
type Message struct {
	Kind           Kind
	Number         int64 // of a question, repeated by its answer
	Name           string
	Shard          int // of a hello, a confirmation or a release
	Token          int64
	Job            job.ID
	Queue          string
	State          job.State
	Known          bool
	Count          int64
	Data           []byte // a stored job
	Step           job.StepID
	Workers        []job.WorkerID
	Tickets        []job.Ticket
	Error          string
	Outcome        job.Outcome   // of a KindStored
	ProcessorShare float64       // of a processor
	Version        int64         // of the row of a stored job, or of the released leadership
	WriteDuration  time.Duration // of the leader's last write to the store, in milliseconds on the wire
}

type wireMessage struct {
	Kind       int         `cbor:"1,keyasint"`
	Number     int64       `cbor:"2,keyasint,omitempty"`
	Name       string      `cbor:"3,keyasint,omitempty"`
	Token      int64       `cbor:"4,keyasint,omitempty"`
	Job        string      `cbor:"6,keyasint,omitempty"`
	Queue      string      `cbor:"7,keyasint,omitempty"`
	State      string      `cbor:"8,keyasint,omitempty"`
	Known      bool        `cbor:"9,keyasint,omitempty"`
	Count      int64       `cbor:"10,keyasint,omitempty"`
	Data       []byte      `cbor:"11,keyasint,omitempty"`
	Occurrence int64       `cbor:"12,keyasint,omitempty"`
	Step       int         `cbor:"13,keyasint,omitempty"`
	Workers    []string    `cbor:"14,keyasint,omitempty"`
	Tickets    [][2]string `cbor:"15,keyasint,omitempty"`
	Error      string      `cbor:"16,keyasint,omitempty"`
	Outcome    string      `cbor:"17,keyasint,omitempty"`
	Version    int64       `cbor:"18,keyasint,omitempty"`
	Share      float64     `cbor:"19,keyasint,omitempty"`
	Shard      int         `cbor:"20,keyasint,omitempty"`
	Took       int64       `cbor:"21,keyasint,omitempty"` // milliseconds
}

func toWire(m *Message) wireMessage {
	w := wireMessage{
		Kind: int(m.Kind), Number: m.Number, Name: m.Name, Shard: m.Shard, Token: m.Token,
		Job: string(m.Job), Queue: m.Queue, State: string(m.State), Known: m.Known, Count: m.Count,
		Data: m.Data, Occurrence: m.Step.Occurrence, Step: m.Step.Step, Error: m.Error, Outcome: string(m.Outcome), Version: m.Version, Share: m.ProcessorShare, Took: m.WriteDuration.Milliseconds(),
	}
	if m.Step.Job != "" {
		w.Job = string(m.Step.Job)
	}
	for _, id := range m.Workers {
		w.Workers = append(w.Workers, string(id))
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
		Error: w.Error, Outcome: job.Outcome(w.Outcome), Version: w.Version, ProcessorShare: w.Share, WriteDuration: time.Duration(w.Took) * time.Millisecond,
	}
	for _, id := range w.Workers {
		m.Workers = append(m.Workers, job.WorkerID(id))
	}
	for _, t := range w.Tickets {
		m.Tickets = append(m.Tickets, job.Ticket{Worker: job.WorkerID(t[0]), Value: t[1]})
	}
	return m
}

// Conn is one connection. Its methods are safe for concurrent use.
type Conn struct {
	socket  *websocket.Conn
	queue   chan Message
	cancel  context.CancelFunc
	once    sync.Once
	closed  func(*Conn, error)
	relaxed atomic.Bool
}

// Dial opens a connection. The functions are called from the connection's own
// goroutines; closed is called once.
func Dial(ctx context.Context, address netip.AddrPort, receive func(*Conn, Message), closed func(*Conn, error)) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, _, err := websocket.Dial(ctx, "ws://"+address.String()+Path, &websocket.DialOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, errors.Wrap(err, "dial instance")
	}
	return newConn(socket, receive, closed), nil
}

// Handler accepts connections.
func Handler(receive func(*Conn, Message), closed func(*Conn, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{
			CompressionMode: websocket.CompressionDisabled, InsecureSkipVerify: true,
		})
		if err != nil {
			return
		}
		newConn(socket, receive, closed)
	})
}

func newConn(socket *websocket.Conn, receive func(*Conn, Message), closed func(*Conn, error)) *Conn {
	socket.SetReadLimit(maxFrameBytes)
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{socket: socket, queue: make(chan Message, queueLength), cancel: cancel, closed: closed}
	go func() { c.close(c.readAll(ctx, receive)) }()
	go func() { c.close(c.writeAll(ctx)) }()
	return c
}

// Send queues a message. A connection whose peer does not read is given up.
func (c *Conn) Send(m Message) {
	select {
	case c.queue <- m:
	default:
		c.close(errors.New("the peer does not read"))
	}
}

// Relax makes this side wait longer for its peer and let it wait longer. The side that
// calls it first tells the other one, which relaxes the connection, too.
func (c *Conn) ExtendTimeouts() { c.relaxed.Store(true) }

// scaled lengthens a span on a relaxed connection.
func (c *Conn) scaled(span time.Duration) time.Duration {
	if c.relaxed.Load() {
		return relaxedFactor * span
	}
	return span
}

// Close ends the connection.
func (c *Conn) Close() { c.close(errors.New("closed")) }

func (c *Conn) close(err error) {
	c.once.Do(func() {
		c.cancel()
		_ = c.socket.CloseNow()
		c.closed(c, err)
	})
}

func (c *Conn) readAll(ctx context.Context, receive func(*Conn, Message)) error {
	for {
		read, cancel := context.WithTimeout(ctx, c.scaled(silence))
		_, text, err := c.socket.Read(read)
		cancel()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		var frame []wireMessage
		if err := cbor.Unmarshal(text, &frame); err != nil {
			return errors.Wrap(err, "decode frame")
		}
		for i := range frame {
			receive(c, fromWire(&frame[i]))
		}
	}
}

func (c *Conn) writeAll(ctx context.Context) error {
	beat := time.NewTimer(beatInterval)
	defer beat.Stop()
	for {
		frame := []wireMessage{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-c.queue:
			frame = append(frame, toWire(&m))
		case <-beat.C:
		}
	gather:
		for len(frame) < frameMessages {
			select {
			case m := <-c.queue:
				frame = append(frame, toWire(&m))
			default:
				break gather
			}
		}
		text, err := cbor.Marshal(frame)
		if err != nil {
			return errors.Wrap(err, "encode frame")
		}
		write, cancel := context.WithTimeout(ctx, writeTimeout)
		err = c.socket.Write(write, websocket.MessageBinary, text)
		cancel()
		if err != nil {
			return errors.Wrap(err, "write")
		}
		beat.Reset(c.scaled(beatInterval))
	}
}
