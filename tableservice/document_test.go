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

func edit(section string, revision model.Revision, id, body string) tableservice.Edit {
	return tableservice.Edit{Section: section, Body: []byte(body), SectionRevision: revision, EditID: id, Team: "gates"}
}

var _ = Describe("Document", func() {
	ctx := context.Background()

	// An edit that is not in force, or a section that reverts, breaks the promise
	// that an accepted edit stays.
	It("reads what was edited", func() {
		p := standIn()
		a := connect(p)
		Expect(a.ReadDocument(ctx, nil)).To(BeNil())
		for i, e := range []tableservice.Edit{
			edit("gates", 0, "e-1", `{"owners":["gates"],"quota":{"milli_cpu":1}}`),
			edit("cell", 0, "e-2", `{"owners":["gates"]}`),
			edit("gates", 1, "e-3", `{"owners":["gates"],"quota":{"milli_cpu":2}}`),
		} {
			r, err := a.Edit(ctx, e)
			Expect(err).NotTo(HaveOccurred())
			Expect(r).To(Equal(tableservice.EditResult{
				Applied: true, DocumentRevision: model.Revision(i + 1), SectionRevision: e.SectionRevision + 1,
			}))
		}
		b := connect(p, func(o *tableservice.Options) { o.ShouldPollHead = func() bool { return false } })
		await[event.PlatformListRead](b) // the only poll, so that the reads below are the test's own
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
		reads := b.count("reads")
		Expect(b.ReadDocument(ctx, d)).To(BeIdenticalTo(d))
		Expect(b.count("reads") - reads).To(BeEquivalentTo(1))
	})

	// Two winners of one race would lose an edit that was accepted.
	It("lets one of the edits of a section win", func() {
		p := standIn()
		a := connect(p)
		var (
			wait    sync.WaitGroup
			mu      sync.Mutex
			applied = make(map[string]int)
		)
		for i := range 12 {
			wait.Go(func() {
				defer GinkgoRecover()
				section := fmt.Sprintf("team-%d", i%3)
				r, err := a.Edit(ctx, edit(section, 0, fmt.Sprintf("e-%d", i), `{"owners":["gates"]}`))
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

	// An operator who repeats an edit after a lost answer must neither apply it
	// twice nor be told that it failed.
	It("returns the earlier result of a known edit", func() {
		p := standIn()
		a := connect(p)
		p.SetFaults(tableservicestandin.Faults{LoseAnswers: 1})
		first, err := a.Edit(ctx, edit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Applied).To(BeTrue())
		_, err = a.Edit(ctx, edit("gates", 1, "e-2", `{"owners":["gates"],"quota":{"milli_cpu":1}}`))
		Expect(err).NotTo(HaveOccurred())
		again, err := connect(p).Edit(ctx, edit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(tableservice.EditResult{Applied: true, Repeated: true, DocumentRevision: 1, SectionRevision: 1}))
		_, err = a.Edit(ctx, edit("gates", 2, "e-1", `{"b":1}`))
		Expect(errors.Is(err, tableservice.ErrEditReused)).To(BeTrue())
	})

	// An edit whose result is not known must not be reported as refused.
	It("says when an edit is unknown", func() {
		p := standIn()
		a := connect(p)
		p.SetFaults(tableservicestandin.Faults{DelayMilliseconds: 300})
		short, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
		defer cancel()
		_, err := a.Edit(short, edit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(errors.Is(err, tableservice.ErrEditUnknown)).To(BeTrue(), "%v", err)
		p.SetFaults(tableservicestandin.Faults{})
		r, err := a.Edit(ctx, edit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Applied).To(BeTrue())
	})

	// A section that does not fit a row would fail with an error of the platform
	// that does not name the limit.
	It("refuses a section above the row limit", func() {
		a := connect(standIn())
		_, err := a.Edit(ctx, edit("gates", 0, "e-1", strings.Repeat("x", 256<<10)))
		Expect(err).To(MatchError(ContainSubstring("above the limit of a row of 262144 bytes")))
	})

	// An instance that does not learn of an edit keeps placing by an old document.
	It("posts a document that another instance committed", func() {
		p := standIn()
		b := connect(p, func(o *tableservice.Options) { o.HeadIntervalMilliseconds = 20 })
		a := connect(p)
		_, err := a.Edit(ctx, edit("gates", 0, "e-1", `{"owners":["gates"]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(await[event.DocumentChanged](b).Document.Revision).To(BeEquivalentTo(1))
		Expect(await[event.DocumentChanged](a).Document.Revision).To(BeEquivalentTo(1))
		Expect(a.Apply(event.FetchDocument{Revision: 1})).To(BeTrue())
		Expect(await[event.DocumentChanged](a).Document.Revision).To(BeEquivalentTo(1))
		Expect(a.Apply(event.FetchDocument{Peer: "entry-2"})).To(BeFalse())
	})
})

var _ = Describe("Listing", func() {
	// A change of the list that is not posted leaves work on a leaving worker; a
	// list posted at each poll costs the control goroutine for nothing.
	It("posts changes and every tenth poll", func() {
		p := standIn()
		workers := []model.Worker{{ID: "w-1", Address: p.Address(), DataCentre: "a", Rack: "r"}}
		instances := []model.Instance{{ID: "entry-1", Address: p.Address(), DataCentre: "a", Weight: 1}}
		p.SetList(workers, instances)
		a := connect(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 20 })
		Expect(await[event.PlatformListRead](a)).To(Equal(event.PlatformListRead{Workers: workers, Instances: instances}))
		polls := a.count("reads")
		await[event.PlatformListRead](a)
		Expect(a.count("reads") - polls).To(BeNumerically("~", 10, 2))
		workers[0].Leaving = true
		p.SetList(workers, instances)
		Eventually(func() bool { return await[event.PlatformListRead](a).Workers[0].Leaving }).Should(BeTrue())
		p.SetFaults(tableservicestandin.Faults{Down: true})
		await[event.PlatformListFailed](a)
	})

	// A list that is wrong must not be taken as an empty one.
	It("serves an old list when it lags", func() {
		p := standIn()
		p.SetFaults(tableservicestandin.Faults{ListLagMilliseconds: 200})
		a := connect(p, func(o *tableservice.Options) { o.ListIntervalMilliseconds = 20 })
		set := time.Now()
		p.SetList([]model.Worker{{ID: "w-1", Address: p.Address()}}, nil)
		Eventually(func() int { return len(await[event.PlatformListRead](a).Workers) }).Should(Equal(1))
		Expect(time.Since(set)).To(BeNumerically(">=", 200*time.Millisecond))
	})
})

var _ = Describe("Body", func() {
	// A damaged or missing body would run a request with other input.
	It("returns what was stored", func() {
		a := connect(standIn())
		digest, err := a.StoreBody(context.Background(), []byte("body"))
		Expect(err).NotTo(HaveOccurred())
		Expect(digest).To(Equal(model.DigestOf([]byte("body"))))
		Expect(a.FetchBody(context.Background(), digest)).To(Equal([]byte("body")))
		_, err = a.FetchBody(context.Background(), model.DigestOf(nil))
		Expect(errors.Is(err, tableservice.ErrNoObject)).To(BeTrue())
	})
})
