// Command harness plays one case of the review against the project's own program. It
// starts the instances as separate processes, with the command and the settings template
// of the deploy file, and is itself the stand-in of the platform: its store, its runners,
// its advice service, its operator and its clients. All addresses are loopback addresses.
//
// # Usage
//
//	harness CASE FOLDER
//
// It runs in the root of the repository and writes record.txt to FOLDER. The exit code is
// 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in
// the environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitError  = 2

	// maxListedBreaks limits how many breaks the record lists; it counts all.
	maxListedBreaks = 60
)

// scenario plays a case and returns what broke the rule.
type scenario func(p *platform, trouble bool) (broken []string, err error)

// maxPlayTime is the longest time that a case may take.
const maxPlayTime = 118 * time.Second

// closeEarly ends all processes of the case, and the harness, on a signal or when the case
// takes too long.
func closeEarly(p *platform) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		p.record.note("the case is ended by signal %q", s)
	case <-time.After(maxPlayTime):
		p.record.note("the case takes more than %s", maxPlayTime)
	}
	p.close()
	os.Exit(exitError)
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitError
	}
	file, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer func() { _ = file.Close() }()
	record := newRecord(file)
	trouble := os.Getenv("TROUBLE") != "0"
	record.note("case %s, with its disruption: %t", args[0], trouble)
	p, err := newPlatform(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitError
	}
	defer p.close()
	go closeEarly(p)
	broken, err := scenarios[args[0]](p, trouble)
	if err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitError
	}
	for _, text := range broken[:min(len(broken), maxListedBreaks)] {
		record.note("BROKEN: %s", text)
	}
	record.note("%d breaks of the rule", len(broken))
	fmt.Printf("%d breaks of the rule\n", len(broken))
	if len(broken) > 0 {
		fmt.Println(broken[0])
		return exitBroken
	}
	return exitHeld
}
