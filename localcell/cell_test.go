package localcell_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/localcell"
	"fuchsiacross/operatorv1"
	"fuchsiacross/tableservicestandin"
)

// startLimit is generous, since the machine may be busy.
const startLimit = 30 * time.Second

func start(d localcell.Deployment) *localcell.Cell {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	cell, err := localcell.Start(ctx, localcell.Options{Deployment: d})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cell.Close)
	return cell
}

var _ = Describe("Cell", func() {
	// A part that works alone and not with the others shows here first.
	It("serves every kind of work of both deployments", func() {
		tests := []localcell.Deployment{localcell.Coban(), localcell.Schrijfkraam()}
		for _, d := range tests {
			cell := start(d)
			r := cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(time.Second), Rate: 100, Seed: 1})
			Expect(cell.Recorder().Violations()).To(BeEmpty())
			for _, k := range r.Kinds {
				Expect(k.Done).To(Equal(k.Submitted), "%+v", k)
				Expect(k.Damaged).To(BeZero(), "%+v", k)
			}
		}
	})

	// Faults together, under load: an instance is killed and comes back, another
	// is replaced gracefully, and the store is away for a while. Work that must
	// run at most once must not run twice and no caller may hear an untruth.
	It("keeps its promises while instances and the store fail", func() {
		cell := start(localcell.Coban())
		entries := cell.Instances()
		go func() {
			defer GinkgoRecover()
			time.Sleep(time.Second)
			cell.Kill(entries[1])
			time.Sleep(time.Second)
			cell.Platform().SetFaults(tableservicestandin.Faults{Down: true})
			time.Sleep(time.Second)
			cell.Platform().SetFaults(tableservicestandin.Faults{LoseAnswerFraction: 0.2})
			Expect(cell.StartInstance(entries[1])).To(Succeed())
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), startLimit)
			defer cancel()
			Expect(cell.Stop(ctx, entries[3])).To(Succeed())
		}()
		r := cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(6 * time.Second), Rate: 200, Seed: 2})
		Expect(cell.Recorder().Violations()).To(BeEmpty())
		for _, k := range r.Kinds {
			for _, f := range k.Faults {
				AddReportEntry(fmt.Sprintf("%+v", f), records(cell, f.Request))
			}
			Expect(k.Damaged).To(BeZero(), "%+v", k)
			Expect(k.Errors).To(BeZero(), "%+v", k)
			Expect(k.Failed).To(BeZero(), "%+v", k)
			Expect(k.Unknown).To(BeZero(), "%+v", k)
			Expect(k.Done+k.NotRun).To(Equal(k.Submitted), "%+v", k)
		}
	})
})

// records returns the timeline of a request over all running instances.
func records(cell *localcell.Cell, id string) string {
	var b strings.Builder
	for _, e := range cell.Instances() {
		if e.Daemon == nil {
			continue
		}
		r, err := e.OperatorClient.Timeline(context.Background(), &operatorv1.TimelineRequest{RequestId: id})
		if err != nil {
			fmt.Fprintln(&b, e.Info.ID, err)
			continue
		}
		for _, x := range r.GetRecords() {
			fmt.Fprintln(&b, x.GetAt().AsTime().Format(time.RFC3339Nano), x.GetProcess(), x.GetKind(), x.GetWorker(), x.GetPeer(), x.GetDetail())
		}
	}
	return b.String()
}
