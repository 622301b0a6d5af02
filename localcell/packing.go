package localcell

import (
	"context"
	"sync"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
)

// packingInterval is the time between two samples of the packing.
const packingInterval = 250 * time.Millisecond

// packing samples how much of the workers' capacity is reserved.
type packing struct {
	samples int
	sum     float64
	peak    float64
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// watchPacking samples until end is called.
func (c *Cell) watchPacking(ctx context.Context) *packing {
	ctx, stop := context.WithCancel(ctx)
	p := &packing{stop: stop}
	p.done.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(packingInterval):
				p.add(c.reservedShare(ctx))
			}
		}
	})
	return p
}

func (p *packing) add(share float64) {
	p.samples++
	p.sum += share
	p.peak = max(p.peak, share)
}

// end returns the mean and the highest share.
func (p *packing) end() (mean, peak float64) {
	p.stop()
	p.done.Wait()
	if p.samples == 0 {
		return 0, 0
	}
	return p.sum / float64(p.samples), p.peak
}

// reservedShare returns the dominant share that is reserved on all workers, as
// the instances that hold their leases see it.
func (c *Cell) reservedShare(ctx context.Context) float64 {
	var capacity, reserved model.Resources
	for _, e := range c.entries {
		r, err := e.OperatorClient.Workers(ctx, &operatorv1.WorkersRequest{})
		if err != nil {
			continue
		}
		for _, w := range r.GetWorkers() {
			if w.GetHolder() == string(e.Info.ID) {
				capacity = capacity.Add(resources(w.GetCapacity()))
				reserved = reserved.Add(resources(w.GetReserved()))
			}
		}
	}
	return reserved.DominantShare(capacity)
}

func resources(r *operatorv1.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}
