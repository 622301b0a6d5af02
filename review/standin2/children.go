package main

import (
	"errors"
	"os"
	"os/exec"
	"sync"
)

// processes are the processes that the case has started, and the folder of their files.
type processes struct {
	mu     sync.Mutex
	folder string
	ended  bool
	list   []child
}

type child struct {
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// children are ended when the case ends, in whatever way it does. If this process is killed, the
// kernel ends them.
var children processes

var errEnded = errors.New("the case has ended")

func (p *processes) addFolder(folder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.folder = folder
}

// start starts a process and returns a channel that is closed when it has ended.
func (p *processes) start(command *exec.Cmd) (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil, errEnded
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	c := child{command, make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(c.exited)
	}()
	p.list = append(p.list, c)
	return c.exited, nil
}

// end ends all processes, waits for them and removes their files, unless KEEP is set.
func (p *processes) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, c := range p.list {
		_ = c.command.Process.Kill()
		<-c.exited
	}
	if p.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.folder)
	}
}
