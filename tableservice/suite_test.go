package tableservice_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
	"fuchsiacross/tableservice"
	"fuchsiacross/tableservicestandin"
)

func TestTableService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tableservice")
}

// recordTime is the time of all records that the tests write.
var recordTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// loopback is a listen address with port 0, so that the system chooses a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startStandIn starts a stand-in for the platform and closes it after the test.
func startStandIn() *tableservicestandin.Platform {
	p, err := tableservicestandin.New(tableservicestandin.Options{Address: loopback})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

// testClient is a client with its metrics and the events that it posted.
type testClient struct {
	*tableservice.Client
	metrics metrics.Registry
	events  chan event.Event
}

// startClient starts a client and closes it after the test. The polls of the list and
// of the document's head run only once, unless change sets shorter intervals.
func startClient(p *tableservicestandin.Platform, change ...func(*tableservice.Options)) *testClient {
	i := &testClient{metrics: metrics.NewRegistry(), events: make(chan event.Event, 10_000)}
	o := tableservice.Options{
		Address:                  p.Address(),
		Self:                     "entry-1",
		Incarnation:              1,
		Post:                     func(e event.Event) { i.events <- e },
		Metrics:                  i.metrics,
		ListIntervalMilliseconds: 3_600_000,
		HeadIntervalMilliseconds: 3_600_000,
		CallTimeoutMilliseconds:  500,
	}
	for _, f := range change {
		f(&o)
	}
	i.Client = tableservice.New(o)
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_ = i.Close(ctx)
	})
	return i
}

// await returns the next event of a type and drops the events before it.
func await[E event.Event](i *testClient) E {
	GinkgoHelper()
	deadline := time.After(20 * time.Second)
	for {
		select {
		case e := <-i.events:
			if e, ok := e.(E); ok {
				return e
			}
		case <-deadline:
			Fail(fmt.Sprintf("no %T within 20 s", *new(E)))
		}
	}
}

func (i *testClient) counterValue(name string) int64 {
	return i.metrics.Get("platform." + name).(metrics.Counter).Count()
}

// load loads a journal. Like the reducer, it retries a load that failed, as a read may
// exceed the timeout of a call.
func (i *testClient) load(p model.Partition) event.JournalLoaded {
	GinkgoHelper()
	Expect(i.Apply(event.LoadJournal{Partition: p})).To(BeTrue())
	var failures []string
	deadline := time.After(20 * time.Second)
	for {
		select {
		case e := <-i.events:
			switch e := e.(type) {
			case event.JournalLoaded:
				return e
			case event.JournalLoadFailed:
				failures = append(failures, e.Reason)
				Expect(i.Apply(event.LoadJournal{Partition: p})).To(BeTrue())
			}
		case <-deadline:
			Fail(fmt.Sprintf("the journal was not loaded within 20 s; failures: %q", failures))
		}
	}
}

func (i *testClient) commit(p model.Partition, version requestjournal.Version, records ...requestjournal.Record) event.CommitDone {
	GinkgoHelper()
	Expect(i.Apply(event.CommitJournal{Partition: p, Version: version, Records: records})).To(BeTrue())
	return await[event.CommitDone](i)
}

func (i *testClient) compact(p model.Partition, version requestjournal.Version, records ...requestjournal.Record) event.CommitDone {
	GinkgoHelper()
	Expect(i.Apply(event.CompactJournal{Partition: p, Version: version, Records: records})).To(BeTrue())
	return await[event.CommitDone](i)
}

// requestRecords returns the records of a settled request whose answer has the given
// length in bytes.
func requestRecords(id model.RequestID, answerBytes int) []requestjournal.Record {
	attempt := model.Attempt{Request: id, Task: 0, Number: 1}
	body := []byte("body of " + id)
	o := &model.Outcome{Status: model.StatusDone, Answer: make([]byte, answerBytes), Worker: "w-1", Attempt: attempt}
	for i := range o.Answer {
		o.Answer[i] = byte(i)
	}
	o.Digest = model.DigestOf(o.Answer)
	return []requestjournal.Record{
		{Kind: requestjournal.RecordAccepted, At: recordTime, ID: id, Request: &model.Request{
			ID: id, Team: "agronomists", Workload: "season", Kind: model.KindRequest, Class: model.ClassStandard,
			Resources: model.Resources{MilliCPU: 500, MemoryBytes: 1 << 20, Slots: 1}, Tasks: 1,
			Deadline: recordTime.Add(time.Minute), SubmittedAt: recordTime,
			Body: body, BodyLength: int64(len(body)), BodyDigest: model.DigestOf(body),
		}},
		{Kind: requestjournal.RecordIntent, At: recordTime, ID: id, Attempt: attempt, Worker: "w-1"},
		{Kind: requestjournal.RecordOutcome, At: recordTime, ID: id, Outcome: o},
	}
}

func claimRecord(holder model.InstanceID) requestjournal.Record {
	return requestjournal.Record{Kind: requestjournal.RecordClaim, At: recordTime, Holder: holder, HolderIncarnation: 1}
}
