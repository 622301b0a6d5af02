package instance

import (
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"fuchsiacross/runtimes"
)

var _ = Describe("The report on run times", func() {
	// A former leader's report would hide that of the present one.
	It("is in the log, the metrics and the page until the term ends", func() {
		core, logs := observer.New(zapcore.InfoLevel)
		i := &Instance{metrics: metrics.NewRegistry()}
		s := &shard{instance: i, number: 1, log: zap.New(core)}
		i.shardTable.Store(&shardTable{shards: []*shard{s}})
		page := func() string {
			answer := httptest.NewRecorder()
			i.serveRunTimes(answer, nil)
			return answer.Body.String()
		}
		queue := runtimes.QueueReport{Name: "checks", Runs: 50}
		queue.Quantiles[1] = runtimes.QuantileReport{Fraction: 0.5, Ratio: 1.25, Measured: 0.25}
		s.logRunTimes(&runtimes.Report{Queues: []runtimes.QueueReport{queue}, Workers: 3, Uneven: true})
		Expect(logs.All()).To(HaveLen(1))
		Expect(logs.All()[0].ContextMap()["detail"]).To(ContainSubstring("checks, 50 runs:"))
		const name = "runtimes.1.checks.within_p50_thousandths"
		Expect(i.metrics.Get(name).(metrics.Gauge).Value()).To(Equal(int64(250)))
		Expect(page()).To(ContainSubstring(`"name":"checks"`))
		s.clearRunTimes()
		Expect(i.metrics.Get(name)).To(BeNil())
		Expect(page()).To(Equal("{}\n"))
	})
})
