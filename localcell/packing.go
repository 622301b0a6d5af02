package localcell

import (
	"context"
	"sync"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
)

// packingInterval is the interval between samples.
const packingInterval = 250 * time.Millisecond

// packingSampler samples the reserved dominant share of the workers' capacity.
type packingSampler struct {
	sampleCount int
	sum         float64
	peak        float64
	cancel      context.CancelFunc
	loop        sync.WaitGroup
}

// startPackingSampler returns a sampler that runs until stopAndSummarize is
// called or ctx ends.
func (c *Cell) startPackingSampler(ctx context.Context) *packingSampler {
	ctx, stop := context.WithCancel(ctx)
	p := &packingSampler{cancel: stop}
	p.loop.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(packingInterval):
				p.addSample(c.reservedFraction(ctx))
			}
		}
	})
	return p
}

func (p *packingSampler) addSample(fraction float64) {
	p.sampleCount++
	p.sum += fraction
	p.peak = max(p.peak, fraction)
}

// stopAndSummarize stops the sampler and returns the mean and the highest sample.
func (p *packingSampler) stopAndSummarize() (mean, peak float64) {
	p.cancel()
	p.loop.Wait()
	if p.sampleCount == 0 {
		return 0, 0
	}
	return p.sum / float64(p.sampleCount), p.peak
}

// reservedFraction returns the reserved dominant share of the capacity of all
// workers: the highest reserved fraction of any resource. Each worker is reported
// by the instance that holds its lease.
func (c *Cell) reservedFraction(ctx context.Context) float64 {
	var capacity, reserved model.Resources
	for _, instance := range c.instances {
		r, err := instance.OperatorClient.Workers(ctx, &operatorv1.WorkersRequest{})
		if err != nil {
			continue
		}
		for _, w := range r.GetWorkers() {
			if w.GetHolder() == string(instance.Info.ID) {
				capacity = capacity.Add(fromProtoResources(w.GetCapacity()))
				reserved = reserved.Add(fromProtoResources(w.GetReserved()))
			}
		}
	}
	return reserved.DominantShare(capacity)
}

func fromProtoResources(r *operatorv1.Resources) model.Resources {
	return model.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}
