package requestjournal_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

const retentionSeconds = 60

// entriesByID returns copies of the durable entries.
func entriesByID(p *requestjournal.Partition) map[model.RequestID]requestjournal.Entry {
	m := make(map[model.RequestID]requestjournal.Entry)
	for id, e := range p.Entries() {
		m[id] = *e
	}
	return m
}

// drawRecord returns a random record of one of six requests.
func drawRecord(t *rapid.T, now time.Time) requestjournal.Record {
	id := model.RequestID(fmt.Sprintf("r-%d", rapid.IntRange(0, 5).Draw(t, "id")))
	attempt := model.Attempt{Request: id, Number: uint32(rapid.IntRange(1, 3).Draw(t, "number"))}
	r := requestjournal.Record{At: now, ID: id}
	r.Kind = requestjournal.RecordKind(rapid.IntRange(1, 5).Draw(t, "kind"))
	switch r.Kind {
	case requestjournal.RecordClaim:
		r.ID, r.Holder, r.HolderIncarnation = "", "entry-1", model.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
	case requestjournal.RecordAccepted:
		r.Request = &model.Request{ID: id, Body: []byte("body"), Deadline: now}
	case requestjournal.RecordIntent:
		r.Attempt, r.Worker = attempt, "w-1"
	case requestjournal.RecordTaskResult:
		r.Attempt, r.Result = attempt, &model.TaskResult{Succeeded: true, Answer: []byte("answer")}
	case requestjournal.RecordOutcome:
		status := rapid.SampledFrom([]model.Status{model.StatusDone, model.StatusUnknown}).Draw(t, "status")
		r.Outcome = &model.Outcome{Status: status, Attempt: attempt}
	}
	return r
}

// commitBuffered commits the buffered records that may be sent at the given time.
func commitBuffered(p *requestjournal.Partition, now time.Time) {
	budget := requestjournal.NewWriteBudget(now, 1000)
	for {
		b, ok := p.NextBatch(now, budget)
		if !ok {
			return
		}
		p.HandleCommitted(b.Version + 1)
	}
}

var _ = Describe("Partition", func() {
	// If the holder's state differed from the state that its successor replays, the
	// successor might run a request again or lose one.
	It("has the state that a replay of its records yields", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := start
			budget := requestjournal.NewWriteBudget(now, 1000)
			p := requestjournal.Open(3, 0, nil)
			var durable, pending []requestjournal.Record // durable records; appended ones that are not durable
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 5).Draw(t, "step") {
				case 0, 1, 2:
					r := drawRecord(t, now)
					p.Append(now, r)
					pending = append(pending, r)
				case 3:
					b, ok := p.NextBatch(now, budget)
					if !ok {
						continue
					}
					if b.Version != p.Version() || fmt.Sprint(b.Records) != fmt.Sprint(pending[:len(b.Records)]) {
						t.Fatalf("batch %v is not the front of %v", b, pending)
					}
					if rapid.Bool().Draw(t, "applied") {
						durable = append(durable, p.HandleCommitted(b.Version+1)...)
						pending = pending[len(b.Records):]
					} else {
						p.HandleFailed()
					}
				case 4:
					for _, id := range p.ExpireSettled(now, retentionSeconds) {
						pending = append(pending, requestjournal.Record{Kind: requestjournal.RecordTombstone, At: now, ID: id})
					}
				case 5:
					durable = requestjournal.Compacted(p)
				}
				for _, id := range p.ExpireSettled(now, retentionSeconds) {
					pending = append(pending, requestjournal.Record{Kind: requestjournal.RecordTombstone, At: now, ID: id})
				}
				replay := requestjournal.Open(3, p.Version(), durable)
				replay.ExpireSettled(now, retentionSeconds)
				if a, b := fmt.Sprintf("%+v", entriesByID(p)), fmt.Sprintf("%+v", entriesByID(replay)); len(a) != len(b) ||
					!maps.EqualFunc(entriesByID(p), entriesByID(replay), sameEntry) {
					t.Fatalf("live %s\nreplay %s", a, b)
				}
			}
			if notDurable := p.HandleConflict(); fmt.Sprint(notDurable) != fmt.Sprint(pending) {
				t.Fatalf("conflict returned %v instead of %v", notDurable, pending)
			}
		})
	})

	// If an entry was removed too early, a duplicate could run again; if it was never
	// removed, the journal would grow without bound.
	It("replaces settled requests by tombstones, and removes these later", func() {
		p := requestjournal.Open(1, 0, nil)
		p.Append(start,
			requestjournal.Record{Kind: requestjournal.RecordAccepted, At: start, ID: "r", Request: &model.Request{ID: "r"}},
			requestjournal.Record{Kind: requestjournal.RecordOutcome, At: start, ID: "r", Outcome: &model.Outcome{Status: model.StatusDone}})
		commitBuffered(p, start)
		Expect(p.ExpireSettled(start.Add(59*time.Second), retentionSeconds)).To(BeEmpty())
		expiredAt := start.Add(60 * time.Second)
		Expect(p.ExpireSettled(expiredAt, retentionSeconds)).To(Equal([]model.RequestID{"r"}))
		Expect(p.ExpireSettled(expiredAt, retentionSeconds)).To(BeEmpty())
		commitBuffered(p, expiredAt)
		e, _ := p.Entry("r")
		Expect(e.IsTombstone).To(BeFalse(), "a tombstone alone is not written at once")
		commitBuffered(p, expiredAt.Add(10*time.Second))
		Expect(e.IsTombstone).To(BeTrue())
		p.ExpireSettled(expiredAt.Add(59*time.Second), retentionSeconds)
		Expect(entriesByID(p)).To(HaveLen(1))
		p.ExpireSettled(expiredAt.Add(60*time.Second), retentionSeconds)
		Expect(entriesByID(p)).To(BeEmpty())
	})

	// Without compaction, a takeover would read every record ever written.
	It("compacts a partition whose requests have expired", func() {
		p := requestjournal.Open(1, 0, nil)
		now := start
		for i := range 2000 {
			id := model.RequestID(fmt.Sprintf("r-%d", i))
			p.Append(now,
				requestjournal.Record{Kind: requestjournal.RecordAccepted, At: now, ID: id, Request: &model.Request{ID: id}},
				requestjournal.Record{Kind: requestjournal.RecordOutcome, At: now, ID: id, Outcome: &model.Outcome{Status: model.StatusDone}})
		}
		commitBuffered(p, now)
		_, ok := p.StartCompaction()
		Expect(ok).To(BeFalse())
		for range 4 {
			now = now.Add(2 * retentionSeconds * time.Second)
			p.ExpireSettled(now, retentionSeconds)
			p.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, Holder: "entry-1", HolderIncarnation: 1})
			commitBuffered(p, now)
		}
		records, ok := p.StartCompaction()
		Expect(ok).To(BeTrue())
		Expect(records).To(Equal([]requestjournal.Record{{Kind: requestjournal.RecordClaim, Holder: "entry-1", HolderIncarnation: 1}}))
		p.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, Holder: "entry-1", HolderIncarnation: 2})
		_, ok = p.NextBatch(now, requestjournal.NewWriteBudget(now, 1000))
		Expect(ok).To(BeFalse(), "a compaction is outstanding")
		Expect(p.HandleCommitted(p.Version() + 1)).To(BeEmpty())
		_, ok = p.StartCompaction()
		Expect(ok).To(BeFalse())
	})

	// A request that is abandoned before its acceptance was sent must not be accepted
	// later. If the acceptance is outstanding, it may already be stored.
	It("drops only records that are not outstanding", func() {
		p := requestjournal.Open(1, 0, nil)
		accepted := func(id model.RequestID) requestjournal.Record {
			return requestjournal.Record{Kind: requestjournal.RecordAccepted, ID: id, Request: &model.Request{ID: id}}
		}
		p.Append(start, accepted("sent"))
		_, ok := p.NextBatch(start, requestjournal.NewWriteBudget(start, 1000))
		Expect(ok).To(BeTrue())
		p.Append(start, accepted("waiting"))
		p.DropBuffered(func(requestjournal.Record) bool { return true })
		Expect(p.HandleConflict()).To(Equal([]requestjournal.Record{accepted("sent")}))
		p.Append(start, accepted("late"))
		_, ok = p.NextBatch(start, requestjournal.NewWriteBudget(start, 1000))
		Expect(ok).To(BeFalse(), "a closed partition sends nothing")
	})

	// Without a backoff after a failure, a holder would spin, or would load a store that
	// is down.
	It("backs off after a failure", func() {
		p := requestjournal.Open(1, 0, nil)
		budget := requestjournal.NewWriteBudget(start, 1000)
		p.Append(start, requestjournal.Record{Kind: requestjournal.RecordIntent, ID: "r"})
		_, ok := p.NextBatch(start, budget)
		Expect(ok).To(BeTrue())
		_, ok = p.NextBatchAt(start, budget)
		Expect(ok).To(BeFalse(), "a batch is outstanding")
		p.HandleFailed()
		_, ok = p.NextBatch(start, budget)
		Expect(ok).To(BeFalse())
		at, ok := p.NextBatchAt(start, budget)
		Expect(ok).To(BeTrue())
		Expect(at).To(BeTemporally(">=", start.Add(100*time.Millisecond)))
		_, ok = p.NextBatch(at, budget)
		Expect(ok).To(BeTrue())
	})

	// A partition that never gets a token would block its requests forever.
	It("grants tokens in the order in which partitions began to wait", func() {
		budget := requestjournal.NewWriteBudget(start, 1)
		for budget.TakeToken(start) {
			continue
		}
		var partitions []*requestjournal.Partition
		for i := range 3 {
			p := requestjournal.Open(model.Partition(i), 0, nil)
			p.Append(start, requestjournal.Record{Kind: requestjournal.RecordIntent, ID: "r"})
			_, ok := p.NextBatch(start, budget)
			Expect(ok).To(BeFalse())
			partitions = append(partitions, p)
		}
		var order []model.Partition
		for now := start; len(order) < 3; now = now.Add(100 * time.Millisecond) {
			for _, p := range []*requestjournal.Partition{partitions[2], partitions[0], partitions[1]} {
				if _, ok := p.NextBatch(now, budget); ok {
					order = append(order, p.ID())
				}
			}
		}
		Expect(order).To(Equal([]model.Partition{0, 1, 2}))
	})
})

func sameEntry(a, b requestjournal.Entry) bool {
	return a.AcceptedAt.Equal(b.AcceptedAt) && a.SettledAt.Equal(b.SettledAt) && a.IsTombstone == b.IsTombstone &&
		a.TombstoneAt.Equal(b.TombstoneAt) && (a.Request == nil) == (b.Request == nil) &&
		(a.Request == nil || a.Request.IsSameSubmission(b.Request)) && (a.Outcome == nil) == (b.Outcome == nil) &&
		(a.Outcome == nil || a.Outcome.Status == b.Outcome.Status) && fmt.Sprint(a.Attempts) == fmt.Sprint(b.Attempts)
}
