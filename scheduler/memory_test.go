package scheduler_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// maxBodyBytes is the limit of the bodies at each instance of a testCell.
const maxBodyBytes = 1 << 20

// Guards against requests that wait in memory with bodies that together exceed it, and against
// bodies that are kept after the outcome is known.
var _ = Describe("bodies of waiting requests", func() {
	It("are bounded, and released with the outcome", func() {
		c := newTestCell(7, 1, 0, smallWorker)
		c.run(2 * time.Second)
		submit := func(id string) *call {
			q := c.newRequest(id, model.KindRequest, model.ClassUrgent, true, time.Second)
			q.Body = make([]byte, maxBodyBytes/4)
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
			Expect(further.reject.Place).To(Equal("body"))
			c.run(2 * time.Second)
		}
		Expect(c.recorder.faults).To(BeEmpty())
	})
})
