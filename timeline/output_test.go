package timeline_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
	"fuchsiacross/timeline"
)

var _ = Describe("Output", func() {
	hostile := record("entry-1", 1, 0)
	hostile.Request = `"><script>alert(1)</script>`
	hostile.Attempt = model.Attempt{Number: 2}
	hostile.Detail = "first\n\x1b[2Jsecond"
	records := []timeline.Record{hostile, record("entry-2", 1, 5)}

	// Text from callers must not break the columns or send control sequences to the
	// terminal.
	It("has one line of text for each record", func() {
		var b strings.Builder
		Expect(timeline.WriteText(&b, records)).To(Succeed())
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		Expect(lines).To(HaveLen(3))
		Expect(lines[1]).To(HavePrefix("2026-12-04T09:00:00.000000Z  entry-1  k"))
		Expect(lines[1]).To(ContainSubstring(`/0/2 `))
		Expect(lines[1]).To(HaveSuffix(`"first\n\x1b[2Jsecond"`))
	})

	// A page with external resources does not work offline, and text from callers that
	// is not escaped would run as a script (cross-site scripting).
	It("is a self-contained HTML page", func() {
		var b strings.Builder
		Expect(timeline.WriteHTML(&b, records)).To(Succeed())
		page := b.String()
		Expect(strings.Count(page, "<tr data-request=")).To(Equal(2))
		Expect(page).To(ContainSubstring("<th>entry-1</th><th>entry-2</th>"))
		Expect(strings.Count(page, "<script")).To(Equal(1))
		for _, reference := range []string{"http:", "https:", "src=", "href=", "@import", "url("} {
			Expect(page).NotTo(ContainSubstring(reference))
		}
	})
})
