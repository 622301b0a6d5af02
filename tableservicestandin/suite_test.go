package tableservicestandin_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTableServiceStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tableservicestandin")
}
