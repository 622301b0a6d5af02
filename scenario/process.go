package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// process is one program of a cell. It can be started again after it has exited.
type process struct {
	name    string
	program string
	args    []string
	logFile string // output of all incarnations

	command *exec.Cmd
	exited  chan struct{} // closed when the current incarnation has exited
	frozen  bool
}

// start starts a new incarnation of the process.
func (p *process) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(p.program, p.args...)
	p.command.Dir = filepath.Dir(p.logFile)
	p.command.Stdout, p.command.Stderr = log, log
	// The kernel kills the process if the test process dies.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.exited, p.frozen = make(chan struct{}), false
	command, exited := p.command, p.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// isActive reports whether the process is running and not frozen.
func (p *process) isActive() bool { return p.isRunning() && !p.frozen }

func (p *process) isRunning() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.isRunning() {
		return errors.Errorf("%s is not running", p.name)
	}
	return p.command.Process.Signal(s)
}

// kill sends SIGKILL if the process runs and waits until it has exited.
func (p *process) kill() {
	if p.isRunning() {
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// terminate sends SIGTERM, waits at most until limit for the process to exit and
// returns its exit code.
func (p *process) terminate(limit time.Time) (int, error) {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(time.Until(limit)):
		return 0, errors.Errorf("%s has not exited in time", p.name)
	}
}
