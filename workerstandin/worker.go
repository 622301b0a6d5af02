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
	// worker still accepts starts. The design requires 2 s.
	leaveGraceMilliseconds = 2000
	// termsPerIncarnation is the number of terms reserved for each incarnation.
	// A worker that has lost its state thus still refuses commands that were
	// sent under terms of an earlier incarnation.
	termsPerIncarnation = 1 << 24
	// minCompressBytes is the size from which responses may be compressed.
	minCompressBytes = 1024
)

// Worker is a stand-in for a worker and its runner. It is safe for concurrent use.
type Worker struct {
	options  Options
	recorder *Recorder
	listener *listener
	server   *http.Server
	done     chan struct{} // closed by Close

	mu                sync.Mutex
	faults            Faults
	resume            chan struct{} // closed while the worker is not paused
	closed            bool
	incarnation       model.Incarnation
	term              model.Term // of the last grant; before the first grant, the base value of the incarnation
	leaseGranted      bool       // in this incarnation, and not released
	holder            model.InstanceID
	holderIncarnation model.Incarnation
	leaseExpiry       time.Time
	revision          model.Revision
	currentSession    *session
	tasks             map[model.Attempt]*task  // running, and ended but not acknowledged
	tombstones        map[model.Attempt]string // attempts that are blocked from starting, with the reason
	attemptsByTag     map[termKey]model.Attempt
	profiles          map[termKey]*workerv1.Start // with only the fields that a profile replaces
	reserved          model.Resources
	sampledUsage      []*workerv1.TaskUsage // content of the next usage report
	leaveAnnouncedAt  time.Time             // zero if the worker is not leaving
	leaveDeadline     time.Time
}

// New starts a worker that listens on its address. It returns an error if it
// cannot listen there.
func New(o Options) (*Worker, error) {
	o = o.withDefaults()
	inner, err := net.Listen("tcp", o.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for sessions")
	}
	w := &Worker{
		options:       o,
		recorder:      o.Recorder,
		listener:      newListener(inner, o.MaxConnections),
		done:          make(chan struct{}),
		resume:        make(chan struct{}),
		tasks:         map[model.Attempt]*task{},
		tombstones:    map[model.Attempt]string{},
		attemptsByTag: map[termKey]model.Attempt{},
		profiles:      map[termKey]*workerv1.Start{},
	}
	close(w.resume)
	w.beginIncarnation(o.Incarnation)
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

// protocols enables unencrypted HTTP/2 for schedulers and HTTP/1 for scripts.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	path, service := workerv1connect.NewWorkerServiceHandler(&service{w}, connect.WithCompressMinBytes(minCompressBytes))
	mux.Handle(path, omitDateHeader(service))
	w.registerControl(mux)
	return mux
}

// omitDateHeader leaves out the Date header, which no client of a worker reads.
func omitDateHeader(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header()["Date"] = nil
		next.ServeHTTP(rw, r)
	})
}

// Address returns the address that the worker listens on.
func (w *Worker) Address() netip.AddrPort {
	return netip.MustParseAddrPort(w.listener.Addr().String())
}

// Info returns the worker as the platform lists it.
func (w *Worker) Info() model.Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return model.Worker{
		ID:         w.options.ID,
		Address:    w.Address(),
		DataCentre: w.options.DataCentre,
		Rack:       w.options.Rack,
		Leaving:    !w.leaveAnnouncedAt.IsZero(),
	}
}

// Close stops the worker and its tasks and closes its connections. Further calls do
// nothing.
func (w *Worker) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.abortTasks()
	close(w.done)
	w.mu.Unlock()
	_ = w.server.Close()
	w.listener.closeAllConnections()
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
		w.listener.closeAllConnections()
	}
}

// Leave announces to the holder that the worker leaves at the deadline. The worker
// accepts starts for a grace period of 2 s after the announcement.
func (w *Worker) Leave(deadline time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaveAnnouncedAt = time.Now()
	w.leaveDeadline = deadline
	w.recordEntry(Entry{Kind: EntryLeaving})
	if w.currentSession != nil {
		leaving := &workerv1.Leaving{Deadline: timestamppb.New(deadline)}
		w.currentSession.enqueue(&workerv1.Report{Report: &workerv1.Report_Leaving{Leaving: leaving}})
	}
}

// Crash simulates a crash and restart: the worker loses its state, closes its
// connections and begins the next incarnation.
func (w *Worker) Crash() {
	w.mu.Lock()
	w.recordEntry(Entry{Kind: EntryCrashed})
	w.abortTasks()
	w.tasks = map[model.Attempt]*task{}
	w.tombstones = map[model.Attempt]string{}
	w.reserved = model.Resources{}
	w.leaveAnnouncedAt = time.Time{}
	w.revision = 0
	if w.currentSession != nil {
		w.currentSession.end()
	}
	w.currentSession = nil
	w.beginIncarnation(w.incarnation + 1)
	w.mu.Unlock()
	w.listener.closeAllConnections()
}

// beginIncarnation begins an incarnation without a lease.
func (w *Worker) beginIncarnation(incarnation model.Incarnation) {
	w.incarnation = incarnation
	w.term = model.Term(incarnation-1) * termsPerIncarnation
	w.leaseGranted = false
	w.holder = ""
	w.leaseExpiry = time.Time{}
}

// abortTasks ends the running tasks without a result. The caller holds the lock.
func (w *Worker) abortTasks() {
	for _, t := range w.tasks {
		if t.state == workerv1.TaskState_TASK_STATE_RUNNING {
			t.state = workerv1.TaskState_TASK_STATE_UNSPECIFIED
			t.cancel()
			w.recordTaskEnd(t, EntryStopped, "lost with the worker")
			close(t.done)
		}
	}
}

// waitWhilePaused waits until the worker is not paused or is closed.
func (w *Worker) waitWhilePaused() {
	w.mu.Lock()
	resume := w.resume
	w.mu.Unlock()
	select {
	case <-resume:
	case <-w.done:
	}
}

// answerDelay returns the delay of answers that the faults set.
func (w *Worker) answerDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.faults.AnswerDelayMilliseconds) * time.Millisecond
}

// recordEntry records an entry with the current holder, and with the current term
// unless the entry has one. The caller holds the lock.
func (w *Worker) recordEntry(e Entry) {
	e.At = time.Now()
	e.Worker = w.options.ID
	e.Holder = w.holder
	if e.Term == 0 {
		e.Term = w.term
	}
	w.recorder.addEntry(e)
}

// recordViolation records that a start breaks a rule.
func (w *Worker) recordViolation(rule Rule, a model.Attempt, format string, args ...any) {
	w.recorder.addViolation(Violation{
		At: time.Now(), Rule: rule, Worker: w.options.ID, Attempt: a, Detail: fmt.Sprintf(format, args...),
	})
}
