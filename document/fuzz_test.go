package document_test

import (
	"testing"

	"fuchsiacross/document"
)

// FuzzCheckSection guards against panics on malformed sections, and against a section
// that passes the check and is then rejected by Assemble, or assembled with values out of
// range: no instance could put the committed document in force.
func FuzzCheckSection(f *testing.F) {
	for _, body := range []string{
		cellBody,
		gatesBody,
		`{"owners":["a"],"quota":{"memory_bytes":"1.5GiB"}}`,
		`{"owners":["a"],"workloads":[{"name":"a","kind":"batch","class":"urgent","max_queued":-0}]}`,
		`{"owners":["a"],"owners":["b"],"~/":1e999}`,
		`[[[`,
	} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		for _, name := range []string{document.CellSection, "gates"} {
			fs := document.CheckSection(name, []byte(body))
			d, err := document.Assemble(1, []document.Section{{Name: name, Revision: 1, DocumentRevision: 1, Body: []byte(body)}})
			if fs.Any() != (err != nil) {
				t.Fatalf("findings %v, but error %v", fs, err)
			}
			if err != nil {
				continue
			}
			if len(d.Sections[0].Owners) == 0 {
				t.Fatal("section without owners")
			}
			for _, team := range d.Teams {
				for _, w := range team.Workloads {
					if w.Resources.HasNegative() || team.Quota.HasNegative() || w.DeadlineSeconds < 1 || w.MaxQueued < 1 {
						t.Fatalf("workload out of range: %+v", w)
					}
				}
			}
		}
	})
}
