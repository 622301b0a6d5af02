package scenario_test

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiacross/scenario"

	// TestMain builds the programs. These imports, and the reads in buildAndRun,
	// make the cache of test results depend on their sources.
	_ "fuchsiacross/daemon"
	_ "fuchsiacross/linkstandin"
	_ "fuchsiacross/tableservicestandin"
)

var programDir string

// TestMain builds the programs, so that the scripts run the released commands.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := fs.WalkDir(os.DirFS("../cmd"), ".", func(name string, _ fs.DirEntry, err error) error {
		if err == nil {
			_, err = os.Stat(filepath.Join("../cmd", name))
		}
		return err
	}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	out, err := exec.Command("go", "build", "-o", folder,
		"fuchsiacross/cmd/fuchsiacrossd", "fuchsiacross/cmd/fuchsiacross", "fuchsiacross/cmd/standin").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	programDir = folder
	return m.Run()
}

// The comment at the top of each script names the failures that it guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, scenario.Params("testdata", programDir))
}

// Each script of this folder fails because of a known fault that KNOWN-RED.txt
// lists. The scripts run only if SCENARIO_KNOWN_RED is set.
func TestKnownRed(t *testing.T) {
	const folder = "testdata/known_red"
	if os.Getenv("SCENARIO_KNOWN_RED") == "" {
		scripts, err := filepath.Glob(filepath.Join(folder, "*.txtar"))
		if err != nil {
			t.Fatal(err)
		}
		t.Skipf("known red, see KNOWN-RED.txt: %v", scripts)
	}
	testscript.Run(t, scenario.Params(folder, programDir))
}
