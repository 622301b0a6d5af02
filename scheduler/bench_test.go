package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// BenchmarkTick measures 10 ms ticks with 70 and 7,000 running tasks; an instance
// of a full-size cell has 7,000. The cost of a tick must depend on the work that
// is due, not on the number of running tasks.
func BenchmarkTick(b *testing.B) {
	for _, tasks := range []int{70, 7000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			c := newTestCell(1, 1, 1, model.Resources{MilliCPU: 1e9, MemoryBytes: 1 << 50, Slots: 8})
			c.run(2 * time.Second)
			n := c.nodes[0]
			for i := range tasks {
				q := c.newRequest(fmt.Sprintf("b%d", i), model.KindService, model.ClassStandard, true, 0)
				q.Tasks = 1
				n.submit(q, false)
				if i%50 == 49 {
					c.run(100 * time.Millisecond)
				}
			}
			c.run(3 * time.Second)
			running := len(c.workers[0].attemptOrder)
			now := c.now
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				n.reducer.Apply(now, event.Tick{})
			}
			b.ReportMetric(float64(running), "running")
		})
	}
}
