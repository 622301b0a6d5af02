package instance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
)

var _ = Describe("Notes", func() {
	// A note without a log event was logged as event 0 with no message.
	It("have a log event for each kind", func() {
		for kind := range dispatch.NoteKindCount {
			Expect(noteEvents).To(HaveKey(kind))
		}
	})
})
