package startwindow_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/startwindow"
)

func TestStartWindow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "startwindow")
}

var _ = Describe("Window", func() {
	const limit = 32
	begin := time.Unix(1_796_600_000, 0)
	// send sends starts for a while, of which one in lostInterval gets no answer (none if
	// zero) and the others get theirs after answerTime.
	send := func(w *startwindow.Window, from time.Time, duration, answerTime time.Duration, lostInterval int) time.Time {
		type sent struct {
			start *startwindow.Start
			at    time.Time
		}
		var waiting []sent
		count := 0
		now := from
		for ; now.Before(from.Add(duration)); now = now.Add(5 * time.Millisecond) {
			for len(waiting) > 0 && !now.Before(waiting[0].at.Add(answerTime)) {
				w.Answer(waiting[0].start, now)
				waiting = waiting[1:]
			}
			if w.HasCapacity(now) {
				s := w.Add(now)
				if count++; lostInterval == 0 || count%lostInterval != 0 {
					waiting = append(waiting, sent{s, now})
				}
			}
		}
		return now
	}

	// With a saturated link, each burst of starts timed out and its runs were done twice.
	It("halves its limit while starts are overdue and recovers within seconds", func() {
		w := startwindow.New(limit)
		now := send(&w, begin, 2*time.Second, 400*time.Millisecond, 0)
		Expect(w.Limit(now)).To(Equal(limit / 2))
		now = send(&w, now, 3*time.Second, 20*time.Millisecond, 0)
		Expect(w.Limit(now)).To(Equal(limit))
	})

	// A few lost answers say nothing about the leader.
	It("keeps its limit while one start in twenty gets no answer", func() {
		w := startwindow.New(limit)
		now := send(&w, begin, 5*time.Second, 20*time.Millisecond, 20)
		Expect(w.Limit(now)).To(Equal(limit))
	})

	// Without starts, nothing would show the recovery.
	It("recovers without new starts", func() {
		w := startwindow.New(limit)
		now := send(&w, begin, 2*time.Second, time.Second, 0)
		Expect(w.Limit(now.Add(3 * time.Second))).To(Equal(limit))
	})

	It("limits the pending starts, each for a tenth of a second", func() {
		w := startwindow.New(1)
		s := w.Add(begin)
		Expect(w.HasCapacity(begin.Add(99 * time.Millisecond))).To(BeFalse())
		w.Answer(s, begin.Add(99*time.Millisecond))
		Expect(w.HasCapacity(begin.Add(99 * time.Millisecond))).To(BeTrue())
		w.Add(begin.Add(99 * time.Millisecond))
		Expect(w.HasCapacity(begin.Add(199 * time.Millisecond))).To(BeTrue())
	})
})
