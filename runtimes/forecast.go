// Package runtimes learns from finished and running work how long tasks take and how fast workers
// are, without input or output.
package runtimes

import (
	"math"
	"time"
)

const (
	// forecastPriorSteps is the number of completed steps at which observations weigh as much
	// as the estimates.
	forecastPriorSteps = 5
	// forecastPriorSpread is the same for the slope, as a sum of squared deviations of the
	// logarithms of the estimates.
	forecastPriorSpread = 2.0
	// forecastDecay is the factor on the weight of earlier steps with each further step.
	forecastDecay = 0.99
	// maxForecastFactor limits the correction of an estimate in both directions.
	maxForecastFactor = 10.0
)

// Forecast corrects the estimates of a queue's jobs by the measured lengths of their tasks,
// with a linear regression of the logarithm of the error on the logarithm of the estimate.
// Where estimates carry little information, the forecast is close to the queue's usual length.
type Forecast struct {
	count, sumX, sumZ, sumXX, sumXZ float64
	version                         int
	ratios                          Ratios
	calibration                     calibration
}

// Observe adds a completed step and the mean length of its runs.
func (f *Forecast) Observe(estimateMilliseconds float64, length time.Duration) {
	if estimateMilliseconds <= 0 || length <= 0 {
		return
	}
	x := math.Log(estimateMilliseconds)
	z := math.Log(float64(length)/float64(time.Millisecond)) - x
	for _, sum := range f.sums() {
		*sum *= forecastDecay
	}
	f.count++
	f.sumX += x
	f.sumZ += z
	f.sumXX += x * x
	f.sumXZ += x * z
	f.version++
}

func (f *Forecast) sums() []*float64 {
	return []*float64{&f.count, &f.sumX, &f.sumZ, &f.sumXX, &f.sumXZ}
}

// CorrectedMilliseconds returns how long a task with the given estimate is expected to take.
func (f *Forecast) CorrectedMilliseconds(estimate float64) float64 {
	if f.count == 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanZ := f.sumX/f.count, f.sumZ/f.count
	slope := (f.sumXZ - f.count*meanX*meanZ) / (f.sumXX - f.count*meanX*meanX + forecastPriorSpread)
	level := meanZ * f.count / (f.count + forecastPriorSteps)
	factor := math.Exp(level + slope*(math.Log(estimate)-meanX))
	return estimate * max(1/maxForecastFactor, min(maxForecastFactor, factor))
}

// Version returns the number of completed steps that were observed.
func (f *Forecast) Version() int { return f.version }

// ObserveRun adds the length of a run on the average worker and the length that was expected.
func (f *Forecast) ObserveRun(expected, length time.Duration) {
	if expected > 0 && length > 0 {
		logRatio := math.Log(float64(length) / float64(expected))
		if f.ratios.known() {
			f.calibration.observe(logRatio)
		}
		if f.ratios.Observe(logRatio) {
			f.calibration.predict(&f.ratios)
		}
	}
}

// Spread returns the spread of run times around the expected one, as a logarithm.
func (f *Forecast) Spread() float64 {
	_, spread := f.ratios.normal()
	return spread
}
