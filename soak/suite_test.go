// Package soak injects random faults into a cluster whose instances run as separate
// processes, and checks that the guarantees to clients and runners hold.
//
// The store, the runners and the advice service are stand-ins in the test process.
// Connections to the store and the runners and between instances pass through links
// that delay, cut and reset them; each instance has its own link to each of them.
// Signals kill, stop and pause instances, which are
// then started again. A seed determines everything except the timing. The fleet has
// two shards for even seeds and one for odd ones.
//
// # Usage
//
//	go test ./soak                                   seeds of CI
//	SOAK_SEEDS=1-50 SOAK_SECONDS=20 go test ./soak   other seeds, 20 s of faults for each
package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// defaultDurationSeconds is the time for which CI injects faults for one seed.
const defaultDurationSeconds = 8

// defaultSeeds are the seeds that CI runs. Seeds 1 and 2 are arbitrary. A seed that finds
// a failure is appended, with a comment on the cause.
var defaultSeeds = []int64{
	1, 2,
	// A leader that is split off starts tasks again that its successor has taken over,
	// with one shard and with two.
	35, 40,
}

var instanceBinary string // path of the instance program, built before the tests

var _ = BeforeSuite(func() {
	instanceBinary = filepath.Join(GinkgoT().TempDir(), "fuchsiacross-instance")
	build := exec.Command("go", "build", "-o", instanceBinary, "fuchsiacross/cmd/fuchsiacross-instance")
	output, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(output))
})

// readEnvironment returns the seeds and the duration of the faults, from SOAK_SEEDS
// and SOAK_SECONDS or else the defaults of CI.
func readEnvironment() ([]int64, time.Duration) {
	duration := defaultDurationSeconds * time.Second
	if text := os.Getenv("SOAK_SECONDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			panic(err)
		}
		duration = time.Duration(n) * time.Second
	}
	text := os.Getenv("SOAK_SEEDS")
	if text == "" {
		return defaultSeeds, duration
	}
	first, last, _ := strings.Cut(text, "-")
	from, err := strconv.ParseInt(first, 10, 64)
	if err != nil {
		panic(err)
	}
	to := from
	if last != "" {
		if to, err = strconv.ParseInt(last, 10, 64); err != nil {
			panic(err)
		}
	}
	var seeds []int64
	for seed := from; seed <= to; seed++ {
		seeds = append(seeds, seed)
	}
	return seeds, duration
}

var _ = Describe("Soak", func() {
	seeds, duration := readEnvironment()
	for _, seed := range seeds {
		// Sequences and overlaps of faults expose failures that single faults do not,
		// such as a leader that is replaced while the store becomes available again.
		It(fmt.Sprintf("keeps its guarantees under random faults with seed %d", seed), func() {
			c := startCluster(seed)
			load := startClients(c)
			c.injectFaults(duration)
			load.stop()
			exited := c.restartExited()
			load.verifyCompletion()
			Expect(slices.Concat(c.recorder.Violations(), load.violations(), exited)).To(BeEmpty(), c.collectDiagnostics())
		})
	}
})
