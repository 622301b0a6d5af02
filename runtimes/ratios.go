package runtimes

import "math"

const (
	ratioBins     = 48
	ratioBinWidth = 0.125 // of the logarithm
	minLogRatio   = -ratioBins / 2 * ratioBinWidth
)

// Ratios is a decayed histogram of the logarithms of the ratios of measured to expected run
// times. Its quantiles describe the tail, which a mean and a variance would not.
type Ratios struct {
	bins  [ratioBins]float32
	total float64
	// unit is the weight of the next observation. It grows instead of the decay of all bins.
	unit float64
	// Results for the current content, computed again after some observations.
	median, spread float64
	survival       [ratioBins + 1]float32 // fraction above the lower end of each bin
	stale          int
}

// maxUnit limits the weights to what the bins represent exactly enough.
const maxUnit = 1e6

// ratiosPerRefresh is the number of observations after which median and spread are computed
// again.
const ratiosPerRefresh = 16

// Observe adds the logarithm of a ratio. It reports whether the quantiles are to be read again.
func (r *Ratios) Observe(logRatio float64) bool {
	if math.IsNaN(logRatio) {
		return false
	}
	if r.unit == 0 {
		r.unit = 1
	}
	bin := int(max(0, min(ratioBins-1, (logRatio-minLogRatio)/ratioBinWidth)))
	r.bins[bin] += float32(r.unit)
	r.total += r.unit
	r.unit /= ratioDecay
	if r.unit > maxUnit {
		r.scale(1 / r.unit)
	}
	if r.stale++; r.stale < ratiosPerRefresh {
		return false
	}
	r.refresh()
	return true
}

func (r *Ratios) scale(factor float64) {
	for i := range r.bins {
		r.bins[i] *= float32(factor)
	}
	r.total *= factor
	r.unit *= factor
}

func (r *Ratios) refresh() {
	r.stale = 0
	r.median = r.Quantile(0.5)
	left := r.total
	for i, n := range r.bins {
		r.survival[i] = float32(max(0, left) / r.total)
		left -= float64(n)
	}
	r.spread = max(minSpread, min(maxSpread, (r.Quantile(0.84)-r.Quantile(0.16))/2))
}

// weight returns the weight of all observations in units of the latest one.
func (r *Ratios) weight() float64 {
	if r.unit == 0 {
		return 0
	}
	return r.total / r.unit
}

// Quantile returns the logarithm of the ratio that a fraction of the runs does not exceed.
func (r *Ratios) Quantile(fraction float64) float64 {
	left := fraction * r.total
	for i, n := range r.bins {
		if left <= float64(n) && n > 0 {
			return minLogRatio + ratioBinWidth*(float64(i)+left/float64(n))
		}
		left -= float64(n)
	}
	return 0
}

// normal returns the median and the spread of a lognormal approximation without the tails.
func (r *Ratios) normal() (median, spread float64) {
	if !r.known() {
		return 0, defaultSpread
	}
	return r.median, r.spread
}

// exceeds returns the fraction of the runs whose ratio has a larger logarithm, by linear
// interpolation.
func (r *Ratios) exceeds(logRatio float64) float64 {
	at := (logRatio - minLogRatio) / ratioBinWidth
	switch {
	case at <= 0:
		return 1
	case at >= ratioBins:
		return 0
	}
	i := int(at)
	return float64(r.survival[i]) + (at-float64(i))*float64(r.survival[i+1]-r.survival[i])
}

// known reports whether the histogram describes the distribution.
func (r *Ratios) known() bool { return r.weight() >= minRatioWeight && r.spread > 0 }
