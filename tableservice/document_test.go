package tableservice_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/tableservice"
	"fuchsiacross/tableservicestandin"
)

func newEdit(section string, revision model.Revision, id, body string) tableservice.Edit {
	return tableservice.Edit{Section: section, Body: []byte(body), SectionRevision: revision, EditID: id, Team: "gates"}
}

var _ = Describe("Document", func() {
	ctx := context.Background()

	// Guards against committed edits that a read does not return, and against sections
	// that revert to an earlier revision.
	It("returns the committed edits", func() {
		p := startStandIn()
		a := startClient(p)
		Expect(a.ReadDocument(ctx, nil)).To(BeNil())
		for i, e := range []tableservice.Edit{
			newEdit("gates", 0, "e-1", `{"owners":["gates"],"quota":{"milli_cpu":1}}`),
			newEdit("cell", 0, "e-2", `{"owners":["gates"]}`),
			newEdit("gates", 1, "e-3", `{"owners":["gates"],"quota":{"milli_cpu":2}}`),
		} {
			r, err := a.Edit(ctx, e)
			Expect(err).NotTo(HaveOccurred())
			Expect(r).To(Equal(tableservice.EditResult{
				Applied: true, DocumentRevision: model.Revision(i + 1), SectionRevision: e.SectionRevision + 1,
			}))
		}
		b := startClient(p, func(o *tableservice.Options) { o.ShouldPollHead = func() bool { return false } })
		await[event.PlatformListRead](b) // after the only poll, so that the test counts only its own reads
		d, err := b.ReadDocument(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Revision).To(BeEquivalentTo(3))
		Expect(d.Sections).To(Equal([]document.Section{
			{Name: "cell", Owners: []model.Team{"gates"}, Revision: 1, DocumentRevision: 2, EditID: "e-2", Body: []byte(`{"owners":["gates"]}`)},
			{Name: "gates", Owners: []model.Team{"gates"}, Revision: 2, DocumentRevision: 3, EditID: "e-3", Body: []byte(`{"owners":["gates"],"quota":{"milli_cpu":2}}`)},
		}))
		history, err := b.History(ctx, "gates", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(2))
		Expect(history[0].EditID).To(Equal("e-3"))
		reads := b.counterValue("reads")
		Expect(b.ReadDocument(ctx, d)).To(BeIdenticalTo(d))
		Expect(b.counterValue("reads") - reads).To(BeEquivalentTo(1))
	})

	// Guards against two concurrent edits of a section that both succeed, so that one
	// accepted edit is lost.
	It("applies only one of the concurrent edits of a section", func() {
		p := startStandIn()
		a := startClient(p)
		var (
			wait    sync.WaitGroup
			mu      sync.Mutex
			applied = make(map[string]int)
		)
		for i := range 12 {
			wait.Go(func() {
				defer GinkgoRecover()
				section := fmt.Sprintf("team-%d", i%3)
				r, err := a.Edit(ctx, newEdit(section, 0, fmt.Sprintf("e-%d", i), `{"owners":["gates"]}`))
				Expect(err).NotTo(HaveOccurred())
				mu.Lock()
				defer mu.Unlock()
				if r.Applied {
					applied[section]++
				} else {
					Expect(r.SectionRevision).To(BeEquivalentTo(1))
				}
			})
		}
		wait.Wait()
		Expect(applied).To(Equal(map[string]int{"team-0": 1, "team-1": 1, "team-2": 1}))
		d, err := a.ReadDocument(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Revision).To(BeEquivalentTo(3))
	})

	// Guards against an edit that is applied twice, or reported as failed, when an
	// operator retries it after a lost answer.
	It("returns the first result if an edit id is repeated", func() {
		p := startStandIn()
		a := startClient(p)
		p.SetFaults(tableservicestandin.Faults{LoseAnswers: 1})
		first, err := a.Edit(ctx, newEdit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Applied).To(BeTrue())
		_, err = a.Edit(ctx, newEdit("gates", 1, "e-2", `{"owners":["gates"],"quota":{"milli_cpu":1}}`))
		Expect(err).NotTo(HaveOccurred())
		again, err := startClient(p).Edit(ctx, newEdit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(tableservice.EditResult{Applied: true, Repeated: true, DocumentRevision: 1, SectionRevision: 1}))
		_, err = a.Edit(ctx, newEdit("gates", 2, "e-1", `{"b":1}`))
		Expect(errors.Is(err, tableservice.ErrEditReused)).To(BeTrue())
	})

	// Guards against an edit with an unknown result that is reported as refused.
	It("reports an edit with an unknown result", func() {
		p := startStandIn()
		a := startClient(p)
		p.SetFaults(tableservicestandin.Faults{DelayMilliseconds: 300})
		short, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancel()
		_, err := a.Edit(short, newEdit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(errors.Is(err, tableservice.ErrEditUnknown)).To(BeTrue(), "%v", err)
		p.SetFaults(tableservicestandin.Faults{})
		r, err := a.Edit(ctx, newEdit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Applied).To(BeTrue())
	})

	// Guards against an unspecific platform error for a section that does not fit into
	// a row: the error must contain the limit.
	It("refuses a section above the row limit", func() {
		a := startClient(startStandIn())
		_, err := a.Edit(ctx, newEdit("gates", 0, "e-1", strings.Repeat("x", 256<<10)))
		Expect(err).To(MatchError(ContainSubstring("above the limit of a row of 262144 bytes")))
	})

	// Guards against an instance that keeps placing by an old document after another
	// instance committed an edit.
	It("posts a document that another instance committed", func() {
		p := startStandIn()
		b := startClient(p, func(o *tableservice.Options) { o.HeadIntervalMilliseconds = 20 })
		a := startClient(p)
		_, err := a.Edit(ctx, newEdit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(await[event.DocumentChanged](b).Document.Revision).To(BeEquivalentTo(1))
		Expect(await[event.DocumentChanged](a).Document.Revision).To(BeEquivalentTo(1))
		Expect(a.Apply(event.FetchDocument{Revision: 1})).To(BeTrue())
		Expect(await[event.DocumentChanged](a).Document.Revision).To(BeEquivalentTo(1))
		Expect(a.Apply(event.FetchDocument{Peer: "entry-2"})).To(BeFalse())
	})
})

var _ = Describe("Instance list", func() {
	// Guards against a change that is not posted, which leaves work on a leaving worker,
	// and against an unchanged list that is posted at each poll, which wastes time of
	// the control goroutine.
	It("posts changes at once and an unchanged list every tenth poll", func() {
		p := startStandIn()
		workers := []model.Worker{{ID: "w-1", Address: p.Address(), DataCentre: "a", Rack: "r"}}
		instances := []model.Instance{{ID: "entry-1", Address: p.Address(), DataCentre: "a", Weight: 1}}
		p.SetList(workers, instances)
		a := startClient(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 20 })
		Expect(await[event.PlatformListRead](a)).To(Equal(event.PlatformListRead{Workers: workers, Instances: instances}))
		polls := a.counterValue("reads")
		await[event.PlatformListRead](a)
		Expect(a.counterValue("reads") - polls).To(BeNumerically("~", 10, 2))
		workers[0].Leaving = true
		p.SetList(workers, instances)
		Eventually(func() bool { return await[event.PlatformListRead](a).Workers[0].Leaving }).Should(BeTrue())
		p.SetFaults(tableservicestandin.Faults{Down: true})
		await[event.PlatformListFailed](a)
	})

	// Guards against a list that lags behind its latest change being mistaken for an
	// empty one: the client posts the change once the lag of 200 ms is over.
	It("posts a change of a list that lags", func() {
		p := startStandIn()
		p.SetFaults(tableservicestandin.Faults{ListLagMilliseconds: 200})
		a := startClient(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 20 })
		set := time.Now()
		p.SetList([]model.Worker{{ID: "w-1", Address: p.Address()}}, nil)
		Eventually(func() int { return len(await[event.PlatformListRead](a).Workers) }).Should(Equal(1))
		Expect(time.Since(set)).To(BeNumerically(">=", 200*time.Millisecond))
	})
})

var _ = Describe("Body", func() {
	// Guards against a request that runs with a damaged or missing body.
	It("returns the stored body, or an error if there is none", func() {
		a := startClient(startStandIn())
		digest, err := a.StoreBody(context.Background(), []byte("body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(digest).To(Equal(model.DigestOf([]byte("body"))))
		Expect(a.FetchBody(context.Background(), digest)).To(Equal([]byte("body")))
		_, err = a.FetchBody(context.Background(), model.DigestOf(nil))
		Expect(errors.Is(err, tableservice.ErrObjectNotFound)).To(BeTrue())
	})
})
