package instance

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The environment", func() {
	// A deployment whose settings file lacks the optional fields would ask for no keys.
	It("sets optional settings, and its errors name the variable", func() {
		values := map[string]string{
			"FUCHSIACROSS_LINK_MEGABITS": "10.5", "FUCHSIACROSS_MAX_DESCRIPTORS": "4100", "FUCHSIACROSS_FEATURES": "base,tenants",
			"FUCHSIACROSS_STRICT_REVOCATION": "true", "FUCHSIACROSS_REVOCATION_MILLISECONDS": "5000",
		}
		get := func(name string) string { return values[name] }
		s := Settings{MemoryMegabytes: 144}
		Expect(s.ApplyEnvironment(get)).To(Succeed())
		Expect(s).To(Equal(Settings{
			MemoryMegabytes: 144, LinkMegabits: 10.5, MaxDescriptors: 4100, Features: "base,tenants",
			StrictRevocation: true, RevocationMilliseconds: 5000,
		}))
		Expect(s.HasFeature(FeatureTenants)).To(BeTrue())
		for name, value := range map[string]string{
			"FUCHSIACROSS_LINK_MEGABITS": "fast", "FUCHSIACROSS_MAX_DESCRIPTORS": "99999999999999999999",
			"FUCHSIACROSS_STRICT_REVOCATION": "maybe", "FUCHSIACROSS_REVOCATION_MILLISECONDS": "1.5",
		} {
			values = map[string]string{name: value}
			Expect(s.ApplyEnvironment(get)).To(MatchError(ContainSubstring(name)))
		}
		values = map[string]string{"FUCHSIACROSS_MAX_DESCRIPTORS": "-1"}
		Expect(s.ApplyEnvironment(get)).To(MatchError(ContainSubstring("max_descriptors")))
		values = nil
		unset := Settings{Features: "base"}
		Expect(unset.ApplyEnvironment(get)).To(Succeed())
		Expect(unset).To(Equal(Settings{Features: "base"}))
	})
})
