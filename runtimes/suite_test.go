package runtimes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRuntimes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Runtimes")
}
