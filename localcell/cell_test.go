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

// startTimeout is long because the machine may be busy.
const startTimeout = 30 * time.Second

func startCell(d localcell.Deployment) *localcell.Cell {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	cell, err := localcell.Start(ctx, localcell.Options{Deployment: d})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(cell.Close)
	return cell
}

var _ = Describe("Cell", func() {
	// Guards against components that pass their own tests but do not work
	// together.
	It("completes every kind of work of both deployments", func() {
		tests := []localcell.Deployment{localcell.Coban(), localcell.Schrijfkraam()}
		for _, d := range tests {
			cell := startCell(d)
			r := cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(time.Second), Rate: 100, Seed: 1})
			Expect(cell.Recorder().Violations()).To(BeEmpty())
			for _, k := range r.Kinds {
				Expect(k.Done).To(Equal(k.Submitted), "%+v", k)
				Expect(k.Damaged).To(BeZero(), "%+v", k)
			}
		}
	})

	// Faults overlap under load: an instance is killed and restarted, the store is
	// down for a second and then loses 20% of its answers, and another instance is
	// shut down gracefully. At-most-once work must not run twice, and no caller may
	// receive a wrong outcome.
	It("runs work at most once and reports correct outcomes while instances and the store fail", func() {
		cell := startCell(localcell.Coban())
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
			ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
			defer cancel()
			Expect(cell.Stop(ctx, entries[3])).To(Succeed())
		}()
		r := cell.RunLoad(context.Background(), localcell.Load{End: time.Now().Add(6 * time.Second), Rate: 200, Seed: 2})
		Expect(cell.Recorder().Violations()).To(BeEmpty())
		for _, k := range r.Kinds {
			for _, f := range k.Failures {
				AddReportEntry(fmt.Sprintf("%+v", f), requestTimeline(cell, f.Request))
			}
			Expect(k.Damaged).To(BeZero(), "%+v", k)
			Expect(k.Errors).To(BeZero(), "%+v", k)
			Expect(k.Failed).To(BeZero(), "%+v", k)
			Expect(k.Unknown).To(BeZero(), "%+v", k)
			Expect(k.Done+k.NotRun).To(Equal(k.Submitted), "%+v", k)
		}
	})
})

// requestTimeline returns the timeline of a request on all running instances.
func requestTimeline(cell *localcell.Cell, id string) string {
	var b strings.Builder
	for _, instance := range cell.Instances() {
		if instance.Daemon == nil {
			continue
		}
		r, err := instance.OperatorClient.Timeline(context.Background(), &operatorv1.TimelineRequest{RequestId: id})
		if err != nil {
			fmt.Fprintln(&b, instance.Info.ID, err)
			continue
		}
		for _, x := range r.GetRecords() {
			fmt.Fprintln(&b, x.GetAt().AsTime().Format(time.RFC3339Nano), x.GetProcess(), x.GetKind(), x.GetWorker(), x.GetPeer(), x.GetDetail())
		}
	}
	return b.String()
}
