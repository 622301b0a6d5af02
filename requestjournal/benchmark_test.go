package requestjournal_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// settled returns the records of a number of settled requests.
func settled(requests int) []requestjournal.Record {
	var records []requestjournal.Record
	for i := range requests {
		id := model.RequestID(fmt.Sprintf("r-%d", i))
		records = append(records,
			requestjournal.Record{Kind: requestjournal.RecordAccepted, At: start, ID: id, Request: &model.Request{ID: id}},
			requestjournal.Record{Kind: requestjournal.RecordIntent, At: start, ID: id, Attempt: model.Attempt{Request: id, Number: 1}, Worker: "w"},
			requestjournal.Record{Kind: requestjournal.RecordOutcome, At: start, ID: id, Outcome: &model.Outcome{Status: model.StatusDone}})
	}
	return records
}

// BenchmarkOpen replays a journal of 100,000 requests, which a takeover waits
// for.
func BenchmarkOpen(b *testing.B) {
	records := settled(100_000)
	for b.Loop() {
		requestjournal.Open(1, 1, records)
	}
}

// BenchmarkCompaction copies the state of 100,000 requests, which the control
// goroutine waits for.
func BenchmarkCompaction(b *testing.B) {
	p := requestjournal.Open(1, 1, settled(100_000))
	for b.Loop() {
		requestjournal.Compacted(p)
	}
}

// BenchmarkCommit appends, commits and replays batches of 66 records.
func BenchmarkCommit(b *testing.B) {
	p := requestjournal.Open(1, 0, nil)
	budget := requestjournal.NewWriteBudget(start, 1000)
	records := settled(22)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		p.Append(now, records...)
		batch, _ := p.NextBatch(now, budget)
		p.HandleCommitted(batch.Version + 1)
	}
}
