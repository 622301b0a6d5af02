package instance

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/quota"
)

var _ = Describe("The capacity of a shard", func() {
	// While wide gangs waited next to idle workers, no log line told that these were reserved.
	It("is in the log and in the metrics until the term ends", func() {
		core, logs := observer.New(zapcore.InfoLevel)
		s := &shard{instance: &Instance{metrics: metrics.NewRegistry()}, number: 1, log: zap.New(core)}
		now := time.UnixMilli(1_700_000_000_000)
		step := job.StepID{Job: "a", Step: 1}
		s.logCapacity(&dispatch.CapacityReport{
			TotalMilliCPU: 64_000, FreeMilliCPU: 20_000, ReservedMilliCPU: 12_000, AwaitingTicketsMilliCPU: 4000, WaitingSteps: 3,
			Reservations: []dispatch.Reservation{{Step: step, Workers: 2, FreeMilliCPU: 12_000, Since: now.Add(-3 * time.Second), Until: now.Add(time.Second)}},
			PassedOver:   step, PassedOverSince: now.Add(-7 * time.Second),
		}, now)
		Expect(logs.All()).To(HaveLen(1))
		Expect(logs.All()[0].ContextMap()).To(BeEquivalentTo(map[string]any{
			"event": int64(logevent.ShardCapacity.Number), "total_millicpu": int64(64_000), "free_millicpu": int64(20_000),
			"reserved_millicpu": int64(12_000), "awaiting_tickets_millicpu": int64(4000), "reservations": int64(1),
			"waiting_steps": int64(3), "passed_over_milliseconds": int64(7000), "step": "a.0.1",
			"detail": "a.0.1: 2 workers, 12000m free, for 3s, until in 1s",
		}))
		Expect(s.instance.metrics.Get("capacity.1.reserved_millicpu").(metrics.Gauge).Value()).To(Equal(int64(12_000)))
		s.clearCapacity()
		Expect(s.instance.metrics.Get("capacity.1.reserved_millicpu")).To(BeNil())
	})

	// Gauges of tenants that are gone, or of a term that has ended, would show work that runs
	// nowhere.
	It("is shown for each tenant while it is listed", func() {
		s := &shard{instance: &Instance{metrics: metrics.NewRegistry()}, log: zap.NewNop()}
		use := func(tenant string) *dispatch.CapacityReport {
			return &dispatch.CapacityReport{Tenants: []quota.Account{{
				Tenant: tenant, Used: model.Resources{MilliCPU: 3000}, Limit: quota.Part(model.Resources{MilliCPU: 4000}, 0, 1), Skipped: 2, BeyondShare: 1,
			}}}
		}
		value := func(name string) any { return s.instance.metrics.Get("tenant.0." + name) }
		s.logCapacity(use("a"), time.Now())
		Expect(value("a.used_millicpu").(metrics.Gauge).Value()).To(Equal(int64(3000)))
		Expect(value("a.limit_millicpu").(metrics.Gauge).Value()).To(Equal(int64(4000)))
		Expect(value("a.skipped_for_quota").(metrics.Gauge).Value()).To(Equal(int64(2)))
		s.logCapacity(use("b"), time.Now())
		Expect(value("a.used_millicpu")).To(BeNil())
		Expect(value("b.beyond_share").(metrics.Gauge).Value()).To(Equal(int64(1)))
		s.clearCapacity()
		Expect(value("b.beyond_share")).To(BeNil())
	})
})
