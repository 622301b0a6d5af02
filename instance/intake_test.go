package instance

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bounds of untrusted clients", func() {
	const required = `{"instance":"i","caller_address":"127.0.0.1:1","readiness_address":"127.0.0.1:2","peer_address":"127.0.0.1:3","store_address":"127.0.0.1:4",
		"processor_share":1,"memory_megabytes":144,"grace_seconds":1,"max_hold_milliseconds":1,"stop_timeout_milliseconds":1,"retention_seconds":1%s}`
	parse := func(fields string) (Settings, error) { return ParseSettings("s", fmt.Appendf(nil, required, fields)) }

	It("are taken from the settings", func() {
		s, err := parse(`,"max_connections":99,"body_megabytes":7,"header_timeout_milliseconds":3000,"body_timeout_milliseconds":9000`)
		Expect(err).NotTo(HaveOccurred())
		b := (&Instance{settings: s}).newServers().Bounds()
		Expect(b.CallerConnections).To(Equal(99))
		Expect(b.BodyBytes).To(BeEquivalentTo(7 << 20))
		Expect([]time.Duration{b.HeaderTimeout, b.BodyTimeout}).To(Equal([]time.Duration{3 * time.Second, 9 * time.Second}))
	})

	// A bound above the memory of the machine bounds nothing.
	It("are refused out of range, each with its name", func() {
		for _, test := range []struct{ fields, want string }{
			{`,"max_connections":15`, "max_connections"},
			{`,"max_connections":-1`, "max_connections"},
			{`,"body_megabytes":37`, "body_megabytes: must be between 1 and 36"},
			{`,"header_timeout_milliseconds":99`, "header_timeout_milliseconds"},
			{`,"body_timeout_milliseconds":60001`, "body_timeout_milliseconds"},
		} {
			_, err := parse(test.fields)
			Expect(err).To(MatchError(ContainSubstring(test.want)), test.fields)
		}
	})
})
