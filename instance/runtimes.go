package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/logevent"
	"fuchsiacross/runtimes"
)

// runTimesPath is the path of the reports on run times at the metrics address.
const runTimesPath = "/runtimes"

// logRunTimes writes a report on run times to the log and the metrics, and keeps it for the page
// of the metrics address.
func (s *shard) logRunTimes(r *runtimes.Report) {
	s.clearRunTimes()
	s.runTimes.Store(r)
	s.eachRunTimesGauge(r, func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, s.instance.metrics).Update(value)
	})
	var detail strings.Builder
	for n, q := range r.Queues {
		if n > 0 {
			detail.WriteString("; ")
		}
		fmt.Fprintf(&detail, "%s, %.0f runs:", q.Name, q.Runs)
		for _, quantile := range q.Quantiles {
			fmt.Fprintf(&detail, " %.3f within %.2f (predicted %.2f)", quantile.Measured, quantile.Ratio, quantile.Fraction)
		}
	}
	logevent.RunTimesCalibrated.Log(s.log, zap.Int("workers", r.Workers), zap.Int("known_workers", r.KnownWorkers),
		zap.Float64("speed_spread", r.SpeedSpread), zap.Bool("uneven", r.Uneven),
		zap.Float64("fast_utilization", r.FastUtilization), zap.String("detail", detail.String()))
}

// eachRunTimesGauge calls f for the gauges of a report: the measured fractions, in thousandths.
func (s *shard) eachRunTimesGauge(r *runtimes.Report, f func(name string, value int64)) {
	for _, q := range r.Queues {
		for _, quantile := range q.Quantiles {
			f(fmt.Sprintf("runtimes.%d.%s.within_p%.0f_thousandths", s.number, q.Name, 100*quantile.Fraction), int64(1000*quantile.Measured))
		}
	}
}

// clearRunTimes removes the last report of a shard, as when this instance no longer leads it.
func (s *shard) clearRunTimes() {
	if r := s.runTimes.Swap(nil); r != nil {
		s.eachRunTimesGauge(r, func(name string, _ int64) { s.instance.metrics.Unregister(name) })
	}
}

// runTimesPage is the JSON form of a report.
type runTimesPage struct {
	Queues          []queuePage `json:"queues"`
	Workers         int         `json:"workers"`
	KnownWorkers    int         `json:"known_workers"`
	SpeedSpread     float64     `json:"speed_spread"`
	Uneven          bool        `json:"uneven"`
	FastUtilization float64     `json:"fast_utilization"`
}

type queuePage struct {
	Name      string         `json:"name"`
	Runs      float64        `json:"runs"`
	Quantiles []quantilePage `json:"quantiles"`
}

type quantilePage struct {
	Predicted float64 `json:"predicted"`
	Ratio     float64 `json:"ratio"`
	Measured  float64 `json:"measured"`
}

func newRunTimesPage(r *runtimes.Report) runTimesPage {
	page := runTimesPage{
		Workers: r.Workers, KnownWorkers: r.KnownWorkers, SpeedSpread: r.SpeedSpread, Uneven: r.Uneven, FastUtilization: r.FastUtilization,
	}
	for _, q := range r.Queues {
		entry := queuePage{Name: q.Name, Runs: q.Runs}
		for _, quantile := range q.Quantiles {
			entry.Quantiles = append(entry.Quantiles, quantilePage{quantile.Fraction, quantile.Ratio, quantile.Measured})
		}
		page.Queues = append(page.Queues, entry)
	}
	return page
}

// serveRunTimes answers with the last reports on run times of the shards that this instance
// leads, by number.
func (i *Instance) serveRunTimes(w http.ResponseWriter, _ *http.Request) {
	reports := map[string]runTimesPage{}
	if table := i.shardTable.Load(); table != nil {
		for _, s := range table.shards {
			if r := s.runTimes.Load(); r != nil {
				reports[strconv.Itoa(s.number)] = newRunTimesPage(r)
			}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(reports); err != nil {
		i.counter("runtimes.unanswered").Inc(1)
	}
}
