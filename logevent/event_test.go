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
	// Operators search and count by number: a number used twice or out of its
	// package's range finds the wrong lines.
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

	// The catalogue is what operators read; it must not lag behind the list.
	// FUCHSIACROSS_WRITE_PAGES=1 writes it.
	It("is in the catalogue", func() {
		const page = "../docs/logs.md"
		if os.Getenv("FUCHSIACROSS_WRITE_PAGES") != "" {
			Expect(os.WriteFile(page, []byte(logevent.Page()), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(page)).To(BeEquivalentTo(logevent.Page()))
	})

	// An event that is logged nowhere promises operators a line that never comes:
	// 21 of the first 50 were such.
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

	// A line without its number cannot be found by the catalogue, and a line
	// below the level must not be written.
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
