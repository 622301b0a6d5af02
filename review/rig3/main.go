// Command rig3 plays the scripts of the third review. It starts processes of
// fuchsiacross-instance with stand-ins of the store, the runners and the advice service, and
// judges what the clients and the runners see.
//
// # Usage
//
//	rig3 CASE RECORD TROUBLE
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run, was ended
// by a signal or took longer than maxLength. If TROUBLE is 0, the disruption is left out. All
// processes have ended when it exits.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxLength is the longest time of a case.
const maxLength = 110 * time.Second

func main() {
	cases := map[string]func(record string, trouble bool) (bool, error){
		"advice":   playAdvice,
		"timed":    playTimed,
		"crashing": playCrashing,
		"quota":    playQuota,
		"former":   playFormer,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD TROUBLE")
		os.Exit(exitNotRun)
	}
	go abort()
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3] != "0")
	processes.killAll()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
}

// The exit codes of a case whose rule did not hold.
const (
	exitBroken = 1
	exitNotRun = 2
)

// abort ends the case after a signal or maxLength.
func abort() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case received := <-signals:
		fmt.Fprintln(os.Stderr, "ended by", received)
	case <-time.After(maxLength):
		fmt.Fprintln(os.Stderr, "the case takes too long")
	}
	processes.killAll()
	if directory := folder.Load(); directory != nil {
		_ = os.RemoveAll(*directory)
	}
	os.Exit(exitNotRun)
}
