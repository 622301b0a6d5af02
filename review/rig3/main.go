// Command rig3 plays the scripts of the third review. It starts processes of
// fuchsiacross-instance with stand-ins of the store, the runners and the advice service, and
// judges what the clients and the runners see.
//
// # Usage
//
//	rig3 CASE RECORD
//
// The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(record string, trouble bool) (bool, error){
		"advice":   playAdvice,
		"timed":    playTimed,
		"crashing": playCrashing,
		"quota":    playQuota,
		"former":   playFormer,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}
