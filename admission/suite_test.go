package admission_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flags set below
)

func TestAdmission(t *testing.T) {
	// The fixed seed makes the random schedules the same in every run.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}
