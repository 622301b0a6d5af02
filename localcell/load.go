package localcell

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"fuchsiacross/callerv1"
	"fuchsiacross/model"
)

// Load says what Run sends.
type Load struct {
	End      time.Time
	Rate     float64 // requests a second over all kinds
	Seed     uint64
	Progress func(sent int, left time.Duration) // nil for none
}

// KindReport says what became of the requests of one kind.
type KindReport struct {
	Kind      string
	Submitted int
	Done      int
	Failed    int
	NotRun    int
	Unknown   int
	Cancelled int
	Errors    int           // calls that ended without an outcome
	Damaged   int           // answers that are not the whole answer of their own request
	P50, P99  time.Duration // from the call to the answer
	Faults    []Fault       // what the counts of errors and unknown outcomes stand for
}

// Fault is a request without an outcome that stands.
type Fault struct {
	Request string
	Error   error  // of the last call, or nil
	Reason  string // of the outcome
}

// Report is the result of Run.
type Report struct {
	Kinds       []KindReport
	MeanPacking float64 // mean dominant share of the workers' capacity that was reserved
	PeakPacking float64 // highest such share that was seen
	Violations  int
}

// Good reports whether every caller got the whole answer to its own request and
// no worker recorded a violation.
func (r Report) Passed() bool {
	for _, k := range r.Kinds {
		if k.Damaged > 0 || k.Errors > 0 || k.Unknown > 0 {
			return false
		}
	}
	return r.Violations == 0
}

type tally struct {
	mu      sync.Mutex
	report  KindReport
	samples []time.Duration
}

// progressInterval is the time between two reports of progress.
const progressInterval = 200 * time.Millisecond

// Run sends requests of every kind through all instances until the load ends,
// and waits for the answers.
func (c *Cell) RunLoad(ctx context.Context, l Load) Report {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	kinds := c.o.Deployment.Kinds
	tallies := make([]tally, len(kinds))
	for i := range kinds {
		tallies[i].report.Kind = kinds[i].Name
	}
	watch := c.watchPacking(ctx)
	var calls sync.WaitGroup
	next := time.Now()
	reported := next
	for sent := 0; next.Before(l.End) && ctx.Err() == nil; sent++ {
		// Every kind is sent at least once, whatever its share.
		i := sent
		if i >= len(kinds) {
			i = pick(kinds, random.Float64())
		}
		first := random.IntN(len(c.entries))
		id := fmt.Sprintf("%s-%d-%06d", kinds[i].Name, l.Seed, sent)
		calls.Go(func() { c.call(ctx, first, kinds[i], id, &tallies[i]) })
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		if now := time.Now(); l.Progress != nil && now.Sub(reported) > progressInterval {
			reported = now
			l.Progress(sent, time.Until(l.End))
		}
	}
	calls.Wait()
	var r Report
	r.MeanPacking, r.PeakPacking = watch.end()
	for i := range tallies {
		r.Kinds = append(r.Kinds, tallies[i].finish())
	}
	r.Violations = len(c.recorder.Violations())
	return r
}

func pick(kinds []Kind, x float64) int {
	for i, k := range kinds {
		x -= k.LoadFraction
		if x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

// retryLimit and retryPause bound how long a caller goes on asking other
// instances about one request.
const (
	retryLimit = 30 * time.Second
	retryPause = 50 * time.Millisecond
)

// call submits one request and asks the next instance with the same identifier
// whenever one does not answer, as callers behind the balancer do.
func (c *Cell) call(ctx context.Context, first int, k Kind, id string, t *tally) {
	ctx, cancel := context.WithTimeout(ctx, retryLimit)
	defer cancel()
	began := time.Now()
	var took time.Duration
	o, err := c.ask(ctx, first, func(e *Instance) (*callerv1.Outcome, error) {
		r, err := e.CallerClient.Submit(ctx, k.request(id))
		return r.GetOutcome(), err
	})
	took = time.Since(began)
	if err == nil && k.Service {
		o, err = c.stopService(ctx, first, id)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Submitted++
	if err != nil {
		t.report.Errors++
		t.report.Faults = append(t.report.Faults, Fault{Request: id, Error: err})
		return
	}
	t.samples = append(t.samples, took)
	t.count(k, id, o)
}

// ask makes a call at one instance after the other until one answers.
func (c *Cell) ask(ctx context.Context, first int, call func(*Instance) (*callerv1.Outcome, error)) (*callerv1.Outcome, error) {
	for i := first; ; i++ {
		o, err := call(c.entries[i%len(c.entries)])
		// An error that no instance sent is that of a connection that ended.
		unanswered := connect.CodeOf(err) == connect.CodeUnavailable || !connect.IsWireError(err)
		if err == nil || !unanswered || ctx.Err() != nil {
			return o, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryPause):
		}
	}
}

// stopService cancels a service once it runs and returns its outcome.
func (c *Cell) stopService(ctx context.Context, first int, id string) (*callerv1.Outcome, error) {
	for {
		o, err := c.ask(ctx, first, func(e *Instance) (*callerv1.Outcome, error) {
			s, err := e.CallerClient.Status(ctx, &callerv1.StatusRequest{RequestId: id})
			return s.GetOutcome(), err
		})
		if err != nil {
			return nil, err
		}
		if o.GetStatus() != callerv1.Status_STATUS_WAITING {
			break
		}
		time.Sleep(readyPoll)
	}
	return c.ask(ctx, first, func(e *Instance) (*callerv1.Outcome, error) {
		r, err := e.CallerClient.Cancel(ctx, &callerv1.CancelRequest{RequestId: id})
		return r.GetOutcome(), err
	})
}

func (t *tally) count(k Kind, id string, o *callerv1.Outcome) {
	switch o.GetStatus() {
	case callerv1.Status_STATUS_DONE:
		t.report.Done++
		if !whole(k, id, o) {
			t.report.Damaged++
		}
	case callerv1.Status_STATUS_CANCELLED:
		t.report.Cancelled++
		if k.Service {
			t.report.Done++
		}
	case callerv1.Status_STATUS_FAILED:
		t.report.Failed++
		t.report.Faults = append(t.report.Faults, Fault{Request: id, Reason: o.GetReason()})
	case callerv1.Status_STATUS_NOT_RUN:
		t.report.NotRun++
	default:
		t.report.Unknown++
		t.report.Faults = append(t.report.Faults, Fault{Request: id, Reason: o.GetReason()})
	}
}

// whole reports whether an answer is the complete answer of its own request.
// The stand-in of a worker answers with the request's identifier.
func whole(k Kind, id string, o *callerv1.Outcome) bool {
	want := ""
	for range max(1, k.Tasks) {
		want += id
	}
	digest := model.DigestOf(o.GetAnswer())
	return string(o.GetAnswer()) == want &&
		uint64(len(o.GetAnswer())) == o.GetAnswerLength() &&
		slices.Equal(digest[:], o.GetAnswerDigest())
}

func (t *tally) finish() KindReport {
	r := t.report
	slices.Sort(t.samples)
	if n := len(t.samples); n > 0 {
		r.P50 = t.samples[n/2]
		r.P99 = t.samples[min(n-1, n*99/100)]
	}
	return r
}
