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
	// A record that a load returns changed or out of order would let a request
	// run twice or reach its caller with another answer.
	It("loads what was committed", func() {
		p := standIn()
		a := connect(p)
		Expect(a.load(12).Records).To(BeEmpty())
		var records []requestjournal.Record
		version := requestjournal.Version(0)
		for i := range 20 {
			batch := request(model.RequestID(fmt.Sprintf("r-%d", i)), i*1000+1)
			done := a.commit(12, version, batch...)
			Expect(done.Result).To(Equal(event.CommitApplied))
			version = done.Version
			records = append(records, batch...)
		}
		puts := p.Counters()
		Expect(puts.Writes-puts.Commits).To(BeEquivalentTo(15), "one object for each batch with a long answer")
		loaded := connect(p).load(12)
		Expect(loaded.Version).To(Equal(version))
		Expect(loaded.Records).To(Equal(records))
	})

	// An object for each long answer would take the whole budget of writes, and
	// each compaction would store all of them again.
	It("joins long answers and stores them once", func() {
		p := standIn()
		a := connect(p)
		var records []requestjournal.Record
		for i := range 100 {
			records = append(records, request(model.RequestID(fmt.Sprintf("r-%d", i)), 5000+i)...)
		}
		done := a.commit(1, 0, records...)
		Expect(done.Result).To(Equal(event.CommitApplied))
		Expect(a.compact(1, done.Version, records...).Result).To(Equal(event.CommitApplied))
		b := connect(p)
		Expect(b.load(1).Records).To(Equal(records))
		Expect(b.compact(1, done.Version+1, records...).Result).To(Equal(event.CommitApplied))
		Expect(connect(p).load(1).Records).To(Equal(records))
		writes := p.Counters()
		Expect(writes.Writes - writes.Commits).To(BeEquivalentTo(1))
	})

	// A batch that is longer than a row would otherwise never be committed.
	It("spreads a long batch over rows in one transaction", func() {
		p := standIn()
		a := connect(p)
		var records []requestjournal.Record
		for i := range 300 {
			records = append(records, request(model.RequestID(fmt.Sprintf("r-%d", i)), 4000)...)
		}
		Expect(a.commit(1, 0, records...).Result).To(Equal(event.CommitApplied))
		Expect(p.Counters().Commits).To(BeEquivalentTo(1))
		Expect(connect(p).load(1).Records).To(Equal(records))
	})

	// A holder that was replaced must not append, or a request that the new
	// holder knows as not started could be started by the old one.
	It("refuses a stale writer", func() {
		p := standIn()
		a, b := connect(p), connect(p, func(o *tableservice.Options) { o.Self = "entry-2" })
		Expect(a.load(1).Version).To(BeZero())
		Expect(b.load(1).Version).To(BeZero())
		first := a.commit(1, 0, claim("entry-1"))
		Expect(first.Result).To(Equal(event.CommitApplied))
		Expect(b.commit(1, 0, claim("entry-2")).Result).To(Equal(event.CommitConflict))
		loaded := b.load(1)
		Expect(loaded.Records).To(Equal([]requestjournal.Record{claim("entry-1")}))
		paused := connect(p)
		paused.load(1)
		taken := b.commit(1, loaded.Version, claim("entry-2"))
		Expect(taken.Result).To(Equal(event.CommitApplied))
		Expect(a.commit(1, first.Version, request("r", 1)...).Result).To(Equal(event.CommitConflict))

		// The same holds when the new holder has compacted the journal, so that the
		// rows that a paused writer would write are free again.
		compacted := b.compact(1, taken.Version, claim("entry-2"))
		Expect(compacted.Result).To(Equal(event.CommitApplied))
		Expect(paused.commit(1, first.Version, request("r", 1)...).Result).To(Equal(event.CommitConflict))
		Expect(a.commit(1, taken.Version, request("r", 1)...).Result).To(Equal(event.CommitConflict))
		Expect(a.load(1).Records).To(Equal([]requestjournal.Record{claim("entry-2")}))
		Expect(p.Rows("journal/1/0")).To(HaveLen(1))
	})

	// A journal with more batches than one transaction deletes must keep exactly
	// the compacted records, and lose its old rows in the end.
	It("compacts many batches", func() {
		p := standIn()
		a := connect(p)
		version := a.load(3).Version
		for range 1100 {
			version = a.commit(3, version, claim("entry-1")).Version
		}
		version = a.compact(3, version, request("live", 10)...).Version
		Expect(p.Rows("journal/3/0")).To(HaveLen(101))
		b := connect(p)
		loaded := b.load(3)
		Expect(loaded.Records).To(Equal(request("live", 10)))
		Expect(b.commit(3, loaded.Version, claim("entry-1")).Result).To(Equal(event.CommitApplied))
		Expect(p.Rows("journal/3/0")).To(HaveLen(2))
		Expect(version).To(Equal(loaded.Version))
	})

	// A commit whose answer is lost must be reported as what it was: taken for
	// failed it would be appended twice, taken for applied a request could be
	// lost after its caller was told that it is accepted.
	It("resolves a lost answer", func() {
		tests := []struct {
			faults tableservicestandin.Faults
			result event.CommitResult
			rows   int
		}{
			{tableservicestandin.Faults{LoseAnswers: 1}, event.CommitApplied, 2},
			{tableservicestandin.Faults{DropRequests: 1}, event.CommitFailed, 0},
		}
		for _, test := range tests {
			p := standIn()
			a := connect(p)
			a.load(1)
			p.SetFaults(test.faults)
			done := a.commit(1, 0, request("r", 1)...)
			Expect(done.Result).To(Equal(test.result))
			Expect(p.Rows("journal/1/")).To(HaveLen(test.rows))
			Expect(a.count("resolved")).To(BeEquivalentTo(1))
			Expect(a.commit(1, done.Version, request("r", 1)...).Result).To(Equal(event.CommitApplied))
		}
	})

	// A store that is slower than the time limit of a commit must not keep a
	// partition from ever going on.
	It("resolves a commit at a slow store", func() {
		p := standIn()
		a := connect(p)
		a.load(1)
		p.SetFaults(tableservicestandin.Faults{DelayMilliseconds: 700})
		done := a.commit(1, 0, claim("entry-1"))
		Expect(done.Result).To(BeElementOf(event.CommitApplied, event.CommitFailed))
		Expect(a.count("resolved")).To(BeEquivalentTo(1))
		p.SetFaults(tableservicestandin.Faults{})
		loaded := connect(p).load(1)
		Expect(len(loaded.Records) == 1).To(Equal(done.Result == event.CommitApplied))
	})

	// During an outage the result of a commit under way stays open until the
	// platform answers, and later commits fail without being sent.
	It("reports only certain results over an outage", func() {
		p := standIn()
		a := connect(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 100 })
		a.load(1)
		a.load(2)
		p.SetFaults(tableservicestandin.Faults{Hang: true})
		a.Apply(event.CommitJournal{Partition: 1, Records: request("r", 1)})
		await[event.PlatformListFailed](a)
		p.SetFaults(tableservicestandin.Faults{Down: true})
		p.ResetCounters()
		for range 3 {
			done := a.commit(2, 0, request("s", 1)...)
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
