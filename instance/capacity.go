package instance

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/logevent"
)

// capacityGauges are the names of the gauges of a shard's capacity, behind the shard's prefix.
var capacityGauges = []string{
	"total_millicpu", "free_millicpu", "reserved_millicpu", "awaiting_tickets_millicpu",
	"reservations", "waiting_steps", "passed_over_milliseconds",
}

// logCapacity writes a report on the shard's capacity to the log and the metrics.
func (s *shard) logCapacity(c *dispatch.CapacityReport, now time.Time) {
	passedOver := time.Duration(0)
	if !c.PassedOverSince.IsZero() {
		passedOver = now.Sub(c.PassedOverSince)
	}
	values := []int64{
		c.TotalMilliCPU, c.FreeMilliCPU, c.ReservedMilliCPU, c.AwaitingTicketsMilliCPU,
		int64(len(c.Reservations)), int64(c.WaitingSteps), passedOver.Milliseconds(),
	}
	fields := make([]zap.Field, 0, len(values)+2)
	for n, name := range capacityGauges {
		s.capacityGauge(name).Update(values[n])
		fields = append(fields, zap.Int64(name, values[n]))
	}
	if passedOver > 0 {
		fields = append(fields, zap.Stringer("step", c.PassedOver))
	}
	if len(c.Reservations) > 0 {
		fields = append(fields, zap.String("detail", describeReservations(c.Reservations, now)))
	}
	logevent.ShardCapacity.Log(s.log, fields...)
	s.updateTenantMetrics(c.Tenants)
}

// describeReservations tells for each reservation the step, what is reserved, since when and
// until when.
func describeReservations(reservations []dispatch.Reservation, now time.Time) string {
	var text strings.Builder
	for n, r := range reservations {
		if n > 0 {
			text.WriteString("; ")
		}
		fmt.Fprintf(&text, "%s: %d workers, %dm free, for %s, until in %s", r.Step, r.Workers, r.FreeMilliCPU,
			now.Sub(r.Since).Round(time.Millisecond), r.Until.Sub(now).Round(time.Millisecond))
	}
	return text.String()
}

// clearCapacity removes the gauges of a shard that this instance no longer leads.
func (s *shard) clearCapacity() {
	for _, name := range capacityGauges {
		s.instance.metrics.Unregister(s.capacityGaugeName(name))
	}
	s.updateTenantMetrics(nil)
}

func (s *shard) capacityGaugeName(name string) string {
	return "capacity." + strconv.Itoa(s.number) + "." + name
}

func (s *shard) capacityGauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(s.capacityGaugeName(name), s.instance.metrics)
}
