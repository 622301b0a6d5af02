package admission_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fuchsiacross/admission"
	"fuchsiacross/document"
	"fuchsiacross/model"
)

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func zeroShare(model.Team) float64 { return 0 }

// newItem returns a standard item of one processor with a deadline in a minute,
// modified by change.
func newItem(id string, change func(*admission.Item)) *admission.Item {
	i := &admission.Item{
		Request: &model.Request{
			ID: model.RequestID(id), Team: "a", Workload: "w", Class: model.ClassStandard,
			Kind: model.KindBatch, Tasks: 1, Deadline: epoch.Add(time.Minute),
		},
		Resources:  model.Resources{MilliCPU: 1000},
		EnqueuedAt: epoch,
	}
	if change != nil {
		change(i)
	}
	return i
}

func deadline(seconds int) func(*admission.Item) {
	return func(i *admission.Item) { i.Request.Deadline = epoch.Add(time.Duration(seconds) * time.Second) }
}

func startAlways(*admission.Item) admission.StartResult { return admission.Started }

// popAll pops all items and returns their request IDs in that order.
func popAll(q *admission.Queue, now time.Time) []string {
	var ids []string
	for {
		i, ok := q.PopNext(now, startAlways)
		if !ok {
			return ids
		}
		ids = append(ids, string(i.Request.ID))
	}
}

var _ = Describe("Queue", func() {
	// Guards against a lost item, whose caller never gets an answer, and against an item
	// that is popped twice and runs twice.
	It("neither loses nor duplicates an item", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			g := NewWithT(t)
			o := admission.DefaultOptions()
			o.ClassLimits = [model.ClassCount]int{20, 20, 20}
			shares := map[model.Team]float64{"a": 0.7, "b": 0.1}
			q := admission.NewQueue(o, func(m model.Team) float64 { return shares[m] })
			waiting := map[model.RequestID]*admission.Item{}
			now := epoch
			checkRemoved := func(i *admission.Item) {
				g.Expect(waiting).To(HaveKeyWithValue(i.Request.ID, i))
				delete(waiting, i.Request.ID)
			}
			for range rapid.IntRange(1, 120).Draw(t, "steps") {
				id := fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id"))
				switch rapid.IntRange(0, 7).Draw(t, "step") {
				case 0, 1, 2:
					i := newItem(id, func(i *admission.Item) {
						i.Request.Team = rapid.SampledFrom([]model.Team{"a", "b", "c"}).Draw(t, "team")
						i.Request.Class = model.Class(rapid.IntRange(1, 3).Draw(t, "class"))
						i.Request.Deadline = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "due")) * time.Second)
						i.Resources.MilliCPU = rapid.Int64Range(1, 4).Draw(t, "cpu")
						i.NotBefore = now.Add(time.Duration(rapid.IntRange(-9, 9).Draw(t, "delay")) * time.Second)
					})
					_, isDuplicate := waiting[i.Request.ID]
					if err := q.Push(now, i); err == nil {
						g.Expect(isDuplicate).To(BeFalse())
						waiting[i.Request.ID] = i
					}
				case 3:
					i, ok := q.Remove(model.RequestID(id), 0)
					g.Expect(ok).To(Equal(waiting[model.RequestID(id)] != nil))
					if ok {
						checkRemoved(i)
					}
				case 4:
					now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "time")) * time.Second)
					for _, i := range q.RemoveExpired(now) {
						checkRemoved(i)
					}
				case 5:
					if i, ok := q.StarvedItem(); ok {
						g.Expect(waiting).To(HaveKeyWithValue(i.Request.ID, i))
						q.MarkHeld(i)
					}
				default:
					available := rapid.Int64Range(0, 4).Draw(t, "available")
					i, ok := q.PopNext(now, func(i *admission.Item) admission.StartResult {
						g.Expect(i.NotBefore.After(now)).To(BeFalse())
						if i.Resources.MilliCPU > available {
							return admission.NoCapacity
						}
						return admission.Started
					})
					eligible := false
					for _, w := range waiting {
						eligible = eligible || (w.Resources.MilliCPU <= available && !w.NotBefore.After(now))
					}
					g.Expect(ok).To(Equal(eligible))
					if ok {
						checkRemoved(i)
					}
				}
				count := 0
				for i := range q.All() {
					g.Expect(waiting).To(HaveKeyWithValue(i.Request.ID, i))
					count++
				}
				g.Expect(count).To(Equal(len(waiting)))
				g.Expect(q.Len(1) + q.Len(2) + q.Len(3)).To(Equal(count))
			}
		})
	})

	// Guards against a wrong order, in which a waiting customer's urgent request waits
	// for a background one, or one team crowds out the others.
	It("orders by class, fair share and deadline", func() {
		urgent := func(i *admission.Item) { i.Request.Class = model.ClassUrgent; deadline(90)(i) }
		other := func(i *admission.Item) { i.Request.Team = "b"; deadline(80)(i) }
		tests := []struct {
			teamAShare float64
			order      []string
		}{
			{0.5, []string{"urgent", "soon", "late", "other"}},
			{0.6, []string{"urgent", "other", "soon", "late"}},
		}
		for _, test := range tests {
			q := admission.NewQueue(admission.DefaultOptions(), func(m model.Team) float64 {
				return map[model.Team]float64{"a": test.teamAShare}[m]
			})
			for _, i := range []*admission.Item{newItem("late", deadline(70)), newItem("other", other), newItem("soon", deadline(50)), newItem("urgent", urgent)} {
				Expect(q.Push(epoch, i)).To(Succeed())
			}
			Expect(popAll(q, epoch)).To(Equal(test.order))
		}
	})

	// Guards against a steady flow of urgent items that starves all others.
	It("starts items of less urgent classes after a long wait", func() {
		q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
		Expect(q.Push(epoch, newItem("old", deadline(900)))).To(Succeed())
		now := epoch.Add(time.Minute)
		for k := range 32 {
			Expect(q.Push(now, newItem(fmt.Sprint(k), func(i *admission.Item) {
				i.Request.Class = model.ClassUrgent
				deadline(600)(i)
			}))).To(Succeed())
		}
		Expect(popAll(q, now)[:16]).To(ContainElement("old"))
	})

	// Guards against head-of-line blocking by a large item, and against smaller items
	// that bypass it forever.
	It("reports a large item that was bypassed as starved", func() {
		o := admission.DefaultOptions()
		o.StarvationSeconds = 10
		q := admission.NewQueue(o, zeroShare)
		large := newItem("large", func(i *admission.Item) { i.Resources.MilliCPU = 9000; deadline(30)(i) })
		Expect(q.Push(epoch, large)).To(Succeed())
		now := epoch.Add(20 * time.Second)
		startSmall := func(i *admission.Item) admission.StartResult {
			if i.Resources.MilliCPU > 1000 {
				return admission.NoCapacity
			}
			return admission.Started
		}
		for k := range 8 {
			_, starved := q.StarvedItem()
			Expect(starved).To(BeFalse())
			Expect(q.Push(now, newItem(fmt.Sprint(k), func(i *admission.Item) { i.EnqueuedAt = now }))).To(Succeed())
			_, ok := q.PopNext(now, startSmall)
			Expect(ok).To(BeTrue())
		}
		i, ok := q.StarvedItem()
		Expect(ok).To(BeTrue())
		Expect(i).To(BeIdenticalTo(large))
		q.MarkHeld(i)
		Expect(q.Push(now, newItem("urgent", func(i *admission.Item) { i.Request.Class = model.ClassUrgent }))).To(Succeed())
		i, _ = q.PopNext(now, startAlways)
		Expect(i).To(BeIdenticalTo(large))
	})

	// Guards against a queue that grows until the process runs out of memory, and
	// against one team that fills it.
	It("limits classes, teams and workloads", func() {
		o := admission.DefaultOptions()
		o.ClassLimits = [model.ClassCount]int{2, 4, 4}
		q := admission.NewQueue(o, zeroShare)
		q.SetDocument(&document.Document{Teams: []document.TeamSection{{
			Team: "b", Workloads: []document.Workload{{Name: "w", MaxQueued: 1}},
		}}})
		ofB := func(i *admission.Item) { i.Request.Team = "b" }
		ofC := func(i *admission.Item) { i.Request.Team = "c" }
		retry := func(i *admission.Item) { i.Attempts = 1 }
		tests := []struct {
			item *admission.Item
			want error
		}{
			{newItem("1", nil), nil},
			{newItem("1", nil), admission.ErrDuplicate},
			{newItem("2", nil), nil},
			{newItem("3", nil), &admission.QueueFullError{Class: model.ClassStandard, Team: "a", Limit: 2}},
			{newItem("4", ofB), nil},
			{newItem("5", ofB), &admission.QueueFullError{Class: model.ClassStandard, Team: "b", Workload: "w", Limit: 1}},
			{newItem("6", ofC), nil},
			{newItem("7", ofC), &admission.QueueFullError{Class: model.ClassStandard, Limit: 4}},
			{newItem("8", retry), nil},
		}
		for _, test := range tests {
			if test.want == nil {
				Expect(q.Push(epoch, test.item)).To(Succeed())
			} else {
				Expect(q.Push(epoch, test.item)).To(MatchError(test.want))
			}
		}
	})

	// Guards against a late refusal: a deadline that cannot be met is refused at once.
	// Also guards against a refusal because of a low rate of starts that only reflects
	// low demand.
	It("refuses a request that cannot start in time", func() {
		q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
		request := func(seconds int) *model.Request { return newItem("new", deadline(seconds)).Request }
		refusal, _ := q.CanAdmit(epoch, request(0))
		Expect(refusal).To(Equal(admission.RefusalDeadlinePassed))
		Expect(q.Push(epoch.Add(-time.Hour), newItem("first", nil))).To(Succeed())
		Expect(popAll(q, epoch.Add(-time.Hour))).To(HaveLen(1)) // the hour without waiting items does not count
		for k := range 30 {
			Expect(q.Push(epoch, newItem(fmt.Sprint(k), deadline(100+k)))).To(Succeed())
		}
		_, ok := q.CanAdmit(epoch, request(1))
		Expect(ok).To(BeTrue())
		for k := range 10 { // one start in each second
			_, ok := q.PopNext(epoch.Add(time.Duration(k+1)*time.Second), startAlways)
			Expect(ok).To(BeTrue())
		}
		now := epoch.Add(10 * time.Second)
		tests := []struct {
			seconds int
			want    admission.Refusal
		}{
			{13, admission.RefusalNone},       // starts before all others
			{10 + 115, admission.RefusalNone}, // 15 items go first, 115 s are left
			{10 + 200, admission.RefusalNone},
		}
		for _, test := range tests {
			refusal, _ := q.CanAdmit(now, request(test.seconds))
			Expect(refusal).To(Equal(test.want))
		}
		seconds, _ := q.EstimateWaitSeconds(now, request(125))
		Expect(seconds).To(BeNumerically("~", 15, 1))
		late := epoch.Add(98 * time.Second) // no start for 88 s
		refusal, _ = q.CanAdmit(late, request(128))
		Expect(refusal).To(Equal(admission.RefusalWaitTooLong))
	})

	// Guards against a placement decision for each item that needs at least as much as
	// one that found no capacity.
	It("tries no item that needs more than one without capacity", func() {
		q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
		for k := range 20 {
			Expect(q.Push(epoch, newItem(fmt.Sprint(k), func(i *admission.Item) {
				i.Resources.MilliCPU += int64(k / 2)
				deadline(10 + k)(i)
			}))).To(Succeed())
		}
		calls := 0
		_, ok := q.PopNext(epoch, func(*admission.Item) admission.StartResult { calls++; return admission.NoCapacity })
		Expect(ok).To(BeFalse())
		Expect(calls).To(Equal(1))
	})

	// Guards against calls of PopNext whose cost grows faster than the logarithm of the
	// queue length.
	It("tries a limited number of shapes", func() {
		examined := map[int]float64{}
		for _, size := range []int{100, 1_000, 10_000} {
			q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
			for k := range size {
				Expect(q.Push(epoch, newItem(fmt.Sprint(k), func(i *admission.Item) {
					i.Request.Team = model.Team(fmt.Sprint(k % 4))
					i.Resources = model.Resources{MilliCPU: int64(1 + k), MemoryBytes: int64(size - k)}
				}))).To(Succeed())
			}
			calls := 0
			for range 10 {
				_, ok := q.PopNext(epoch, func(*admission.Item) admission.StartResult { calls++; return admission.NoCapacity })
				Expect(ok).To(BeFalse())
			}
			examined[size] = float64(calls) / 10
		}
		AddReportEntry("calls of tryStart per call of PopNext, by queue length", examined)
		Expect(examined[10_000] / examined[100]).To(BeNumerically("<=", math.Log(10_000)/math.Log(100)))
	})

	// Guards against bursts of thousands of cancellations that take quadratic time.
	// Each cancellation follows one path in the treap, whose length must stay within a
	// few logarithms of the queue length.
	It("keeps the treap paths to its items short", func() {
		for _, size := range []int{100, 1_000, 10_000} {
			q := admission.NewQueue(admission.DefaultOptions(), zeroShare)
			for k := range size { // deadlines in ascending order
				Expect(q.Push(epoch, newItem(fmt.Sprint(k), deadline(k+1)))).To(Succeed())
			}
			for k := 0; k < size; k += 2 {
				_, ok := q.Remove(model.RequestID(fmt.Sprint(k)), 0)
				Expect(ok).To(BeTrue())
			}
			Expect(q.PathLength(int(model.ClassStandard))).To(BeNumerically("<=", 4*math.Log2(float64(size))))
		}
	})
})
