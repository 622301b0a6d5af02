package instance

import (
	"math"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"fuchsiacross/quota"
)

// maxTenantMetrics is the number of tenants with metrics of their own. The rest share one set.
const maxTenantMetrics = 32

// updateTenantMetrics sets the gauges of the tenants, and removes those of tenants that are no
// longer listed. Without accounts all are removed.
func (s *shard) updateTenantMetrics(accounts []quota.Account) {
	before := s.tenantGauges
	s.tenantGauges = map[string]struct{}{}
	for _, a := range quota.Bound(accounts, maxTenantMetrics) {
		limit := a.Limit.MilliCPU
		if limit == math.MaxInt64 {
			limit = -1
		}
		for _, v := range []struct {
			name  string
			value int64
		}{
			{"used_millicpu", a.Used.MilliCPU},
			{"limit_millicpu", limit},
			{"waiting_steps", a.WaitingSteps},
			{"skipped_for_quota", a.Skipped},
			{"beyond_share", a.BeyondShare},
		} {
			name := "tenant." + strconv.Itoa(s.number) + "." + a.Tenant + "." + v.name
			metrics.GetOrRegisterGauge(name, s.instance.metrics).Update(v.value)
			s.tenantGauges[name] = struct{}{}
			delete(before, name)
		}
	}
	for name := range before {
		s.instance.metrics.Unregister(name)
	}
}
