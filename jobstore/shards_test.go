package jobstore_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

var _ = Describe("the map of shards", func() {
	// If instances used different maps, planned from different registrations, two leaders
	// would start runs on the same worker.
	It("is the first one that was stored, for all instances", func(ctx SpecContext) {
		server := standin.NewStore()
		DeferCleanup(server.Close)
		client := store.New(server.Address())
		Expect(jobstore.ReadShardMap(ctx, client)).To(BeNil())
		first := &shardmap.Map{Shards: 3, Racks: map[string]int{"r0-0": 0, "r0-1": 2}}
		Expect(jobstore.StoreShardMap(ctx, client, first)).To(Succeed())
		Expect(jobstore.StoreShardMap(ctx, client, shardmap.Single())).To(Succeed())
		Expect(jobstore.ReadShardMap(ctx, client)).To(Equal(first))
	})

	// A leader that loaded the jobs of another shard would run them a second time.
	It("separates the jobs, progress and leaders of shards", func(ctx SpecContext) {
		server := standin.NewStore()
		DeferCleanup(server.Close)
		client := store.New(server.Address())
		for shard := range 2 {
			jobs := jobstore.New(client, shard)
			id := job.ID([]string{"00000000000000a0", "00000000000000a1"}[shard])
			encoded, err := jobstore.EncodeJob(job.Job{ID: id, Queue: "q", Definition: job.Definition{Steps: []job.Step{{Tasks: 1}}}})
			Expect(err).NotTo(HaveOccurred())
			_, err = jobs.Accept(ctx, jobs.Homes(id)[0], id, encoded)
			Expect(err).NotTo(HaveOccurred())
			version, err := jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "i", Token: 1}, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(version).To(BeNumerically(">", 0))
		}
		for shard := range 2 {
			loaded, _, err := jobstore.New(client, shard).Load(ctx, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Jobs).To(HaveLen(1))
		}
	})
})
