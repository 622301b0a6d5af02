package requestjournal_test

import (
	"fmt"
	"testing"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// settledRequestRecords returns the records of the given number of settled requests.
func settledRequestRecords(requests int) []requestjournal.Record {
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

// BenchmarkOpen replays a partition of 100,000 requests. A takeover waits for the
// replay.
func BenchmarkOpen(b *testing.B) {
	records := settledRequestRecords(100_000)
	for b.Loop() {
		requestjournal.Open(1, 1, records)
	}
}

// BenchmarkCompaction compacts the state of 100,000 requests, which blocks the control
// goroutine.
func BenchmarkCompaction(b *testing.B) {
	p := requestjournal.Open(1, 1, settledRequestRecords(100_000))
	for b.Loop() {
		requestjournal.Compacted(p)
	}
}

// BenchmarkCommit appends and commits batches of 66 records.
func BenchmarkCommit(b *testing.B) {
	p := requestjournal.Open(1, 0, nil)
	budget := requestjournal.NewWriteBudget(start, 1000)
	records := settledRequestRecords(22)
	now := start
	for b.Loop() {
		now = now.Add(time.Second)
		p.Append(now, records...)
		batch, _ := p.NextBatch(now, budget)
		p.HandleCommitted(batch.Version + 1)
	}
}
