package operator_test

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fuchsiacross/operator"
)

var _ = Describe("Credentials", func() {
	// After one failed read the file counted as read, and a token that it no longer contained
	// stayed valid until the file changed again.
	It("are read again after a read that failed", func() {
		path := filepath.Join(GinkgoT().TempDir(), "credentials.json")
		written := time.UnixMilli(1_700_000_000_000)
		write := func(content string) {
			Expect(os.WriteFile(path, []byte(content), 0o600)).To(Succeed())
			Expect(os.Chtimes(path, written, written)).To(Succeed())
		}
		write(`{"operators":["` + digestOf("withdrawn") + `"]}`)
		now := time.UnixMilli(0)
		c, err := operator.LoadCredentials(path, func() time.Time { return now }, zap.NewNop())
		Expect(err).NotTo(HaveOccurred())
		next := `{"operators":["` + digestOf("new") + `"],"gates":[]}`
		written = written.Add(time.Second)
		write(strings.Repeat("x", len(next)))
		now = now.Add(2 * time.Second)
		_, valid := c.Team("withdrawn")
		Expect(valid).To(BeTrue(), "the former content stays in force")
		write(next)
		now = now.Add(2 * time.Second)
		_, valid = c.Team("withdrawn")
		Expect(valid).To(BeFalse())
		_, valid = c.Team("new")
		Expect(valid).To(BeTrue())
	})
})
