package measure

import (
	"context"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/localcell"
)

// LoadOptions say which load a cell is measured under.
type LoadOptions struct {
	Deployment localcell.Deployment
	Rate       float64 // requests a second
	Seconds    int64
	Seed       uint64
}

// LoadFigures are what a loaded cell spent. Every process of the cell runs in
// this one, so processor time includes callers, workers and the platform.
type LoadResult struct {
	IdleCounters         Costs // in IdleSeconds without load, before it
	IdleSeconds          float64
	LoadCounters         Costs // under load
	Seconds              float64
	PayloadBytes         float64 // bytes of bodies and answers within Spent
	JournaledRequests    float64 // requests
	IdleProcessorSeconds float64 // seconds of processor time of the whole process in IdleSeconds
	ProcessorSeconds     float64 // the same under load
	Report               localcell.Report
}

const (
	startTimeout = 30 * time.Second
	// settle is above the interval at which the daemon updates its gauges.
	settle = 1100 * time.Millisecond
)

// Load runs a cell idle and then under load. The idle time lets sessions and
// links settle.
func RunLoad(o LoadOptions) (LoadResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cell, err := localcell.Start(ctx, localcell.Options{Deployment: o.Deployment})
	if err != nil {
		return LoadResult{}, errors.Wrap(err, "start cell")
	}
	defer cell.Close()
	// The first calls of a connection carry headers that later ones do not.
	cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(settle), Rate: o.Rate / 4, Seed: o.Seed + 1})
	time.Sleep(settle)
	var f LoadResult
	first, err := ReadCosts(cell)
	if err != nil {
		return LoadResult{}, err
	}
	began := time.Now()
	processor := processorSeconds()
	time.Sleep(2 * settle)
	f.IdleProcessorSeconds = processorSeconds() - processor
	before, err := ReadCosts(cell)
	if err != nil {
		return LoadResult{}, err
	}
	f.IdleCounters, f.IdleSeconds = before.Since(first), time.Since(began).Seconds()
	began = time.Now()
	processor = processorSeconds()
	f.Report = cell.RunLoad(context.Background(), localcell.Load{
		End:  began.Add(time.Duration(o.Seconds) * time.Second),
		Rate: o.Rate,
		Seed: o.Seed,
	})
	f.ProcessorSeconds = processorSeconds() - processor
	f.Seconds = time.Since(began).Seconds()
	time.Sleep(settle)
	after, err := ReadCosts(cell)
	if err != nil {
		return LoadResult{}, err
	}
	f.LoadCounters = after.Since(before)
	f.LoadCounters.WorkerBytes -= f.IdleCounters.WorkerBytes / f.IdleSeconds * settle.Seconds()
	f.LoadCounters.WorkerMessages -= f.IdleCounters.WorkerMessages / f.IdleSeconds * settle.Seconds()
	f.LoadCounters.PeerBytes -= f.IdleCounters.PeerBytes / f.IdleSeconds * settle.Seconds()
	f.LoadCounters.PeerMessages -= f.IdleCounters.PeerMessages / f.IdleSeconds * settle.Seconds()
	f.payload(o.Deployment)
	return f, nil
}

// payload counts the bodies and answers that are not control traffic: once to
// and from the worker for each task, once to and from the store for each
// journaled request, and once between entry and home where they differ.
func (f *LoadResult) payload(d localcell.Deployment) {
	const identifier = 9 // "-1-000000" after the name of the kind
	for i, k := range f.Report.Kinds {
		kind := d.Kinds[i]
		bytes := float64(len(kind.Body) + len(kind.Name) + identifier)
		count := float64(k.Submitted)
		f.PayloadBytes += count * bytes * float64(max(1, kind.Tasks))
		if i == 0 {
			continue // the urgent kind is not journaled
		}
		f.JournaledRequests += count
		elsewhere := float64(d.Instances-1) / float64(d.Instances)
		f.PayloadBytes += count * bytes * (1 + elsewhere)
	}
}

// BytesPerStart returns the control bytes of one start, those that an idle cell
// spends in the same time included.
func (f *LoadResult) BytesPerStart() float64 {
	return (f.LoadCounters.Bytes() - f.PayloadBytes) / f.LoadCounters.Starts
}

// MessagesPerStart returns the messages of one start.
func (f *LoadResult) MessagesPerStart() float64 {
	return f.LoadCounters.Messages() / f.LoadCounters.Starts
}

// WritesPerThousand returns the store writes for each 1,000 journaled requests.
func (f *LoadResult) WritesPerThousand() float64 {
	return 1000 * f.LoadCounters.PlatformWrites / f.JournaledRequests
}

// processorSeconds returns the processor time of this process.
func processorSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}
