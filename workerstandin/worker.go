package workerstandin

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
	"fuchsiacross/workerv1/workerv1connect"
)

const (
	// leaveGraceMilliseconds is how long after its announcement a leaving
	// worker still takes starts; the target of the design page.
	leaveGraceMilliseconds = 2000
	// termsPerIncarnation keeps the terms of a worker's lives apart, so that a
	// worker that lost everything still refuses the commands of earlier holders.
	termsPerIncarnation = 1 << 24
	// compressMinBytes is the size from which answers may be compressed.
	compressMinBytes = 1024
)

// Worker is a stand-in worker.
type Worker struct {
	options  Options
	recorder *Recorder
	listener *listener
	server   *http.Server
	done     chan struct{}

	mu          sync.Mutex
	faults      Faults
	resume      chan struct{} // closed while the worker is not paused
	closed      bool
	incarnation model.Incarnation
	term        model.Term // of the last grant
	granted     bool       // in this incarnation
	holder      model.InstanceID
	life        model.Incarnation
	expiry      time.Time
	revision    model.Revision
	current     *session
	tasks       map[model.Attempt]*task  // running, and finished but not acknowledged
	tombstones  map[model.Attempt]string // attempts that never start, with the reason
	tags        map[shortKey]model.Attempt
	profiles    map[shortKey]*workerv1.Start // with only the fields that a profile stands for
	used        model.Resources
	sampled     []*workerv1.TaskUsage // what the next usage report says
	leavingAt   time.Time             // zero when the worker stays
	leaveBy     time.Time
}

// New starts a worker that listens on its address.
func New(o Options) (*Worker, error) {
	o = o.filled()
	inner, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for sessions")
	}
	w := &Worker{
		options:    o,
		recorder:   o.Recorder,
		listener:   newListener(inner, o.Connections),
		done:       make(chan struct{}),
		resume:     make(chan struct{}),
		tasks:      map[model.Attempt]*task{},
		tombstones: map[model.Attempt]string{},
		tags:       map[shortKey]model.Attempt{},
		profiles:   map[shortKey]*workerv1.Start{},
	}
	close(w.resume)
	w.begin(o.Incarnation)
	w.SetFaults(o.Faults)
	w.server = &http.Server{Handler: w.handler(), Protocols: protocols()}
	go func() { _ = w.server.Serve(w.listener) }()
	go func() {
		ticker := time.NewTicker(time.Duration(o.UsageIntervalMilliseconds) * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				w.reportUsage()
			case <-w.done:
				return
			}
		}
	}()
	return w, nil
}

// protocols serves HTTP/2 to schedulers and HTTP/1 to scripts.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	path, service := workerv1connect.NewWorkerServiceHandler(&service{w}, connect.WithCompressMinBytes(compressMinBytes))
	mux.Handle(path, withoutDate(service))
	w.serveControl(mux)
	return mux
}

// withoutDate leaves out the date header, which no client of a worker reads.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header()["Date"] = nil
		next.ServeHTTP(rw, r)
	})
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() netip.AddrPort {
	return netip.MustParseAddrPort(w.listener.Addr().String())
}

// Info returns the worker as the platform's list would name it.
func (w *Worker) Info() model.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.Worker{
		ID:         w.options.ID,
		Address:    w.Address(),
		DataCentre: w.options.DataCentre,
		Rack:       w.options.Rack,
		Leaving:    !w.leavingAt.IsZero(),
	}
}

// Close stops the worker and its tasks. It may be called again.
func (w *Worker) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.abandonTasks()
	close(w.done)
	w.mu.Unlock()
	_ = w.server.Close()
	w.listener.cutAll()
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	if f.Paused != w.faults.Paused {
		if f.Paused {
			w.resume = make(chan struct{})
		} else {
			close(w.resume)
		}
	}
	w.faults = f
	w.mu.Unlock()
	w.listener.setRefusing(f.Unreachable)
	if f.Unreachable {
		w.listener.cutAll()
	}
}

// Leave announces that the worker leaves at the deadline. After a grace of 2 s
// it takes no more starts.
func (w *Worker) Leave(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leavingAt = time.Now()
	w.leaveBy = deadline
	w.record(Entry{Kind: EntryLeaving})
	if w.current != nil {
		leaving := &workerv1.Leaving{Deadline: timestamppb.New(deadline)}
		w.current.send(&workerv1.Report{Report: &workerv1.Report_Leaving{Leaving: leaving}})
	}
}

// Crash loses everything that the worker holds, cuts its connections and
// begins the next incarnation.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.record(Entry{Kind: EntryCrashed})
	w.abandonTasks()
	w.tasks = map[model.Attempt]*task{}
	w.tombstones = map[model.Attempt]string{}
	w.used = model.Resources{}
	w.leavingAt = time.Time{}
	w.revision = 0
	if w.current != nil {
		w.current.end()
	}
	w.current = nil
	w.begin(w.incarnation + 1)
	w.mu.Unlock()
	w.listener.cutAll()
}

// begin starts a life in which no lease has been granted.
func (w *Worker) begin(incarnation model.Incarnation) {
	w.incarnation = incarnation
	w.term = model.Term(incarnation-1) * termsPerIncarnation
	w.granted = false
	w.holder = ""
	w.expiry = time.Time{}
}

// abandonTasks ends the running tasks without a result.
func (w *Worker) abandonTasks() {
	for _, t := range w.tasks {
		if t.state == workerv1.TaskState_TASK_STATE_RUNNING {
			t.state = workerv1.TaskState_TASK_STATE_UNSPECIFIED
			t.cancel()
			w.recordEnd(t, EntryStopped, "lost with the worker")
			close(t.done)
		}
	}
}

// waitWhilePaused returns when the worker is not paused or has closed.
func (w *Worker) waitWhilePaused() {
	w.mu.Lock()
	resume := w.resume
	w.mu.Unlock()
	select {
	case <-resume:
	case <-w.done:
	}
}

// delay returns how long answers wait.
func (w *Worker) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.faults.AnswerDelayMilliseconds) * time.Millisecond
}

// record adds an entry with the worker's current lease.
func (w *Worker) record(e Entry) {
	e.At = time.Now()
	e.Worker = w.options.ID
	e.Holder = w.holder
	if e.Term == 0 {
		e.Term = w.term
	}
	w.recorder.add(e)
}

func (w *Worker) violation(rule Rule, a model.Attempt, format string, args ...any) {
	w.recorder.violation(Violation{
		At: time.Now(), Rule: rule, Worker: w.options.ID, Attempt: a, Detail: fmt.Sprintf(format, args...),
	})
}
