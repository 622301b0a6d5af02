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

// Faults says how the platform misbehaves. The zero value is a sound platform.
type Faults struct {
	Down                bool    // every call is answered with status 503
	StoreDown           bool    // calls of the table and the object store are answered with status 503
	Hang                bool    // no call is answered until the fault ends
	DelayMilliseconds   int64   // delay of each call
	LoseAnswers         int     // the answers of the next commits that are lost after they took effect
	LoseAnswerFraction  float64 // share of commits whose answer is lost after they took effect
	DropRequests        int     // the next commits that are lost before they take effect
	RefuseShare         float64 // share of calls that are refused as unavailable
	ListLagMilliseconds int64   // age of the list that is served
	WritesPerSecond     int     // limit on writes; 0 for none
	ReadsPerSecond      int     // limit on reads; 0 for none
}

// injector applies the faults to calls.
type injector struct {
	counts *counter

	mu     sync.Mutex
	faults Faults
	change chan struct{} // closed when the faults change
	done   chan struct{}
	closed bool
}

func newInjector(counts *counter) *injector {
	return &injector{counts: counts, change: make(chan struct{}), done: make(chan struct{})}
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	close(i.change)
	i.change = make(chan struct{})
}

func (i *injector) get() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults, i.change
}

func (i *injector) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.closed {
		i.closed = true
		close(i.done)
	}
}

// wrap applies the faults that precede a call.
func (i *injector) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.counts.call()
		if !i.hang(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		f, _ := i.get()
		store := !strings.HasPrefix(r.URL.Path, "/"+platformv1connect.InstanceServiceName+"/")
		if f.Down || f.StoreDown && store || rand.Float64() < f.RefuseShare {
			i.counts.refused()
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		if f.DelayMilliseconds > 0 && !i.sleep(r.Context(), time.Duration(f.DelayMilliseconds)*time.Millisecond) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// hang waits until calls do not hang. It returns false when the caller is gone.
func (i *injector) hang(ctx context.Context) bool {
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

func (i *injector) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	case <-i.done:
		return false
	}
}

// dropRequest breaks the connection before a commit takes effect when the
// faults say so.
func (i *injector) dropRequest() {
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

// loseAnswer breaks the connection after a commit took effect when the faults
// say so.
func (i *injector) loseAnswer() {
	i.mu.Lock()
	lose := i.faults.LoseAnswers > 0 || rand.Float64() < i.faults.LoseAnswerFraction
	if i.faults.LoseAnswers > 0 {
		i.faults.LoseAnswers--
	}
	i.mu.Unlock()
	if lose {
		i.counts.lost()
		panic(http.ErrAbortHandler)
	}
}

// read counts a read and refuses it above the limit.
func (i *injector) read() error {
	f, _ := i.get()
	if !i.counts.read1(f.ReadsPerSecond) {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("reads are above the limit"))
	}
	return nil
}

// write counts a write of a number of rows and refuses it above the limit.
func (i *injector) write(rows int) error {
	f, _ := i.get()
	if !i.counts.write(rows, f.WritesPerSecond) {
		return connect.NewError(connect.CodeResourceExhausted, errors.New("writes are above the limit"))
	}
	return nil
}
