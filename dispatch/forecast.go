package dispatch

import (
	"math"
	"time"
)

const (
	// forecastTrust is how many steps must have ended before what they tell counts
	// as much as the estimates themselves.
	forecastTrust = 5
	// forecastSpread is the same for the dependence on the estimate, as a sum of
	// squared deviations of the logarithms.
	forecastSpread = 2.0
	// forecastKeep is what remains of older steps' weight with each further one.
	forecastKeep = 0.99
	// forecastMost bounds the correction of an estimate.
	forecastMost = 10.0
)

// forecast corrects the estimates of a queue's jobs by how long their tasks have
// taken, as a linear regression of the error's logarithm on the estimate's.
// Where estimates say little, the forecast is close to the queue's usual length.
type forecast struct {
	count, sumX, sumZ, sumXX, sumXZ float64
	version                         int
}

// observe counts a complete step.
func (f *forecast) observe(estimateMilliseconds float64, took time.Duration) {
	if estimateMilliseconds <= 0 || took <= 0 {
		return
	}
	x := math.Log(estimateMilliseconds)
	z := math.Log(float64(took)/float64(time.Millisecond)) - x
	for _, sum := range []*float64{&f.count, &f.sumX, &f.sumZ, &f.sumXX, &f.sumXZ} {
		*sum *= forecastKeep
	}
	f.count++
	f.sumX += x
	f.sumZ += z
	f.sumXX += x * x
	f.sumXZ += x * z
	f.version++
}

// milliseconds returns how long a task with an estimate is expected to take.
func (f *forecast) milliseconds(estimate float64) float64 {
	if f.count == 0 || estimate <= 0 {
		return estimate
	}
	meanX, meanZ := f.sumX/f.count, f.sumZ/f.count
	slope := (f.sumXZ - f.count*meanX*meanZ) / (f.sumXX - f.count*meanX*meanX + forecastSpread)
	level := meanZ * f.count / (f.count + forecastTrust)
	factor := math.Exp(level + slope*(math.Log(estimate)-meanX))
	return estimate * max(1/forecastMost, min(forecastMost, factor))
}
