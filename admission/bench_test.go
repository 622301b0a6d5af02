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

// filled returns a queue of standard items of 4 teams and 64 shapes.
func filled(size int) *admission.Queue {
	q := admission.NewQueue(admission.DefaultOptions(), noShare)
	for k := range size {
		i := item(fmt.Sprint(k), func(i *admission.Item) {
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

// BenchmarkCancel removes every item of a queue, one after the other.
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
				q := filled(size)
				b.StartTimer()
				for _, id := range ids {
					q.Remove(id, 0)
				}
			}
		})
	}
}

// BenchmarkDecision frees room on one of 300 full workers, takes the next item
// and places it.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("waiting=", size), func(b *testing.B) {
			q := filled(size)
			x := placement.New(placement.Policy{WaitingWeight: 1, PackingWeight: 1, UrgentHeadroom: 0.1}, 1)
			for k := range 300 {
				x.UpsertWorker(model.Worker{ID: model.WorkerID(fmt.Sprint(k))}, 1, model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8})
			}
			var running []model.Attempt
			var choice placement.Choice
			fits := func(i *admission.Item) admission.StartResult {
				c, ok := x.Pick(epoch, placement.Requirements{Request: i.Request, Resources: i.Resources})
				if !ok {
					return admission.NoCapacity
				}
				choice = c
				return admission.Started
			}
			filler := item("filler", nil)
			for n := uint32(1); fits(filler) == admission.Started; n++ {
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
				i, ok := q.PopNext(epoch, fits)
				if ok {
					running[k].Number += 1 << 20
					x.Reserve(choice.Worker, running[k], i.Request, i.Resources)
				}
				times = append(times, time.Since(start))
				if ok { // keep the length
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
