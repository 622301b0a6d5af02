package soak

import (
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/linkstandin"
	"fuchsiacross/loopback"
)

// process is one instance with its relays, over several lives.
type process struct {
	name     string
	settings string
	log      string
	caller   netip.AddrPort
	store    *linkstandin.Link // to the store
	peer     *linkstandin.Link // from other instances

	command *exec.Cmd
	exited  chan struct{} // closed when the present life has ended
}

// start begins a life.
func (p *process) start() {
	GinkgoHelper()
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	p.command = exec.Command(program, "--settings", p.settings)
	p.command.Dir = filepath.Dir(p.log)
	p.command.Stdout, p.command.Stderr = log, log
	// A test that is killed must leave no process behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.command.Start()).To(Succeed())
	command, exited := p.command, make(chan struct{})
	p.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
}

func (p *process) runs() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the present life, if there is one.
func (p *process) signal(s syscall.Signal) {
	if p.runs() {
		_ = p.command.Process.Signal(s)
	}
}

// end ends the present life at once.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// endWithin waits for the end of a life that was asked to stop.
func (p *process) endWithin(limit time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// hosts is the network of the instances.
var hosts = loopback.New()

func freeAddress() netip.AddrPort {
	GinkgoHelper()
	a, err := hosts.FreeAddress(0)
	Expect(err).NotTo(HaveOccurred())
	return a
}

func relay(target netip.AddrPort) *linkstandin.Link {
	GinkgoHelper()
	l, err := linkstandin.New(netip.MustParseAddrPort("127.0.0.1:0"), target)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l
}
