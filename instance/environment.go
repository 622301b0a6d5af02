package instance

import (
	"strconv"

	"fuchsiacross/finding"
)

// ApplyEnvironment sets the optional settings for which an environment variable has a value,
// which get returns. The deploy file renders these variables for all deployments; templates of
// the settings file need not know their fields. The error carries a finding.List.
func (s *Settings) ApplyEnvironment(get func(name string) string) error {
	var findings finding.List
	variables := []struct {
		name  string
		parse func(text string) error
	}{
		{"FUCHSIACROSS_LINK_MEGABITS", func(text string) (err error) {
			s.LinkMegabits, err = strconv.ParseFloat(text, 64)
			return err
		}},
		{"FUCHSIACROSS_MAX_DESCRIPTORS", func(text string) (err error) {
			s.MaxDescriptors, err = strconv.ParseInt(text, 10, 64)
			return err
		}},
		{"FUCHSIACROSS_FEATURES", func(text string) error {
			s.Features = text
			return nil
		}},
		{"FUCHSIACROSS_STRICT_REVOCATION", func(text string) (err error) {
			s.StrictRevocation, err = strconv.ParseBool(text)
			return err
		}},
		{"FUCHSIACROSS_REVOCATION_MILLISECONDS", func(text string) (err error) {
			s.RevocationMilliseconds, err = strconv.ParseInt(text, 10, 64)
			return err
		}},
	}
	for _, v := range variables {
		if text := get(v.name); text != "" {
			if err := v.parse(text); err != nil {
				findings.Add(v.name, err.Error())
			}
		}
	}
	s.checkNotNegative("environment", &findings)
	return findings.Err()
}
