package tableservice_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
	"fuchsiacross/tableservice"
	"fuchsiacross/tableservicestandin"
)

var _ = Describe("Journal", func() {
	// Guards against records that are loaded changed or out of order: a request could
	// then run twice, or its caller could get another answer.
	It("loads the committed records in order", func() {
		p := startStandIn()
		a := startClient(p)
		Expect(a.load(12).Records).To(BeEmpty())
		var records []requestjournal.Record
		version := requestjournal.Version(0)
		for i := range 20 {
			batch := requestRecords(model.RequestID(fmt.Sprintf("r-%d", i)), i*1000+1)
			done := a.commit(12, version, batch...)
			Expect(done.Result).To(Equal(event.CommitApplied))
			version = done.Version
			records = append(records, batch...)
		}
		puts := p.Counters()
		Expect(puts.Writes-puts.Commits).To(BeEquivalentTo(15), "one object for each batch with a long answer")
		loaded := startClient(p).load(12)
		Expect(loaded.Version).To(Equal(version))
		Expect(loaded.Records).To(Equal(records))
	})

	// Guards against one object write per long answer, which would use up the write
	// budget, and against compactions that store all long answers again.
	It("packs long answers into one object and stores them once", func() {
		p := startStandIn()
		a := startClient(p)
		var records []requestjournal.Record
		for i := range 100 {
			records = append(records, requestRecords(model.RequestID(fmt.Sprintf("r-%d", i)), 5000+i)...)
		}
		done := a.commit(1, 0, records...)
		Expect(done.Result).To(Equal(event.CommitApplied))
		Expect(a.compact(1, done.Version, records...).Result).To(Equal(event.CommitApplied))
		b := startClient(p)
		Expect(b.load(1).Records).To(Equal(records))
		Expect(b.compact(1, done.Version+1, records...).Result).To(Equal(event.CommitApplied))
		Expect(startClient(p).load(1).Records).To(Equal(records))
		writes := p.Counters()
		Expect(writes.Writes - writes.Commits).To(BeEquivalentTo(1))
	})

	// Guards against a batch that can never be committed because it does not fit into
	// one row.
	It("splits a long batch into several rows of one transaction", func() {
		p := startStandIn()
		a := startClient(p)
		var records []requestjournal.Record
		for i := range 300 {
			records = append(records, requestRecords(model.RequestID(fmt.Sprintf("r-%d", i)), 4000)...)
		}
		Expect(a.commit(1, 0, records...).Result).To(Equal(event.CommitApplied))
		Expect(p.Counters().Commits).To(BeEquivalentTo(1))
		Expect(startClient(p).load(1).Records).To(Equal(records))
	})

	// Guards against an append by a holder that was replaced: the old holder could start
	// a request that the new holder takes as not started.
	It("refuses appends of a stale holder", func() {
		p := startStandIn()
		a, b := startClient(p), startClient(p, func(o *tableservice.Options) { o.Self = "entry-2" })
		Expect(a.load(1).Version).To(BeZero())
		Expect(b.load(1).Version).To(BeZero())
		first := a.commit(1, 0, claimRecord("entry-1"))
		Expect(first.Result).To(Equal(event.CommitApplied))
		Expect(b.commit(1, 0, claimRecord("entry-2")).Result).To(Equal(event.CommitConflict))
		loaded := b.load(1)
		Expect(loaded.Records).To(Equal([]requestjournal.Record{claimRecord("entry-1")}))
		paused := startClient(p)
		paused.load(1)
		taken := b.commit(1, loaded.Version, claimRecord("entry-2"))
		Expect(taken.Result).To(Equal(event.CommitApplied))
		Expect(a.commit(1, first.Version, requestRecords("r", 1)...).Result).To(Equal(event.CommitConflict))

		// The append also fails if the new holder has compacted the journal, although
		// the rows that the stale holder would write do not exist any more.
		compacted := b.compact(1, taken.Version, claimRecord("entry-2"))
		Expect(compacted.Result).To(Equal(event.CommitApplied))
		Expect(paused.commit(1, first.Version, requestRecords("r", 1)...).Result).To(Equal(event.CommitConflict))
		Expect(a.commit(1, taken.Version, requestRecords("r", 1)...).Result).To(Equal(event.CommitConflict))
		Expect(a.load(1).Records).To(Equal([]requestjournal.Record{claimRecord("entry-2")}))
		Expect(p.Rows("journal/1/0")).To(HaveLen(1))
	})

	// A transaction deletes at most 1000 rows. Guards against old records or rows that
	// remain after the compaction of a journal with more batches.
	It("compacts a journal with more batches than one transaction deletes", func() {
		p := startStandIn()
		a := startClient(p)
		version := a.load(3).Version
		for range 1100 {
			version = a.commit(3, version, claimRecord("entry-1")).Version
		}
		version = a.compact(3, version, requestRecords("live", 10)...).Version
		Expect(p.Rows("journal/3/0")).To(HaveLen(101))
		b := startClient(p)
		loaded := b.load(3)
		Expect(loaded.Records).To(Equal(requestRecords("live", 10)))
		Expect(b.commit(3, loaded.Version, claimRecord("entry-1")).Result).To(Equal(event.CommitApplied))
		Expect(p.Rows("journal/3/0")).To(HaveLen(2))
		Expect(version).To(Equal(loaded.Version))
	})

	// Guards against a wrong result of a commit whose answer is lost. If it is wrongly
	// reported as failed, records are appended twice; if it is wrongly reported as
	// applied, a request is lost although its acceptance was acknowledged.
	It("resolves a commit whose answer is lost", func() {
		tests := []struct {
			faults tableservicestandin.Faults
			result event.CommitResult
			rows   int
		}{
			{tableservicestandin.Faults{LoseAnswers: 1}, event.CommitApplied, 2},
			{tableservicestandin.Faults{DropRequests: 1}, event.CommitFailed, 0},
		}
		for _, test := range tests {
			p := startStandIn()
			a := startClient(p)
			a.load(1)
			p.SetFaults(test.faults)
			done := a.commit(1, 0, requestRecords("r", 1)...)
			Expect(done.Result).To(Equal(test.result))
			Expect(p.Rows("journal/1/")).To(HaveLen(test.rows))
			Expect(a.counterValue("resolved")).To(BeEquivalentTo(1))
			Expect(a.commit(1, done.Version, requestRecords("r", 1)...).Result).To(Equal(event.CommitApplied))
		}
	})

	// Guards against a partition that stays blocked because the store is slower than the
	// timeout of a commit.
	It("resolves a commit if the store is slow", func() {
		p := startStandIn()
		a := startClient(p)
		a.load(1)
		p.SetFaults(tableservicestandin.Faults{DelayMilliseconds: 700})
		done := a.commit(1, 0, claimRecord("entry-1"))
		Expect(done.Result).To(BeElementOf(event.CommitApplied, event.CommitFailed))
		Expect(a.counterValue("resolved")).To(BeEquivalentTo(1))
		p.SetFaults(tableservicestandin.Faults{})
		loaded := startClient(p).load(1)
		Expect(len(loaded.Records) == 1).To(Equal(done.Result == event.CommitApplied))
	})

	// Guards against uncertain results during an outage: the result of a pending commit
	// is posted only after the platform answers, and later commits fail unsent.
	It("posts only certain results during an outage", func() {
		p := startStandIn()
		a := startClient(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 100 })
		a.load(1)
		a.load(2)
		p.SetFaults(tableservicestandin.Faults{Hang: true})
		a.Apply(event.CommitJournal{Partition: 1, Records: requestRecords("r", 1)})
		await[event.PlatformListFailed](a)
		p.SetFaults(tableservicestandin.Faults{Down: true})
		p.ResetCounters()
		for range 3 {
			done := a.commit(2, 0, requestRecords("s", 1)...)
			Expect(done.Partition).To(BeEquivalentTo(2))
			Expect(done.Result).To(Equal(event.CommitFailed))
		}
		calls := p.Counters()
		Expect(float64(calls.Calls) / calls.Seconds).To(BeNumerically("<", 4))
		p.SetFaults(tableservicestandin.Faults{})
		done := await[event.CommitDone](a)
		Expect(done.Partition).To(BeEquivalentTo(1))
		Expect(done.Result).To(Equal(event.CommitFailed))
		Expect(p.Rows("journal/1/")).To(BeEmpty())
	})
})
