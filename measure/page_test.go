package measure_test

import (
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/measure"
)

var _ = Describe("Page", func() {
	// The tables are computed from the slopes, so a page edited by hand would
	// differ after the next measurement. FUCHSIACROSS_WRITE_PAGES=1 rewrites it.
	It("equals docs/CAPACITY.md", func() {
		const page = "../docs/CAPACITY.md"
		if os.Getenv("FUCHSIACROSS_WRITE_PAGES") != "" {
			Expect(os.WriteFile(page, []byte(measure.CapacityPage()), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(page)).To(BeEquivalentTo(measure.CapacityPage()))
	})
})
