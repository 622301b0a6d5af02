package timeline_test

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/timeline"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func record(process string, sequence uint64, offset time.Duration) timeline.Record {
	return timeline.Record{At: start.Add(offset), Process: process, Sequence: sequence, Kind: "k"}
}

var _ = Describe("Merge", func() {
	// A wrong order would show effects before their causes.
	It("orders by time, process and sequence", func() {
		a := []timeline.Record{record("a", 1, 2), record("a", 2, 2), record("a", 3, 9)}
		b := []timeline.Record{record("b", 2, 5), record("b", 1, 2)}
		Expect(timeline.Merge(a, b)).To(Equal([]timeline.Record{
			record("a", 1, 2), record("a", 2, 2), record("b", 1, 2), record("b", 2, 5), record("a", 3, 9),
		}))
	})

	// Sorting by time alone would reorder the records of such a process.
	It("keeps the order of a process whose clock was set back", func() {
		a := []timeline.Record{record("a", 1, 8), record("a", 2, 1), record("a", 3, 10)}
		b := []timeline.Record{record("b", 1, 5), record("b", 2, 9)}
		Expect(timeline.Merge(b, a)).To(Equal([]timeline.Record{
			record("b", 1, 5), record("a", 1, 8), record("a", 2, 1), record("b", 2, 9), record("a", 3, 10),
		}))
	})

	// The records of an instance that is queried through two addresses must not appear
	// twice.
	It("drops copies", func() {
		local := record("a", 1, 2)
		local.At = local.At.Local()
		Expect(timeline.Merge([]timeline.Record{record("a", 1, 2)}, []timeline.Record{local})).To(HaveLen(1))
	})
})

var _ = Describe("Ring", func() {
	// The latest records are needed to investigate a failure, so the ring must not lose
	// or reorder them.
	It("keeps the latest records", func() {
		ring := timeline.NewRing(3)
		Expect(ring.Select(time.Time{}, "", 0)).To(BeEmpty())
		for i := range 5 {
			ring.Add(timeline.Record{At: start.Add(time.Duration(i)), Request: model.RequestID([]string{"x", "y"}[i%2])})
		}
		sequences := func(after time.Time, request model.RequestID, limit int) []uint64 {
			var s []uint64
			for _, r := range ring.Select(after, request, limit) {
				s = append(s, r.Sequence)
			}
			return s
		}
		Expect(sequences(time.Time{}, "", 0)).To(Equal([]uint64{3, 4, 5}))
		Expect(sequences(start.Add(2), "", 0)).To(Equal([]uint64{4, 5}))
		Expect(sequences(time.Time{}, "x", 0)).To(Equal([]uint64{3, 5}))
		Expect(sequences(time.Time{}, "", 2)).To(Equal([]uint64{4, 5}))
	})

	// Several goroutines add records. The race detector (-race) finds data races here.
	It("is safe for concurrent use", func() {
		ring := timeline.NewRing(100)
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() {
				for range 100 {
					ring.Add(timeline.Record{At: start})
					ring.Select(time.Time{}, "", 1)
				}
			})
		}
		group.Wait()
		last := ring.Select(time.Time{}, "", 1)
		Expect(last[0].Sequence).To(Equal(uint64(400)))
	})
})
