package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// maxRequestBytes is the limit of the memory of requests at each instance of a testCell.
const maxRequestBytes = 1 << 20

// Guards against requests that together exceed the memory, and against bodies that are kept after
// the outcome is known.
var _ = Describe("memory of requests", func() {
	It("is bounded, and that of bodies released with the outcome", func() {
		c := newTestCell(7, 1, 0, smallWorker)
		c.run(2 * time.Second)
		submit := func(id string) *call {
			q := c.newRequest(id, model.KindRequest, model.ClassUrgent, true, time.Second)
			q.Body = make([]byte, maxRequestBytes/5)
			q.BodyLength = int64(len(q.Body))
			q.Deadline = c.now.Add(time.Second)
			token := c.nodes[0].submit(q, true)
			c.run(100 * time.Millisecond)
			return c.recorder.calls[token]
		}
		for round := range 3 {
			for n := range 4 {
				Expect(submit(fmt.Sprintf("q%d-%d", round, n)).reject).To(BeNil())
			}
			further := submit(fmt.Sprintf("q%d-further", round))
			Expect(further.reject).NotTo(BeNil())
			Expect(further.reject.Code).To(Equal(event.CodeExhausted))
			c.run(2 * time.Second)
		}
		Expect(c.recorder.faults).To(BeEmpty())
	})

	// A request of many tasks is small until it is accepted.
	It("is bounded by their tasks, also before the acceptance is committed", func() {
		c := newTestCell(7, 1, 0, smallWorker)
		c.run(2 * time.Second)
		var calls []*call
		for n := range 4 {
			q := c.newRequest(fmt.Sprintf("q%d", n), model.KindBatch, model.ClassStandard, true, time.Second)
			q.Tasks = 500
			calls = append(calls, c.recorder.calls[c.nodes[0].submit(q, false)])
		}
		c.run(time.Second)
		rejected := 0
		for _, made := range calls {
			if made.reject != nil {
				Expect(made.reject.Code).To(Equal(event.CodeExhausted))
				rejected++
			}
		}
		Expect(rejected).To(Equal(1))
	})
})
