package worker_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/workerstandin"
)

// startAnswers counts the events about the start and the end of one attempt.
type startAnswers struct{ started, refused, uncertain, finished int }

func (h *harness) countAnswers() map[model.Attempt]startAnswers {
	found := map[model.Attempt]startAnswers{}
	for _, e := range h.postedEvents() {
		switch e := e.(type) {
		case event.TaskStarted:
			a := found[e.Attempt]
			a.started++
			found[e.Attempt] = a
		case event.StartRefused:
			a := found[e.Attempt]
			a.refused++
			found[e.Attempt] = a
		case event.StartUncertain:
			a := found[e.Attempt]
			a.uncertain++
			found[e.Attempt] = a
		case event.TaskFinished:
			a := found[e.Attempt]
			a.finished++
			found[e.Attempt] = a
		}
	}
	return found
}

var _ = Describe("Client under random faults", func() {
	// Guards against a start without exactly one answer, whose request is lost or
	// settled twice, and against a refused start that ran, whose request is reported
	// as not run. Random faults hit the worker while 300 tasks start.
	It("answers each start once and never refuses one that ran", func() {
		for seed := range uint64(4) {
			random := rand.New(rand.NewPCG(seed, 0))
			h := newHarness(nil)
			h.acquireLease()
			faults := []workerstandin.Faults{
				{},
				{CutAfterStart: 2},
				{Unreachable: true},
				{AnswerDelayMilliseconds: 5},
				{Paused: true},
			}
			attempts := map[model.Attempt]bool{}
			for i := range 300 {
				switch i % 20 {
				case 0:
					h.standin.SetFaults(workerstandin.Faults{})
					h.waitUntilRecovered()
				case 10:
					h.standin.SetFaults(faults[random.IntN(len(faults))])
				case 15:
					if random.IntN(4) == 0 {
						h.standin.Crash()
					}
				}
				a := model.Attempt{Request: model.RequestID(fmt.Sprintf("r%d", i)), Number: 1}
				attempts[a] = true
				start := newStartTask(bothTaskKinds[random.IntN(2)], a, h.latestTerm(), `{"run_milliseconds": 1}`)
				start.AnswerBy = time.Now().Add(time.Second)
				h.client.Apply(start)
				time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
			}
			h.standin.SetFaults(workerstandin.Faults{})
			Eventually(func() int {
				found := h.countAnswers()
				n := 0
				for a := range attempts {
					if found[a] != (startAnswers{}) {
						n++
					}
				}
				return n
			}, 5*time.Second, 50*time.Millisecond).Should(Equal(len(attempts)))
			time.Sleep(50 * time.Millisecond)
			total := startAnswers{}
			for a, got := range h.countAnswers() {
				if !attempts[a] {
					continue // started by waitUntilRecovered
				}
				Expect(got.started+got.refused+got.uncertain).To(Equal(1), "seed %d, %s: %+v", seed, a, got)
				ran := len(h.recorder.StartsOf(a.Request)) // of the one attempt
				Expect(ran).To(BeNumerically("<=", 1))
				if got.refused > 0 {
					Expect(ran).To(BeZero(), "seed %d, %s was refused and ran", seed, a)
				}
				total.started += got.started
				total.refused += got.refused
				total.uncertain += got.uncertain
				total.finished += got.finished
			}
			fmt.Fprintf(GinkgoWriter, "seed %d: %+v\n", seed, total)
			Expect(h.recorder.Violations()).To(BeEmpty())
		}
	})
})

// waitUntilRecovered waits until the worker starts tasks again.
func (h *harness) waitUntilRecovered() {
	GinkgoHelper()
	probe := uint32(0)
	Eventually(func() bool {
		probe++
		h.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
		a := model.Attempt{Request: "probe", Task: probe, Number: uint32(len(h.postedEvents()) + 1)}
		h.client.Apply(newStartTask(model.KindBatch, a, h.latestTerm(), ""))
		time.Sleep(5 * time.Millisecond)
		return h.countAnswers()[a].started > 0
	}, 5*time.Second).Should(BeTrue())
}

func (h *harness) latestTerm() model.Term {
	var term model.Term
	for _, e := range h.postedEvents() {
		if granted, ok := e.(event.LeaseGranted); ok {
			term = granted.Term
		}
	}
	return term
}
