package admission_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

// newFilledQueue returns a queue of standard items of 4 teams in 64 shapes.
func newFilledQueue(size int) *admission.Queue {
	q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
	for k := range size {
		i := newItem(fmt.Sprint(k), func(i *admission.Item) {
			i.Request.Team = model.Team(fmt.Sprint(k % 4))
			i.Resources.MilliCPU = int64(1000 + 100*(k/4%16))
			deadline(100 + k*7919%size)(i)
		})
		if err := q.Push(epoch, i); err != nil {
			panic(err)
		}
	}
	return q
}

// BenchmarkCancel removes every item of a queue, one after another.
func BenchmarkCancel(b *testing.B) {
	for _, size := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("waiting=", size), func(b *testing.B) {
			ids := make([]model.RequestID, size)
			for k := range ids {
				ids[k] = model.RequestID(fmt.Sprint(k))
			}
			b.ReportAllocs()
			for k := 0; k < b.N; k += size {
				b.StopTimer()
				q := newFilledQueue(size)
				b.StartTimer()
				for _, id := range ids {
					q.Remove(id, 0)
				}
			}
		})
	}
}

// BenchmarkDecision releases an attempt on one of 300 full workers, pops the next item
// and places it.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("waiting=", size), func(b *testing.B) {
			q := newFilledQueue(size)
			x := placement.New(placement.Policy{WaitingWeight: 1, PackingWeight: 1, UrgentHeadroom: 0.1}, 1)
			for k := range 300 {
				x.UpsertWorker(model.Worker{ID: model.WorkerID(fmt.Sprint(k))}, 1, model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8})
			}
			var running []model.Attempt
			var choice placement.Choice
			tryStart := func(i *admission.Item) admission.StartResult {
				c, ok := x.Pick(epoch, placement.Requirements{Request: i.Request, Resources: i.Resources})
				if !ok {
					return admission.NoCapacity
				}
				choice = c
				return admission.Started
			}
			filler := newItem("filler", nil)
			for n := uint32(1); tryStart(filler) == admission.Started; n++ {
				a := model.Attempt{Request: "filler", Number: n}
				x.Reserve(choice.Worker, a, filler.Request, filler.Resources)
				running = append(running, a)
			}
			times := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			for b.Loop() {
				k := len(times) % len(running)
				start := time.Now()
				x.Release(running[k])
				i, ok := q.PopNext(epoch, tryStart)
				if ok {
					running[k].Number += 1 << 20
					x.Reserve(choice.Worker, running[k], i.Request, i.Resources)
				}
				times = append(times, time.Since(start))
				if ok { // keep the queue length constant
					if err := q.Push(epoch, i); err != nil {
						b.Fatal(err)
					}
				}
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds()), "p99-ns")
		})
	}
}
