package logevent_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"fuchsiacross/logevent"
)

var _ = Describe("Event", func() {
	// Operators search and count by number, so a number that is used twice or is out of
	// range finds the wrong lines.
	It("has ascending numbers in known ranges", func() {
		previous := 100
		for _, e := range logevent.All {
			Expect(e.Number).To(BeNumerically(">", previous), e.Message)
			Expect(e.Number).To(BeNumerically("<", 900), e.Message)
			Expect(e.Message).NotTo(BeEmpty())
			Expect(e.Description).To(HaveSuffix("."), e.Message)
			previous = e.Number
		}
	})

	// The catalogue is the reference for operators and must match the list of events.
	// FUCHSIACROSS_WRITE_PAGES=1 regenerates it.
	It("is in the catalogue", func() {
		const page = "../docs/logs.md"
		if os.Getenv("FUCHSIACROSS_WRITE_PAGES") != "" {
			Expect(os.WriteFile(page, []byte(logevent.CataloguePage()), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(page)).To(BeEquivalentTo(logevent.CataloguePage()))
	})

	// Operators would wait in vain for an event that the code never logs. This was so
	// for 21 of the first 50 events.
	It("is logged somewhere", func() {
		list, err := os.ReadFile("list.go")
		Expect(err).NotTo(HaveOccurred())
		var code strings.Builder
		files, err := filepath.Glob("../*/*.go")
		Expect(err).NotTo(HaveOccurred())
		programs, err := filepath.Glob("../cmd/*/*.go")
		Expect(err).NotTo(HaveOccurred())
		for _, name := range append(files, programs...) {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			text, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			code.Write(text)
		}
		names := regexp.MustCompile(`(?m)^\t(\w+) += Event\{`).FindAllStringSubmatch(string(list), -1)
		Expect(names).To(HaveLen(len(logevent.All)))
		for _, name := range names {
			Expect(code.String()).To(MatchRegexp(`logevent\.` + name[1] + `\b`))
		}
	})

	// A line without its number cannot be looked up in the catalogue, and a line below
	// the log level must not be written.
	It("logs its number", func() {
		core, lines := observer.New(zapcore.InfoLevel)
		log := zap.New(core)
		logevent.PeerLinkOpened.Log(log, zap.String("peer", "entry-2"))
		logevent.PeerDialFailed.Log(log)
		Expect(lines.All()).To(HaveLen(1))
		Expect(lines.All()[0].Message).To(Equal("peer link open"))
		Expect(lines.All()[0].ContextMap()).To(Equal(map[string]any{"event": int64(401), "peer": "entry-2"}))
	})
})
