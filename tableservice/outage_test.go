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

// journalWriter appends records of accepted requests to one partition at a rate, as
// the reducer does.
type journalWriter struct {
	client    *testClient
	partition *requestjournal.Partition
	budget    *requestjournal.WriteBudget
	appended  int
	committed int
}

func newJournalWriter(p *tableservicestandin.Platform, id model.Partition, writesPerSecond float64) *journalWriter {
	client := startClient(p, func(o *tableservice.Options) {
		o.Self = model.InstanceID(fmt.Sprintf("entry-%d", id))
		o.ListIntervalMilliseconds = 500
	})
	loaded := client.load(id)
	return &journalWriter{
		client:    client,
		partition: requestjournal.Open(id, loaded.Version, loaded.Records),
		budget:    requestjournal.NewWriteBudget(time.Now(), writesPerSecond),
	}
}

// run appends one record per interval until stop is closed, and returns when all
// records are committed.
func (w *journalWriter) run(interval time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for stop != nil || w.committed < w.appended {
		select {
		case <-ticker.C:
			if stop == nil {
				break
			}
			id := model.RequestID(fmt.Sprintf("p-%d-%d", w.partition.ID(), w.appended))
			w.appended++
			w.partition.Append(time.Now(), requestRecords(id, 10)[0])
		case e := <-w.client.events:
			w.handleEvent(e)
		case <-stop:
			stop = nil
		}
		if b, ok := w.partition.NextBatch(time.Now(), w.budget); ok {
			w.client.Apply(event.CommitJournal{Partition: w.partition.ID(), Version: b.Version, Records: b.Records})
		}
	}
}

func (w *journalWriter) handleEvent(e event.Event) {
	done, ok := e.(event.CommitDone)
	if !ok {
		return
	}
	switch done.Result {
	case event.CommitApplied:
		w.committed += len(w.partition.HandleCommitted(done.Version))
	case event.CommitFailed:
		w.partition.HandleFailed()
	case event.CommitConflict:
		panic("another writer")
	}
}

var _ = Describe("Outage", func() {
	// Guards against calls that overload a store during an outage, against a backlog
	// that overloads it after the outage or is lost, and against records that are
	// written twice because answers were lost.
	It("stays within the call limits during and after an outage", func() {
		p := startStandIn()
		const instanceCount, writesPerInstance = 7, 200.0 / 7
		var (
			writers []*journalWriter
			wait    sync.WaitGroup
			stop    = make(chan struct{})
		)
		for i := range instanceCount {
			writers = append(writers, newJournalWriter(p, model.Partition(i), writesPerInstance))
		}
		for _, w := range writers {
			wait.Go(func() { w.run(7*time.Millisecond, stop) })
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
		Expect(float64(down.Calls) / down.Seconds / instanceCount).To(BeNumerically("<", 4))
		Expect(back.PeakWrites).To(BeNumerically("<", 300))
		Expect(back.PeakReads).To(BeNumerically("<", 1000))
		for _, w := range writers {
			loaded := startClient(p).load(w.partition.ID())
			Expect(loaded.Records).To(HaveLen(w.appended))
			for i, r := range loaded.Records {
				Expect(r.ID).To(Equal(model.RequestID(fmt.Sprintf("p-%d-%d", w.partition.ID(), i))))
			}
		}
	})
})
