package placement

import (
	"fuchsiacross/model"
)

// dimension identifies one dimension of model.Resources.
type dimension uint8

const (
	processors dimension = iota
	memory
	accelerators
	slots
	dimensionCount
)

// amountIn returns the amount of r in the dimension.
func (d dimension) amountIn(r *model.Resources) int64 {
	switch d {
	case processors:
		return r.MilliCPU
	case memory:
		return r.MemoryBytes
	case accelerators:
		return r.Accelerators
	default:
		return r.Slots
	}
}

// dominantDimension returns the dimension in which r is the largest fraction of
// total.
func dominantDimension(r, total *model.Resources) dimension {
	best, largest := processors, 0.0
	for d := range dimensionCount {
		available := d.amountIn(total)
		if available <= 0 {
			continue
		}
		if f := float64(d.amountIn(r)) / float64(available); f > largest {
			best, largest = d, f
		}
	}
	return best
}
