package worker_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Limits for the traffic between an instance and a worker. The whole cell may
// use 250 bytes and 4 messages for each start; this hop should stay well below
// 150 bytes.
const (
	maxBytesPerStart    = 150
	maxMessagesPerStart = 4
)

// startCost is the traffic of one start without its body and answer.
type startCost struct {
	bytes, messages float64
}

// measureStarts runs tasks one after the other, acknowledges them and returns
// the average cost of a start. It includes renewals and usage reports.
func (h *harness) measureStarts(kind model.Kind, term model.Term, count int) startCost {
	GinkgoHelper()
	body := `{"run_milliseconds": 0}`
	payload := 0
	before := h.readCounters()
	for i := range count {
		a := h.startTask(kind, model.RequestID(fmt.Sprintf("check-%08d", i)), term, body)
		payload += len(body) + len(a.Request) // the answer is the request identifier
		finished := i + 1
		Eventually(func() int { return countEvents[event.TaskFinished](h) }, time.Second, 50*time.Microsecond).Should(Equal(finished))
		h.client.Apply(event.AcknowledgeTask{Worker: "w1", Attempt: a})
	}
	time.Sleep(150 * time.Millisecond) // until the last acknowledgements are sent
	after := h.readCounters()
	return startCost{
		bytes:    float64(after.bytes-before.bytes-int64(payload)) / float64(count),
		messages: float64(after.messages-before.messages) / float64(count),
	}
}

type counters struct{ bytes, messages int64 }

func (h *harness) readCounters() counters {
	value := func(name string) int64 { return h.registry.Get(name).(metrics.Counter).Count() }
	return counters{
		bytes:    value("worker.bytes_sent") + value("worker.bytes_received"),
		messages: value("worker.messages_sent") + value("worker.messages_received"),
	}
}

var _ = Describe("Traffic", func() {
	// Guards against traffic above the limits. Headers that vary from call to call,
	// compression of small messages and split frames would each use a large part of
	// the cell's budget.
	It("stays within the limits of bytes and messages for each start", func() {
		for _, kind := range []model.Kind{model.KindRequest, model.KindBatch} {
			h := newHarness(nil)
			cost := h.measureStarts(kind, h.acquireLease().Term, 400)
			fmt.Fprintf(GinkgoWriter, "%s: %.0f bytes, %.2f messages per start\n", kind, cost.bytes, cost.messages)
			Expect(cost.bytes).To(BeNumerically("<=", maxBytesPerStart))
			Expect(cost.messages).To(BeNumerically("<=", maxMessagesPerStart))
		}
	})
})
