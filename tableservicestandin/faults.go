package tableservicestandin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/platformv1/platformv1connect"
)

// Faults are the faults that the platform simulates. The zero value is a healthy
// platform.
type Faults struct {
	Down                bool    // every call is answered with status 503
	StoreDown           bool    // calls of the table service and the object store are answered with status 503
	Hang                bool    // calls wait until the fault ends
	DelayMilliseconds   int64   // delay before each call is handled
	LoseAnswers         int     // number of next commits whose answer is lost after they were carried out; counts down
	LoseAnswerFraction  float64 // fraction of commits whose answer is lost after they were carried out
	DropRequests        int     // number of next commits that are lost before they are carried out; counts down
	RefuseFraction      float64 // fraction of calls that are answered with status 503
	ListLagMilliseconds int64   // age of the list of workers and instances that is served
	WritesPerSecond     int     // limit of table transactions and object writes; 0 for none
	ReadsPerSecond      int     // limit of reads; 0 for none
}

// faultInjector applies the faults to calls. A lost request or answer is simulated
// by aborting the HTTP handler, which closes the connection or, with HTTP/2, the
// stream.
type faultInjector struct {
	counter *counter

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed when the faults change
	done    chan struct{}
	closed  bool
}

func newFaultInjector(counts *counter) *faultInjector {
	return &faultInjector{counter: counts, changed: make(chan struct{}), done: make(chan struct{})}
}

// set replaces the faults and wakes hanging calls.
func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they are replaced.
func (i *faultInjector) get() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.changed
}

// close ends all hanging and delayed calls.
func (i *faultInjector) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.closed = true
		close(i.done)
	}
}

// wrapHandler counts each call and applies the faults that act before it is handled.
func (i *faultInjector) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.counter.countCall()
		if !i.waitWhileHanging(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		f, _ := i.get()
		store := !strings.HasPrefix(r.URL.Path, "/"+platformv1connect.InstanceServiceName+"/")
		if f.Down || f.StoreDown && store || rand.Float64() < f.RefuseFraction {
			i.counter.countRefused()
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		if f.DelayMilliseconds > 0 && !i.sleep(r.Context(), time.Duration(f.DelayMilliseconds)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// waitWhileHanging waits while the fault Hang is set. It returns false if the call
// is cancelled or the platform is closed meanwhile.
func (i *faultInjector) waitWhileHanging(ctx context.Context) bool {
	for {
		f, change := i.get()
		if !f.Hang {
			return true
		}
		select {
		case <-change:
		case <-ctx.Done():
			return false
		case <-i.done:
			return false
		}
	}
}

// sleep waits for d. It returns false if the call is cancelled or the platform is
// closed meanwhile.
func (i *faultInjector) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-i.done:
		return false
	}
}

// injectRequestLoss aborts a call before its commit takes effect while the fault
// DropRequests is set.
func (i *faultInjector) injectRequestLoss() {
	i.mu.Lock()
	drop := i.faults.DropRequests > 0
	if drop {
		i.faults.DropRequests--
	}
	i.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
}

// injectAnswerLoss aborts a call after its commit was carried out if the fault
// LoseAnswers or LoseAnswerFraction applies to it.
func (i *faultInjector) injectAnswerLoss() {
	i.mu.Lock()
	lose := i.faults.LoseAnswers > 0 || rand.Float64() < i.faults.LoseAnswerFraction
	if i.faults.LoseAnswers > 0 {
		i.faults.LoseAnswers--
	}
	i.mu.Unlock()
	if lose {
		i.counter.countLostAnswer()
		panic(http.ErrAbortHandler)
	}
}

// admitRead counts a read, or returns an error with code ResourceExhausted if the
// read is above the limit.
func (i *faultInjector) admitRead() error {
	f, _ := i.get()
	if !i.counter.countRead(f.ReadsPerSecond) {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("reads are above the limit"))
	}
	return nil
}

// admitWrite counts a write of rows, or returns an error with code
// ResourceExhausted if the write is above the limit. For objects, rows is 0.
func (i *faultInjector) admitWrite(rows int) error {
	f, _ := i.get()
	if !i.counter.countWrite(rows, f.WritesPerSecond) {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("writes are above the limit"))
	}
	return nil
}
