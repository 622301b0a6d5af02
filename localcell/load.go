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

// Load configures RunLoad.
type Load struct {
	End      time.Time
	Rate     float64 // requests per second over all kinds
	Seed     uint64
	Progress func(sent int, left time.Duration) // nil for none
}

// KindReport counts the outcomes of the requests of one kind.
type KindReport struct {
	Kind      string
	Submitted int
	Done      int
	Failed    int
	NotRun    int
	Unknown   int
	Cancelled int
	Errors    int              // calls that ended without an outcome
	Damaged   int              // answers that are not the complete answer to their own request
	P50, P99  time.Duration    // from the call to the answer
	Failures  []RequestFailure // requests behind Failed, Unknown and Errors
}

// RequestFailure is a request that failed, or whose outcome is unknown or missing.
type RequestFailure struct {
	Request string
	Error   error  // of the last call, or nil if there is an outcome
	Reason  string // reason of the outcome
}

// Report is the result of RunLoad.
type Report struct {
	Kinds       []KindReport
	MeanPacking float64 // mean reserved dominant share of the workers' capacity
	PeakPacking float64 // highest sample of that share
	Violations  int     // recorded by the workers
}

// Passed reports whether every caller received a known outcome, every answer was
// complete and no worker recorded a violation. Failed and not_run are known
// outcomes.
func (r Report) Passed() bool {
	for _, k := range r.Kinds {
		if k.Damaged > 0 || k.Errors > 0 || k.Unknown > 0 {
			return false
		}
	}
	return r.Violations == 0
}

// kindTally collects the results of one kind of work.
type kindTally struct {
	mu        sync.Mutex
	report    KindReport
	latencies []time.Duration
}

// progressInterval is the minimum interval between calls of Load.Progress.
const progressInterval = 200 * time.Millisecond

// RunLoad sends requests of every kind through all instances until the load ends,
// and waits for the answers.
func (c *Cell) RunLoad(ctx context.Context, l Load) Report {
	random := rand.New(rand.NewPCG(l.Seed, 1))
	kinds := c.options.Deployment.Kinds
	tallies := make([]kindTally, len(kinds))
	for i := range kinds {
		tallies[i].report.Kind = kinds[i].Name
	}
	sampler := c.startPackingSampler(ctx)
	var calls sync.WaitGroup
	next := time.Now()
	reported := next
	for sent := 0; next.Before(l.End) && ctx.Err() == nil; sent++ {
		// Every kind is sent at least once, whatever its fraction of the load.
		i := sent
		if i >= len(kinds) {
			i = pickKind(kinds, random.Float64())
		}
		first := random.IntN(len(c.instances))
		id := fmt.Sprintf("%s-%d-%06d", kinds[i].Name, l.Seed, sent)
		calls.Go(func() { c.submitAndRecord(ctx, first, kinds[i], id, &tallies[i]) })
		next = next.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		if now := time.Now(); l.Progress != nil && now.Sub(reported) > progressInterval {
			reported = now
			l.Progress(sent, time.Until(l.End))
		}
	}
	calls.Wait()
	var r Report
	r.MeanPacking, r.PeakPacking = sampler.stopAndSummarize()
	for i := range tallies {
		r.Kinds = append(r.Kinds, tallies[i].summarize())
	}
	r.Violations = len(c.recorder.Violations())
	return r
}

// pickKind returns the index of a kind for a random number x in [0, 1).
func pickKind(kinds []Kind, x float64) int {
	for i, k := range kinds {
		x -= k.LoadFraction
		if x < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

const (
	requestTimeout = 30 * time.Second      // limit of one request, including all retries
	retryDelay     = 50 * time.Millisecond // before a call is retried at the next instance
)

// submitAndRecord submits one request and records its result. If an instance does
// not answer, the same identifier is submitted to the next instance, as callers
// behind the load balancer do.
func (c *Cell) submitAndRecord(ctx context.Context, first int, k Kind, id string, t *kindTally) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	startedAt := time.Now()
	var latency time.Duration
	o, err := c.callUntilAnswered(ctx, first, func(instance *Instance) (*callerv1.Outcome, error) {
		r, err := instance.CallerClient.Submit(ctx, k.newSubmitRequest(id))
		return r.GetOutcome(), err
	})
	latency = time.Since(startedAt)
	if err == nil && k.Service {
		o, err = c.stopService(ctx, first, id)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Submitted++
	if err != nil {
		t.report.Errors++
		t.report.Failures = append(t.report.Failures, RequestFailure{Request: id, Error: err})
		return
	}
	t.latencies = append(t.latencies, latency)
	t.countOutcome(k, id, o)
}

// callUntilAnswered makes a call to one instance after the other, beginning with
// the one with index first, until one answers.
func (c *Cell) callUntilAnswered(ctx context.Context, first int, call func(*Instance) (*callerv1.Outcome, error)) (*callerv1.Outcome, error) {
	for i := first; ; i++ {
		o, err := call(c.instances[i%len(c.instances)])
		// An error that did not come from an instance is a connection failure.
		unanswered := connect.CodeOf(err) == connect.CodeUnavailable || !connect.IsWireError(err)
		if err == nil || !unanswered || ctx.Err() != nil {
			return o, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryDelay):
		}
	}
}

// stopService waits until a service is no longer waiting to start, cancels it and
// returns its outcome.
func (c *Cell) stopService(ctx context.Context, first int, id string) (*callerv1.Outcome, error) {
	for {
		o, err := c.callUntilAnswered(ctx, first, func(instance *Instance) (*callerv1.Outcome, error) {
			s, err := instance.CallerClient.Status(ctx, &callerv1.StatusRequest{RequestId: id})
			return s.GetOutcome(), err
		})
		if err != nil {
			return nil, err
		}
		if o.GetStatus() != callerv1.Status_STATUS_WAITING {
			break
		}
		time.Sleep(readyPollInterval)
	}
	return c.callUntilAnswered(ctx, first, func(instance *Instance) (*callerv1.Outcome, error) {
		r, err := instance.CallerClient.Cancel(ctx, &callerv1.CancelRequest{RequestId: id})
		return r.GetOutcome(), err
	})
}

func (t *kindTally) countOutcome(k Kind, id string, o *callerv1.Outcome) {
	switch o.GetStatus() {
	case callerv1.Status_STATUS_DONE:
		t.report.Done++
		if !isCompleteAnswer(k, id, o) {
			t.report.Damaged++
		}
	case callerv1.Status_STATUS_CANCELLED:
		t.report.Cancelled++
		if k.Service {
			t.report.Done++
		}
	case callerv1.Status_STATUS_FAILED:
		t.report.Failed++
		t.report.Failures = append(t.report.Failures, RequestFailure{Request: id, Reason: o.GetReason()})
	case callerv1.Status_STATUS_NOT_RUN:
		t.report.NotRun++
	default:
		t.report.Unknown++
		t.report.Failures = append(t.report.Failures, RequestFailure{Request: id, Reason: o.GetReason()})
	}
}

// isCompleteAnswer reports whether an answer is the complete answer to its own
// request. The worker stand-in answers each task with the request's identifier.
func isCompleteAnswer(k Kind, id string, o *callerv1.Outcome) bool {
	want := ""
	for range max(1, k.Tasks) {
		want += id
	}
	digest := model.DigestOf(o.GetAnswer())
	return string(o.GetAnswer()) == want &&
		uint64(len(o.GetAnswer())) == o.GetAnswerLength() &&
		slices.Equal(digest[:], o.GetAnswerDigest())
}

func (t *kindTally) summarize() KindReport {
	r := t.report
	slices.Sort(t.latencies)
	if n := len(t.latencies); n > 0 {
		r.P50 = t.latencies[n/2]
		r.P99 = t.latencies[min(n-1, n*99/100)]
	}
	return r
}
