package measure_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fuchsiacross/measure"
	"fuchsiacross/model"
)

func newUrgentRequest(id string, now time.Time) *model.Request {
	return &model.Request{
		ID: model.RequestID(id), Team: "gates", Workload: "moisture_check",
		Kind: model.KindRequest, Class: model.ClassUrgent, Tasks: 1, Idempotent: true,
		Resources:   model.Resources{MilliCPU: 500, MemoryBytes: 256 << 20, Slots: 1},
		Deadline:    now.Add(10 * time.Second),
		SubmittedAt: now,
	}
}

// instanceSizes are the sizes at which slopes are measured. The last one is the
// design size with 100 daemons.
var instanceSizes = []measure.SingleInstanceOptions{
	{HeldWorkers: 7, ListedWorkers: 50, Peers: 6},
	{HeldWorkers: 50, ListedWorkers: 350, Peers: 6},
	{HeldWorkers: 150, ListedWorkers: 4_650, Peers: 30},
	{HeldWorkers: 350, ListedWorkers: 35_000, Peers: 100},
}

func sizeName(o measure.SingleInstanceOptions) string {
	return fmt.Sprintf("held=%d_listed=%d_peers=%d", o.HeldWorkers, o.ListedWorkers, o.Peers)
}

// BenchmarkIdle measures 10 ms of an idle instance: one tick and the heartbeats
// of its peers. It reports the processor time as a percentage of 10 ms.
func BenchmarkIdle(b *testing.B) {
	for _, o := range instanceSizes {
		b.Run(sizeName(o), func(b *testing.B) {
			s := measure.NewSingleInstance(o)
			b.ReportAllocs()
			for b.Loop() {
				s.AdvanceTick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e7*100, "%core")
		})
	}
}

// BenchmarkStart measures the four events of an urgent request in the reducer,
// from submission to answer.
func BenchmarkStart(b *testing.B) {
	for _, o := range instanceSizes {
		b.Run(sizeName(o), func(b *testing.B) {
			s := measure.NewSingleInstance(o)
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				n++
				if n%100 == 0 {
					s.AdvanceTick()
				}
				s.RunRequest(newUrgentRequest(fmt.Sprintf("check-%08d", n), s.Now()))
			}
			b.ReportMetric(float64(s.StartCount)/float64(b.N), "starts/op")
		})
	}
}

// liveHeapBytes returns the size of the live heap after a garbage collection.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapBytesPerUnit returns the heap growth per unit of state. It compares two
// sizes, so that the fixed size of what build returns cancels out.
func heapBytesPerUnit(build func(units int) any) float64 {
	const units = 4_000
	empty := liveHeapBytes()
	small := build(units)
	middle := liveHeapBytes()
	large := build(3 * units)
	after := liveHeapBytes()
	runtime.KeepAlive(small)
	runtime.KeepAlive(large)
	return ((after - middle) - (middle - empty)) / (2 * units)
}

// BenchmarkMemory measures the heap bytes per unit of state in the reducer.
func BenchmarkMemory(b *testing.B) {
	hour := func(s *measure.SingleInstance) time.Time { return s.Now().Add(time.Hour) }
	states := []struct {
		name  string
		build func(units int) any
	}{
		{"listed_worker", func(n int) any {
			return measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: n, Peers: 6, HeldWorkers: 1})
		}},
		{"leased_worker", func(n int) any {
			return measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: n, HeldWorkers: n, DataCentres: 1})
		}},
		{"running_task", func(n int) any {
			s := measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: 500, HeldWorkers: 500, DataCentres: 1, KeepTasksRunning: true})
			for k := range n {
				r := newUrgentRequest(fmt.Sprintf("task-%08d", k), s.Now())
				r.Kind, r.Class, r.Deadline = model.KindBatch, model.ClassStandard, hour(s)
				r.Resources = model.Resources{MilliCPU: 100, MemoryBytes: 64 << 20}
				s.RunRequest(r)
				if k%20 == 0 {
					s.AdvanceTick()
				}
			}
			for range 300 {
				s.AdvanceTick()
			}
			if s.StartCount != uint64(n) {
				b.Fatalf("%d of %d tasks run", s.StartCount, n)
			}
			return s
		}},
		{"waiting_request", func(n int) any {
			s := measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: 1, HeldWorkers: 1, DataCentres: 1, KeepTasksRunning: true})
			for k := range n {
				r := newUrgentRequest(fmt.Sprintf("wait-%08d", k), s.Now())
				r.Kind, r.Class, r.Deadline = model.KindBatch, model.ClassStandard, hour(s)
				r.Resources = model.Resources{MilliCPU: 32_000}
				s.RunRequest(r)
			}
			return s
		}},
		{"settled_journaled_request", func(n int) any {
			s := measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: 500, HeldWorkers: 500, DataCentres: 1})
			for k := range n {
				r := newUrgentRequest(fmt.Sprintf("done-%08d", k), s.Now())
				r.Class, r.Deadline = model.ClassStandard, hour(s)
				s.RunRequest(r)
				if k%100 == 0 {
					s.AdvanceTick()
				}
			}
			return s
		}},
	}
	for _, state := range states {
		b.Run(state.name, func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = heapBytesPerUnit(state.build)
			}
			b.ReportMetric(bytes, "B/unit")
		})
	}
}

// BenchmarkRunning measures an idle tick of an instance with 7,000 running
// tasks: 700,000 tasks divided among 100 daemons.
func BenchmarkRunning(b *testing.B) {
	s := measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: 350, HeldWorkers: 350, DataCentres: 1, KeepTasksRunning: true})
	for k := range 7_000 {
		r := newUrgentRequest(fmt.Sprintf("task-%08d", k), s.Now())
		r.Kind, r.Class, r.Deadline = model.KindBatch, model.ClassStandard, s.Now().Add(100*time.Hour)
		r.Resources = model.Resources{MilliCPU: 100, MemoryBytes: 64 << 20}
		s.RunRequest(r)
		if k%20 == 0 {
			s.AdvanceTick()
		}
	}
	for range 300 {
		s.AdvanceTick()
	}
	if s.StartCount != 7_000 {
		b.Fatalf("%d tasks run", s.StartCount)
	}
	for b.Loop() {
		s.AdvanceTick()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1e7*100, "%core")
}

// BenchmarkJournaledStart measures an at-most-once request and its three journal
// records at its home, at 1,000 requests/s.
func BenchmarkJournaledStart(b *testing.B) {
	s := measure.NewSingleInstance(measure.SingleInstanceOptions{ListedWorkers: 350, HeldWorkers: 350, DataCentres: 1})
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		n++
		if n%10 == 0 {
			s.AdvanceTick()
		}
		r := newUrgentRequest(fmt.Sprintf("letter-%08d", n), s.Now())
		r.Class, r.Idempotent = model.ClassStandard, false
		s.RunRequest(r)
	}
	for range 200 {
		s.AdvanceTick()
	}
	b.ReportMetric(float64(s.StartCount)/float64(b.N), "starts/op")
}
