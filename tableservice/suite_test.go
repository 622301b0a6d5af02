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

func TestPlatform(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "platform")
}

// start is the time of every record that a test writes.
var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// loopback lets the stand-in choose a free port.
var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// standIn starts a stand-in that ends with the test.
func standIn() *tableservicestandin.Platform {
	p, err := tableservicestandin.New(tableservicestandin.Options{Address: loopback})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	return p
}

// instance is a client with the events that it posted.
type instance struct {
	*tableservice.Client
	metrics metrics.Registry
	events  chan event.Event
}

// connect starts a client that ends with the test.
func connect(p *tableservicestandin.Platform, change ...func(*tableservice.Options)) *instance {
	i := &instance{metrics: metrics.NewRegistry(), events: make(chan event.Event, 10_000)}
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

// await returns the next event of a type.
func await[E event.Event](i *instance) E {
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

func (i *instance) count(name string) int64 {
	return i.metrics.Get("platform." + name).(metrics.Counter).Count()
}

// load reads a journal. Like the reducer it repeats a reading that took longer than
// a call may.
func (i *instance) load(p model.Partition) event.JournalLoaded {
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

func (i *instance) commit(p model.Partition, version requestjournal.Version, records ...requestjournal.Record) event.CommitDone {
	GinkgoHelper()
	Expect(i.Apply(event.CommitJournal{Partition: p, Version: version, Records: records})).To(BeTrue())
	return await[event.CommitDone](i)
}

func (i *instance) compact(p model.Partition, version requestjournal.Version, records ...requestjournal.Record) event.CommitDone {
	GinkgoHelper()
	Expect(i.Apply(event.CompactJournal{Partition: p, Version: version, Records: records})).To(BeTrue())
	return await[event.CommitDone](i)
}

// request returns the records of a settled request with an answer of a length.
func request(id model.RequestID, answer int) []requestjournal.Record {
	attempt := model.Attempt{Request: id, Task: 0, Number: 1}
	body := []byte("body of " + id)
	o := &model.Outcome{Status: model.StatusDone, Answer: make([]byte, answer), Worker: "w-1", Attempt: attempt}
	for i := range o.Answer {
		o.Answer[i] = byte(i)
	}
	o.Digest = model.DigestOf(o.Answer)
	return []requestjournal.Record{
		{Kind: requestjournal.RecordAccepted, At: start, ID: id, Request: &model.Request{
			ID: id, Team: "agronomists", Workload: "season", Kind: model.KindRequest, Class: model.ClassStandard,
			Resources: model.Resources{MilliCPU: 500, MemoryBytes: 1 << 20, Slots: 1}, Tasks: 1,
			Deadline: start.Add(time.Minute), SubmittedAt: start,
			Body: body, BodyLength: int64(len(body)), BodyDigest: model.DigestOf(body),
		}},
		{Kind: requestjournal.RecordIntent, At: start, ID: id, Attempt: attempt, Worker: "w-1"},
		{Kind: requestjournal.RecordOutcome, At: start, ID: id, Outcome: o},
	}
}

func claim(holder model.InstanceID) requestjournal.Record {
	return requestjournal.Record{Kind: requestjournal.RecordClaim, At: start, Holder: holder, HolderIncarnation: 1}
}
