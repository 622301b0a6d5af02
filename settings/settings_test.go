package settings_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/settings"
)

const minimal = `{
	"instance": "entry-1",
	"data_centre": "north",
	"caller_address": "10.0.0.1:7000",
	"peer_address": "10.0.0.1:7001",
	"operator_address": "10.0.0.1:7002",
	"platform_address": "10.0.1.1:80"
}`

// with returns the minimal settings with the fields in more appended on line 8.
func with(more string) string {
	return strings.TrimSuffix(minimal, "\n}") + ",\n" + more + "\n}"
}

var _ = Describe("Settings", func() {
	// A missing or wrong default changes the behaviour of every instance whose file does
	// not set the field.
	It("reads a file and fills in the defaults", func() {
		path := filepath.Join(GinkgoT().TempDir(), "daemon.json")
		text := with(`"weight": 2.5, "peers": [{"instance": "entry-2", "address": "[fd00::2]:7001", "data_centre": "south"}],
			"limits": {"max_tasks": 5}, "log_level": "warn"`)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		s, err := settings.Load(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Instance).To(BeEquivalentTo("entry-1"))
		Expect(s.PeerAddress.Port()).To(BeEquivalentTo(7001))
		Expect(s.MetricsAddress.IsValid()).To(BeFalse())
		Expect(s.Weight).To(Equal(2.5))
		Expect(s.Peers).To(HaveLen(1))
		Expect(s.Peers[0].Address.String()).To(Equal("[fd00::2]:7001"))
		Expect(s.JournalPartitions).To(BeEquivalentTo(8))
		Expect(s.StoreWritesPerSecond).To(BeEquivalentTo(200))
		Expect(s.HeartbeatIntervalMilliseconds).To(BeEquivalentTo(200))
		Expect(s.LeaseDurationMilliseconds).To(BeEquivalentTo(1200))
		Expect(s.Limits.MaxTasks).To(BeEquivalentTo(5))
		Expect(s.Limits.MaxPeerQueue).To(BeEquivalentTo(1024))
		Expect(s.TimelineRecords).To(BeEquivalentTo(65536))
		Expect(s.LogLevel.String()).To(Equal("warn"))
	})

	// If only the first error were reported, operators would have to restart the daemon
	// once per error. Without its place an error cannot be found in a long file.
	It("reports every finding with its line and pointer", func() {
		tests := []struct {
			text string
			want []string // in any order
		}{
			{`{`, []string{"f:1: the text ends within a value"}},
			{"{\n\"instance\": nope}", []string{"f:2: invalid character 'o' in literal null (expecting 'u')"}},
			{minimal + "{}", []string{"f:8: there is more text after the settings"}},
			{strings.Repeat("[", 100), []string{"f:1: values are nested more than 16 deep"}},
			{`[]`, []string{"f:1: the settings are an array, want an object"}},
			{`{}`, []string{
				"f:1: /instance: is missing",
				"f:1: /data_centre: is missing",
				"f:1: /caller_address: is missing",
				"f:1: /peer_address: is missing",
				"f:1: /operator_address: is missing",
				"f:1: /platform_address: is missing",
			}},
			{with(`"colour": 1, "limits": {"max/x": 2}`), []string{
				"f:8: /colour: is not a setting",
				"f:8: /limits/max~1x: is not a setting",
			}},
			{with("\"weight\": \"2\",\n\"tls\": 5,\n\"peers\": {},\n\"lease_milliseconds\": 1.5"), []string{
				"f:8: /weight: is a string, want a number",
				"f:9: /tls: is a number, want an object",
				"f:10: /peers: is an object, want an array",
				"f:11: /lease_milliseconds: 1.5 is not an integer",
			}},
			{with(`"weight": 0, "journal_partitions": 0, "shutdown_seconds": 99999999999999999999, "log_level": "loud"`), []string{
				"f:8: /weight: 0 is outside 0.01 to 100",
				"f:8: /journal_partitions: 0 is outside 1 to 4096",
				"f:8: /shutdown_seconds: 99999999999999999999 is not an integer",
				`f:8: /log_level: "loud" is not debug, info, warn or error`,
			}},
			{with(`"metrics_address": "localhost:1", "credentials_file": "", "instance": "x"`), []string{
				`f:8: /metrics_address: "localhost:1" is not an IP address with a port`,
				"f:8: /credentials_file: is empty",
				"f:8: /instance: is already set on line 2",
			}},
			{with("\"peers\": [\n{\"instance\": \"entry-1\", \"address\": \"10.0.0.1:7001\", \"data_centre\": \"north\"},\n" +
				"{\"instance\": \"b\", \"address\": \"10.0.0.2:0\"},\n7,\n" +
				"{\"instance\": \"b\", \"address\": \"10.0.0.3:1\", \"data_centre\": \"x\", \"rack\": 1}]"), []string{
				`f:9: /peers/0/instance: "entry-1" is this instance`,
				"f:9: /peers/0/address: 10.0.0.1:7001 is also the address at /peer_address",
				`f:10: /peers/1/address: "10.0.0.2:0" has port 0`,
				"f:10: /peers/1/data_centre: is missing",
				"f:11: /peers/2: is a number, want an object",
				"f:12: /peers/3/rack: is not a setting of a peer",
				`f:12: /peers/3/instance: "b" is also /peers/1`,
			}},
			{with(`"tls": {"key_file": "k"}, "heartbeat_milliseconds": 700,
				"limits": {"max_frame_bytes": 131072, "max_body_bytes": 131072}`), []string{
				"f:8: /tls: certificate_file and key_file must both be set or both be absent",
				"f:1: /lease_milliseconds: 1200 is less than two heartbeats of 700 ms",
				"f:9: /limits/max_frame_bytes: 131072 is less than max_body_bytes plus 65536, so a forwarded request could exceed a frame",
			}},
			{strings.Replace(minimal, "10.0.0.1:7001", "0.0.0.0:7001", 1), []string{
				"f:5: /peer_address: peers cannot reach an unspecified address",
			}},
		}
		for _, test := range tests {
			_, findings := settings.Parse("f", []byte(test.text))
			got := make([]string, len(findings))
			for i, f := range findings {
				got[i] = f.String()
			}
			Expect(got).To(ConsistOf(test.want), test.text)
		}
	})

	// The page is the reference for operators and must match the table of fields.
	// FUCHSIACROSS_WRITE_PAGES=1 regenerates it.
	It("is documented", func() {
		const page = "../docs/settings.md"
		if os.Getenv("FUCHSIACROSS_WRITE_PAGES") != "" {
			Expect(os.WriteFile(page, []byte(settings.ReferencePage()), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(page)).To(BeEquivalentTo(settings.ReferencePage()))
	})
})
