// Command standin2 plays the scripts of the second review: it starts the program as separate
// processes on loopback addresses, with stand-ins for the store, the advice service, the
// runners and the clients, and checks one rule.
//
// # Usage
//
//	standin2 CASE PROGRAM RECORD
//
// PROGRAM is the built program, RECORD the file for what was sent, answered and run. The exit
// code is 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment the case leaves its disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// reviewCase is a case: its racks, whether its queues need advice, and what it does.
type reviewCase struct {
	racks  []string
	advice bool
	play   func(c *cell, trouble bool) (broken bool, err error)
}

// racksOf returns the racks of a number of runners, with so many in each.
func racksOf(count, perRack int) []string {
	var racks []string
	for n := range count {
		racks = append(racks, fmt.Sprintf("r1-%02d", n/perRack))
	}
	return racks
}

// kindOf returns the kind of the runners of a rack.
func kindOf(rack string) string {
	if rack == rareRack {
		return rareKind
	}
	return "a"
}

var cases = map[string]reviewCase{
	"advice":    {racksOf(adviceRunners, 2), true, runAdvice},
	"samerack":  {sameRackRacks, false, runSameRack},
	"withdrawn": {racksOf(lastingRunners, 2), false, runWithdrawn},
	"rebirth":   {racksOf(rebirthRunners, 2), false, runRebirth},
	"slow":      {slowRacks, false, runSlow},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		return exitNotRun
	}
	played, known := cases[args[0]]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", args[0])
		return exitNotRun
	}
	record, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	p := newPlatform(record)
	endEarly(p)
	defer children.end()
	c, err := newCell(p, args[1], played.racks, played.advice)
	broken := false
	if err == nil {
		broken, err = played.play(c, os.Getenv("TROUBLE") != "0")
	}
	switch {
	case err != nil:
		p.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case c.hasExited():
		p.log("the case could not run: an instance has ended")
		return exitNotRun
	case broken:
		p.log("the rule is broken")
		return exitBroken
	}
	p.log("the rule held")
	return exitHeld
}

// maxPlayTime is below the 120 seconds that a script may take.
const maxPlayTime = 110 * time.Second

// endEarly ends the processes of the case and this one with exitNotRun on a signal, or when the
// case takes too long.
func endEarly(p *platform) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxPlayTime):
		}
		p.log("the case could not run: it was ended early")
		children.end()
		os.Exit(exitNotRun)
	}()
}

// hasExited reports whether the process of an instance has ended by itself.
func (c *cell) hasExited() bool {
	return slices.ContainsFunc(c.instances, func(i *instanceProcess) bool { return !i.isRunning() })
}
