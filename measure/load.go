package measure

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/localcell"
)

// LoadOptions configure RunLoad.
type LoadOptions struct {
	Deployment localcell.Deployment
	Rate       float64 // requests per second
	Seconds    int64
	Seed       uint64
}

// LoadResult is what RunLoad measured. The whole cell runs in this process, so
// processor time includes callers, workers and the platform's stand-in.
type LoadResult struct {
	IdleCounters         Counters // during IdleSeconds without load, before the load
	IdleSeconds          float64
	LoadCounters         Counters // under load
	Seconds              float64  // duration of the load
	PayloadBytes         float64  // bodies and answers, which LoadCounters includes
	JournaledRequests    float64
	IdleProcessorSeconds float64 // processor time during IdleSeconds
	ProcessorSeconds     float64 // processor time under load
	Report               localcell.Report
}

const (
	startTimeout = 30 * time.Second
	// gaugeRefreshDelay is longer than the interval at which the daemon updates
	// its gauges.
	gaugeRefreshDelay = 1100 * time.Millisecond
)

// RunLoad starts a cell, leaves it idle for a while and then runs the load.
func RunLoad(o LoadOptions) (LoadResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cell, err := localcell.Start(ctx, localcell.Options{Deployment: o.Deployment})
	if err != nil {
		return LoadResult{}, errors.Wrap(err, "start cell")
	}
	defer cell.Close()
	// The first calls on a connection carry headers that later calls omit, so a
	// short load at a quarter of the rate comes before the measurement.
	cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(gaugeRefreshDelay), Rate: o.Rate / 4, Seed: o.Seed + 1})
	time.Sleep(gaugeRefreshDelay)
	var f LoadResult
	first, err := ReadCounters(cell)
	if err != nil {
		return LoadResult{}, err
	}
	startedAt := time.Now()
	processor := processorSeconds()
	time.Sleep(2 * gaugeRefreshDelay)
	f.IdleProcessorSeconds = processorSeconds() - processor
	before, err := ReadCounters(cell)
	if err != nil {
		return LoadResult{}, err
	}
	f.IdleCounters, f.IdleSeconds = before.Sub(first), time.Since(startedAt).Seconds()
	startedAt = time.Now()
	processor = processorSeconds()
	f.Report = cell.RunLoad(context.Background(), localcell.Load{
		End:  startedAt.Add(time.Duration(o.Seconds) * time.Second),
		Rate: o.Rate,
		Seed: o.Seed,
	})
	f.ProcessorSeconds = processorSeconds() - processor
	f.Seconds = time.Since(startedAt).Seconds()
	time.Sleep(gaugeRefreshDelay)
	after, err := ReadCounters(cell)
	if err != nil {
		return LoadResult{}, err
	}
	f.LoadCounters = after.Sub(before)
	// Subtract the idle traffic of the last wait.
	f.LoadCounters.WorkerBytes -= f.IdleCounters.WorkerBytes / f.IdleSeconds * gaugeRefreshDelay.Seconds()
	f.LoadCounters.WorkerMessages -= f.IdleCounters.WorkerMessages / f.IdleSeconds * gaugeRefreshDelay.Seconds()
	f.LoadCounters.PeerBytes -= f.IdleCounters.PeerBytes / f.IdleSeconds * gaugeRefreshDelay.Seconds()
	f.LoadCounters.PeerMessages -= f.IdleCounters.PeerMessages / f.IdleSeconds * gaugeRefreshDelay.Seconds()
	f.countPayload(o.Deployment)
	return f, nil
}

// countPayload counts the bodies and answers, which are not control traffic:
// once to and from the worker for each task, once to and from the store for each
// journaled request, and once between entry and home where they differ.
func (f *LoadResult) countPayload(d localcell.Deployment) {
	const idSuffixLength = 9 // "-1-000000" after the name of the kind
	for i, k := range f.Report.Kinds {
		kind := d.Kinds[i]
		bytes := float64(len(kind.Body) + len(kind.Name) + idSuffixLength)
		count := float64(k.Submitted)
		f.PayloadBytes += count * bytes * float64(max(1, kind.Tasks))
		if i == 0 {
			continue // the urgent kind is not journaled
		}
		f.JournaledRequests += count
		remoteFraction := float64(d.Instances-1) / float64(d.Instances)
		f.PayloadBytes += count * bytes * (1 + remoteFraction)
	}
}

// BytesPerStart returns the control bytes per start. The bytes of idle sessions
// and links during the load are included.
func (f *LoadResult) BytesPerStart() float64 {
	return (f.LoadCounters.ControlBytes() - f.PayloadBytes) / f.LoadCounters.Starts
}

// MessagesPerStart returns the control messages per start.
func (f *LoadResult) MessagesPerStart() float64 {
	return f.LoadCounters.ControlMessages() / f.LoadCounters.Starts
}

// WritesPerThousand returns the store writes per 1,000 journaled requests.
func (f *LoadResult) WritesPerThousand() float64 {
	return 1000 * f.LoadCounters.PlatformWrites / f.JournaledRequests
}

// processorSeconds returns the processor time of this process, or zero if it is
// not available.
func processorSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
