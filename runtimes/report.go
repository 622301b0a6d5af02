package runtimes

import (
	"math"
	"slices"
	"time"
)

// calibrationFractions are the quantiles whose prediction is compared with the measured runs.
var calibrationFractions = [4]float64{0.1, 0.5, 0.9, 0.99}

// calibration counts how many runs were within the quantiles that were predicted before they
// ended. The counts decay as those of the histogram do.
type calibration struct {
	thresholds [len(calibrationFractions)]float64 // predicted logarithms of the ratio
	below      [len(calibrationFractions)]float64
	total      float64
}

// predict sets the quantiles that the next runs are compared with.
func (c *calibration) predict(r *Ratios) {
	for i, fraction := range calibrationFractions {
		c.thresholds[i] = r.Quantile(fraction)
	}
}

func (c *calibration) observe(logRatio float64) {
	c.total = ratioDecay*c.total + 1
	for i := range c.below {
		c.below[i] *= ratioDecay
		if logRatio <= c.thresholds[i] {
			c.below[i]++
		}
	}
}

// Report tells how well the models describe the runs.
type Report struct {
	Queues          []QueueReport // sorted by name
	Workers         int
	KnownWorkers    int     // with enough observations of their own
	SpeedSpread     float64 // of the logarithm of the workers' speeds
	Uneven          bool    // whether learned speeds are used
	FastUtilization float64 // of the processors of fast workers
}

// QueueReport compares predicted and measured run times of a queue.
type QueueReport struct {
	Name      string
	Runs      float64 // weight of the runs that were compared
	Quantiles [len(calibrationFractions)]QuantileReport
}

// QuantileReport compares a predicted quantile with the runs that were within it.
type QuantileReport struct {
	Fraction float64 // predicted fraction of the runs
	Ratio    float64 // predicted ratio of the run time to the expected one
	Measured float64 // fraction of the runs within that ratio
}

const (
	// reportInterval is the time between two reports.
	reportInterval = 10 * time.Second
	// maxReportedQueues limits the length of a report.
	maxReportedQueues = 32
)

// Reporter decides when to report.
type Reporter struct {
	reportedAt time.Time
}

// Report returns a report if one is due and runs have been compared, or nil.
func (r *Reporter) Report(now time.Time, queues map[string]*Forecast, f *Speeds) *Report {
	if now.Sub(r.reportedAt) < reportInterval {
		return nil
	}
	report := &Report{Workers: len(f.workers), SpeedSpread: math.Sqrt(f.variance), Uneven: f.uneven, FastUtilization: f.utilization}
	for name, q := range queues {
		if c := &q.calibration; c.total > 0 {
			entry := QueueReport{Name: name, Runs: c.total}
			for i, fraction := range calibrationFractions {
				entry.Quantiles[i] = QuantileReport{fraction, math.Exp(c.thresholds[i]), c.below[i] / c.total}
			}
			report.Queues = append(report.Queues, entry)
		}
	}
	if len(report.Queues) == 0 {
		return nil
	}
	r.reportedAt = now
	slices.SortFunc(report.Queues, func(a, b QueueReport) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	report.Queues = report.Queues[:min(len(report.Queues), maxReportedQueues)]
	for _, s := range f.workers {
		if s.precision >= knownPrecision {
			report.KnownWorkers++
		}
	}
	return report
}
