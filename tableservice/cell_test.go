package tableservice_test

import (
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
	"fuchsiacross/tableservice"
	"fuchsiacross/tableservicestandin"
)

// holder appends acceptances to one partition at a rate, as a reducer would.
type holder struct {
	instance  *instance
	partition *requestjournal.Partition
	budget    *requestjournal.WriteBudget
	appended  int
	committed int
}

func newHolder(p *tableservicestandin.Platform, id model.Partition, share float64) *holder {
	i := connect(p, func(o *tableservice.Options) {
		o.Self = model.InstanceID(fmt.Sprintf("entry-%d", id))
		o.ListIntervalMilliseconds = 500
	})
	loaded := i.load(id)
	return &holder{
		instance:  i,
		partition: requestjournal.Open(id, loaded.Version, loaded.Records),
		budget:    requestjournal.NewWriteBudget(time.Now(), share),
	}
}

// run appends one record at each interval until stop and then until all are
// committed.
func (h *holder) run(interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for stop != nil || h.committed < h.appended {
		select {
		case <-ticker.C:
			if stop == nil {
				break
			}
			id := model.RequestID(fmt.Sprintf("p-%d-%d", h.partition.ID(), h.appended))
			h.appended++
			h.partition.Append(time.Now(), request(id, 10)[0])
		case e := <-h.instance.events:
			h.answer(e)
		case <-stop:
			stop = nil
		}
		if b, ok := h.partition.NextBatch(time.Now(), h.budget); ok {
			h.instance.Apply(event.CommitJournal{Partition: h.partition.ID(), Version: b.Version, Records: b.Records})
		}
	}
}

func (h *holder) answer(e event.Event) {
	done, ok := e.(event.CommitDone)
	if !ok {
		return
	}
	switch done.Result {
	case event.CommitApplied:
		h.committed += len(h.partition.HandleCommitted(done.Version))
	case event.CommitFailed:
		h.partition.HandleFailed()
	case event.CommitConflict:
		panic("another writer")
	}
}

var _ = Describe("Cell", func() {
	// An outage must cost few calls while it lasts, and its backlog must neither
	// be lost nor overload the store when it returns. Lost answers must not make
	// a record durable twice.
	It("returns from an outage within its limits", func() {
		p := standIn()
		const instances, share = 7, 200.0 / 7
		var (
			holders []*holder
			wait    sync.WaitGroup
			stop    = make(chan struct{})
		)
		for i := range instances {
			holders = append(holders, newHolder(p, model.Partition(i), share))
		}
		for _, h := range holders {
			wait.Go(func() { h.run(7*time.Millisecond, stop) })
		}
		p.SetFaults(tableservicestandin.Faults{LoseAnswerFraction: 0.1})
		time.Sleep(2 * time.Second)
		p.SetFaults(tableservicestandin.Faults{Down: true})
		time.Sleep(time.Second)
		p.ResetCounters()
		time.Sleep(3 * time.Second)
		down := p.Counters()
		p.SetFaults(tableservicestandin.Faults{})
		p.ResetCounters()
		time.Sleep(2 * time.Second)
		close(stop)
		wait.Wait()
		back := p.Counters()
		GinkgoWriter.Printf("down: %+v\nback: %+v\n", down, back)
		Expect(float64(down.Calls) / down.Seconds / instances).To(BeNumerically("<", 4))
		Expect(back.PeakWrites).To(BeNumerically("<", 300))
		Expect(back.PeakReads).To(BeNumerically("<", 1000))
		for _, h := range holders {
			loaded := connect(p).load(h.partition.ID())
			Expect(loaded.Records).To(HaveLen(h.appended))
			for i, r := range loaded.Records {
				Expect(r.ID).To(Equal(model.RequestID(fmt.Sprintf("p-%d-%d", h.partition.ID(), i))))
			}
		}
	})
})
