package document_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/document"
	"fuchsiacross/finding"
	"fuchsiacross/model"
)

const (
	cellBody = `{"owners":["operators"],"waiting_weight":1,"packing_weight":0.2,"urgent_headroom":0.1,
		"retention_seconds":86400,"retry_share":0.1,"preemption":true,"drained_workers":["w1"]}`
	gatesBody = `{ "owners" : ["gates"], "quota" : {"milli_cpu":0,"memory_bytes":"2GiB","accelerators":0},
		"workloads" : [ {"name":"season","kind":"batch","class":"background"},
		{"name":"moisture_check","kind":"request","class":"urgent",
		"resources":{"milli_cpu":500,"memory_bytes":268435456,"accelerators":0},
		"idempotent":true,"preemptible":false,"max_queued":1000,"deadline_seconds":5}]}`
)

func findingPlaces(fs finding.List) []string {
	var ps []string
	for _, f := range fs.Sorted() {
		ps = append(ps, f.Place)
	}
	return ps
}

func newSection(name string, revision, committed model.Revision, body string) document.Section {
	return document.Section{Name: name, Revision: revision, DocumentRevision: committed, Body: []byte(body)}
}

func assembleDocument(sections ...document.Section) *document.Document {
	d, err := document.Assemble(7, sections)
	Expect(err).NotTo(HaveOccurred())
	return d
}

var _ = Describe("CheckSection", func() {
	// Guards against a check that reports one error at a time, so that an operator has
	// to edit repeatedly, and against an error that is not found and takes effect in the
	// whole cell.
	It("reports all errors with their places", func() {
		workload := func(fields string) string {
			return `{"owners":["gates"],"workloads":[{"name":"a","kind":"batch","class":"urgent",` + fields + `}]}`
		}
		tests := []struct {
			name, body string
			places     []string
		}{
			{"cell", cellBody, nil},
			{"gates", gatesBody, nil},
			{"cell", `{"owners":["operators"]}`, nil},
			{"cell", ``, []string{""}},
			{"cell", `{"owners":["operators"]} {}`, []string{""}},
			{"cell", `[]`, []string{""}},
			{"Gates", `{"owners":["gates"]}`, []string{""}},
			{"gates", strings.Repeat(" ", document.MaxSectionBytes+1), []string{""}},
			{"cell", `{}`, []string{"/owners"}},
			{"cell", `{"owners":[]}`, []string{"/owners"}},
			{"cell", `{"owners":["a","a",1,"B"]}`, []string{"/owners/1", "/owners/2", "/owners/3"}},
			{"cell", `{"owners":["a"],"owners":["b"]}`, []string{"/owners"}},
			{
				"cell",
				`{"owners":["a"],"waiting_weight":-1,"packing_weight":1e999,"urgent_headroom":0.6,"retention_seconds":0,"retry_share":2,"preemption":1,"drained_workers":["w","w",""],"x/y":1}`,
				[]string{"/drained_workers/1", "/drained_workers/2", "/packing_weight", "/preemption", "/retention_seconds", "/retry_share", "/urgent_headroom", "/waiting_weight", "/x~1y"},
			},
			{"gates", `{"owners":["gates"],"quota":{"milli_cpu":-1,"memory_bytes":9223372036854775808,"accelerators":null}}`, []string{"/quota/accelerators", "/quota/memory_bytes", "/quota/milli_cpu"}},
			{"gates", `{"owners":["gates"],"workloads":[{"name":"a"},5]}`, []string{"/workloads/0/class", "/workloads/0/kind", "/workloads/1"}},
			{"gates", `{"owners":["gates"],"workloads":[{"name":"a","kind":"batch","class":"urgent"},{"name":"a","kind":"batch","class":"urgent"}]}`, []string{"/workloads/1/name"}},
			{"gates", workload(`"resources":{"memory_bytes":"99999999TiB"}`), []string{"/workloads/0/resources/memory_bytes"}},
			{"gates", workload(`"resources":{"memory_bytes":"-5MiB","milli_cpu":1.5}`), []string{"/workloads/0/resources/memory_bytes", "/workloads/0/resources/milli_cpu"}},
			{"gates", workload(`"resources":{"memory_bytes":"12"}`), []string{"/workloads/0/resources/memory_bytes"}},
			{"gates", workload(`"max_queued":0,"deadline_seconds":"5","idempotent":null`), []string{"/workloads/0/deadline_seconds", "/workloads/0/idempotent", "/workloads/0/max_queued"}},
		}
		for _, test := range tests {
			Expect(findingPlaces(document.CheckSection(test.name, []byte(test.body)))).To(Equal(test.places), "%s %.200s", test.name, test.body)
		}
	})
})

var _ = Describe("Document", func() {
	// Guards against a field that is parsed into the wrong setting, which would change
	// the scheduling.
	It("is assembled from its sections", func() {
		d := assembleDocument(newSection("gates", 1, 6, gatesBody), newSection("cell", 2, 7, cellBody))
		Expect(d.Revision).To(Equal(model.Revision(7)))
		Expect(d.Cell.DrainedWorkers).To(Equal([]model.WorkerID{"w1"}))
		Expect(d.Sections[0].Owners).To(Equal([]model.Team{"operators"}))
		gates, ok := d.Team("gates")
		Expect(ok).To(BeTrue())
		Expect(gates.Quota).To(Equal(model.Resources{MemoryBytes: 2 << 30}))
		w, ok := d.Workload("gates", "moisture_check")
		Expect(ok).To(BeTrue())
		Expect(*w).To(Equal(document.Workload{
			Name: "moisture_check", Kind: model.KindRequest, Class: model.ClassUrgent,
			Resources:  model.Resources{MilliCPU: 500, MemoryBytes: 256 << 20, Slots: 1},
			Idempotent: true, MaxQueued: 1000, DeadlineSeconds: 5,
		}))
		_, ok = d.Workload("gates", "unknown")
		Expect(ok).To(BeFalse())
		_, ok = d.Workload("nobody", "season")
		Expect(ok).To(BeFalse())
	})

	// Guards against a document that takes effect although only some of its sections are
	// valid.
	It("reports errors with the names of their sections", func() {
		_, err := document.Assemble(1, []document.Section{newSection("cell", 1, 1, `{}`), newSection("gates", 1, 1, `{"owners":1}`)})
		fs, ok := finding.From(err)
		Expect(ok).To(BeTrue())
		Expect(findingPlaces(fs)).To(Equal([]string{"cell/owners", "gates/owners"}))
	})

	// Guards against the rollback of an accepted edit, in the whole document or in one
	// section.
	It("accepts only higher revisions", func() {
		d := assembleDocument(newSection("cell", 2, 5, cellBody), newSection("gates", 3, 7, gatesBody))
		_, err := d.WithSections(7, []document.Section{newSection("gates", 4, 7, gatesBody)})
		Expect(err).To(HaveOccurred())
		_, err = d.WithSections(8, []document.Section{newSection("gates", 2, 4, gatesBody)})
		Expect(err).To(HaveOccurred())
		_, err = d.WithSections(8, []document.Section{newSection("gates", 4, 8, `{}`)})
		Expect(err).To(HaveOccurred())

		next, err := d.WithSections(8, []document.Section{newSection("desks", 1, 8, `{"owners":["desks"]}`), newSection("gates", 4, 8, `{"owners":["gates"]}`)})
		Expect(err).NotTo(HaveOccurred())
		Expect(next.Cell).To(Equal(d.Cell))
		Expect(next.Teams).To(HaveLen(2))
		Expect(next.SectionsSince(7)).To(HaveLen(2))
		Expect(d.SectionsSince(5)).To(HaveLen(1))
		// The earlier document must not change, because the reducer may still use it.
		_, ok := d.Workload("gates", "season")
		Expect(ok).To(BeTrue())
		_, ok = next.Workload("gates", "season")
		Expect(ok).To(BeFalse())
	})
})
