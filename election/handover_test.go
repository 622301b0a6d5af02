package election_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/election"
)

var _ = Describe("Handovers", func() {
	start := time.Unix(1_796_600_000, 0)
	// yieldTimes returns when an instance yields within a time that wants to all the time.
	yieldTimes := func(h *election.Handovers, from time.Time, limit time.Duration) []time.Duration {
		var times []time.Duration
		for now := from; now.Before(from.Add(limit)); now = now.Add(time.Second) {
			if h.Allows(now) {
				h.Record(now)
				times = append(times, now.Sub(from))
			}
		}
		return times
	}

	// A leader yielded once only, so that it kept the leadership although a larger instance
	// had joined or become normal again. Without the delay, two leaders would alternate.
	It("are allowed again after a delay that doubles up to 80 s", func() {
		var h election.Handovers
		Expect(yieldTimes(&h, start, 240*time.Second)).To(Equal([]time.Duration{
			0, 10 * time.Second, 30 * time.Second, 70 * time.Second, 150 * time.Second, 230 * time.Second,
		}))
	})

	It("begin with the shortest delay again after a quiet time", func() {
		var h election.Handovers
		yieldTimes(&h, start, 60*time.Second)
		Expect(yieldTimes(&h, start.Add(5*time.Minute), 20*time.Second)).To(Equal([]time.Duration{0, 10 * time.Second}))
	})
})
