package instance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
)

var _ = Describe("Notes", func() {
	// A decision without a log event was logged as event 0 without a message.
	It("have a log event each", func() {
		for kind := range dispatch.NoteKindCount {
			Expect(noteEvents).To(HaveKey(kind))
		}
	})
})
