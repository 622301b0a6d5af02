package settings_test

import (
	"testing"

	"fuchsiacross/settings"
)

// FuzzParse guards against files that crash the daemon, and against settings that Parse
// returns without findings although Validate reports some.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(with(`"weight": 2e0, "peers": [{"instance": "b", "address": "10.0.0.2:1", "data_centre": "x"}]`)))
	f.Add([]byte(with(`"tls": {"key_file": "k"}, "limits": {"max_tasks": -1}, "a~/b": null`)))
	f.Add([]byte(`[[{"":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, findings := settings.Parse("f", text)
		for _, x := range findings {
			if x.Place == "" || x.Message == "" {
				t.Fatalf("a finding without place or message: %q", x)
			}
		}
		if findings.Any() {
			return
		}
		if s.Validate().Any() || s.Instance == "" || !s.PeerAddress.IsValid() {
			t.Fatalf("incomplete settings: %+v", s)
		}
	})
}
