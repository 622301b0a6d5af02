package requestjournal_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJournal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}

// start is the virtual time at which each test starts.
var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
