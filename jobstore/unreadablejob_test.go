package jobstore_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
)

// A leader removes progress that is loaded without its job. A row that only another version can
// decode is a job nevertheless.
func TestLoadReturnsProgressOfUnreadableJob(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	server := standin.NewStore()
	t.Cleanup(server.Close)
	jobs := jobstore.New(store.New(server.Address()), 0)
	const unreadable, removed = job.ID("5c0e7a21d94b36f8"), job.ID("5c0e7a21d94b36f9")
	_, err := jobs.Accept(ctx, jobs.Homes(unreadable)[0], unreadable, []byte("of a later version"))
	g.Expect(err).NotTo(HaveOccurred())
	version, err := jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "i", Token: 1}, &dispatch.Save{Progress: []dispatch.Progress{
		{ID: unreadable, Started: true}, {ID: removed, State: job.StateCompleted},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	loaded, _, err := jobs.Load(ctx, version)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loaded.Jobs).To(BeEmpty())
	g.Expect(loaded.Progress).To(HaveLen(1))
	g.Expect(loaded.Progress[0].ID).To(Equal(removed))
}
