package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/admission"
	"fuchsiacross/document"
	"fuchsiacross/model"
)

var _ = Describe("Quota", func() {
	// Guards against a team that exceeds its quota and uses what others paid for.
	It("limits every dimension that has a quota", func() {
		q := admission.NewQuota()
		huge := model.Resources{MilliCPU: 1 << 40}
		Expect(q.Allows("a", huge, model.Resources{})).To(BeTrue(), "no document is known")
		q.Charge("a", model.Resources{MilliCPU: 3000, Slots: 9})
		q.SetDocument(&document.Document{Teams: []document.TeamSection{{Team: "a", Quota: model.Resources{MilliCPU: 8000, MemoryBytes: 100}}}})
		tests := []struct {
			team              model.Team
			amount, elsewhere model.Resources
			want              bool
		}{
			{"a", model.Resources{MilliCPU: 5000}, model.Resources{}, true},
			{"a", model.Resources{MilliCPU: 5001}, model.Resources{}, false},
			{"a", model.Resources{MilliCPU: 5000}, model.Resources{MilliCPU: 1}, false},
			{"a", model.Resources{MemoryBytes: 101}, model.Resources{}, false},
			{"a", model.Resources{MemoryBytes: 100}, model.Resources{MilliCPU: 9000}, true},
			{"a", model.Resources{Slots: 100}, model.Resources{}, true},
			{"b", model.Resources{MilliCPU: 1}, model.Resources{}, false},
		}
		for _, test := range tests {
			Expect(q.Allows(test.team, test.amount, test.elsewhere)).To(Equal(test.want))
		}
		Expect(q.DominantShare("a", model.Resources{MilliCPU: 6000})).To(Equal(0.5))
		q.Release("a", model.Resources{MilliCPU: 3000, Slots: 9})
		Expect(q.Used("a").IsZero()).To(BeTrue())
	})
})

var _ = Describe("RetryBudget", func() {
	// Guards against a retry storm after the loss of a data centre.
	It("allows a fraction of the recent first attempts and a minimum", func() {
		b := admission.NewRetryBudget(0.1)
		allowed := func(now time.Time) int {
			count := 0
			for b.AllowRetry(now) {
				count++
			}
			return count
		}
		Expect(allowed(epoch)).To(Equal(3))
		for range 100 {
			b.RecordFirstAttempt(epoch)
		}
		Expect(allowed(epoch)).To(Equal(10))
		Expect(allowed(epoch.Add(10*time.Second))).To(Equal(1), "half of the 3 earlier minimum retries still count")
		Expect(allowed(epoch.Add(time.Hour))).To(Equal(3))
	})

	// Guards against synchronized retries, which reach a recovering store at the same
	// time.
	It("limits the delays and adds jitter", func() {
		tests := []struct {
			attempt uint32
			random  uint64
			want    time.Duration
		}{
			{2, 0, 10 * time.Millisecond},
			{2, uint64(10 * time.Millisecond), 20 * time.Millisecond},
			{5, 0, 80 * time.Millisecond},
			{1 << 31, 0, 2500 * time.Millisecond},
			{60, uint64(2500 * time.Millisecond), 5 * time.Second},
		}
		for _, test := range tests {
			Expect(admission.Backoff(test.attempt, test.random)).To(Equal(test.want))
		}
	})
})
