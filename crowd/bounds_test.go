//go:build crowd

package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

const (
	samplingInterval = 20 * time.Millisecond
	exitTimeout      = 30 * time.Second // of a process that is asked to stop
)

// process is a process under test and the bounds of its machine.
type process struct {
	command         *exec.Cmd
	exited          chan struct{}
	memoryMegabytes int
	maxDescriptors  int64
	peakDescriptors atomic.Int64
	lastPeak        atomic.Int64 // the last sample of peakMegabytes
}

// startProcess starts a program with a settings file of the given text.
func startProcess(t *testing.T, program string, settings []byte, memoryMegabytes int, maxDescriptors int64) *process {
	t.Helper()
	directory := t.TempDir()
	settingsPath, logPath := filepath.Join(directory, "settings.json"), filepath.Join(directory, "log")
	if err := os.WriteFile(settingsPath, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "--settings", settingsPath)
	command.Dir, command.Stdout, command.Stderr = directory, log, log
	// The kernel kills the process when the test process dies, so that none is left behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{command: command, exited: make(chan struct{}), memoryMegabytes: memoryMegabytes, maxDescriptors: maxDescriptors}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
		_ = log.Close()
		if t.Failed() {
			text, _ := os.ReadFile(logPath)
			t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	go p.sample()
	return p
}

// sample records the largest number of open descriptors and the peak of the memory until the
// process exits.
func (p *process) sample() {
	ticker := time.NewTicker(samplingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		if megabytes, err := p.readPeak(); err == nil {
			p.lastPeak.Store(int64(megabytes))
		}
		directory, err := os.Open(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err != nil {
			continue
		}
		names, err := directory.Readdirnames(-1)
		_ = directory.Close()
		if err == nil {
			p.peakDescriptors.Store(max(p.peakDescriptors.Load(), int64(len(names))))
		}
	}
}

// readPeak returns the peak of the resident memory in megabytes.
func (p *process) readPeak() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10, nil
		}
	}
	return 0, errors.New("no VmHWM in the status")
}

// peakMegabytes returns the peak of the resident memory.
func (p *process) peakMegabytes(t *testing.T) int {
	t.Helper()
	megabytes, err := p.readPeak()
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	return megabytes
}

// requireWithinBounds checks that the process lives, and the peaks of its memory and of its
// descriptors since its start.
func (p *process) requireWithinBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatal("the process has ended")
	default:
	}
	p.checkPeaks(t, p.peakMegabytes(t))
}

func (p *process) checkPeaks(t *testing.T, megabytes int) {
	t.Helper()
	descriptors := p.peakDescriptors.Load()
	t.Logf("peaks: %d MB, %d descriptors", megabytes, descriptors)
	if megabytes > p.memoryMegabytes {
		t.Errorf("resident memory reached %d MB, the machine has %d MB", megabytes, p.memoryMegabytes)
	}
	if descriptors > p.maxDescriptors {
		t.Errorf("%d descriptors were open, at most %d are allowed", descriptors, p.maxDescriptors)
	}
}

// requireStop sends SIGTERM and checks that the process ends by itself with exit code 0 and has
// stayed within its bounds.
func (p *process) requireStop(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.exited:
	case <-time.After(exitTimeout):
		t.Fatal("the process does not end")
	}
	if code := p.command.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the process ended with code %d", code)
	}
	p.checkPeaks(t, int(p.lastPeak.Load()))
}
