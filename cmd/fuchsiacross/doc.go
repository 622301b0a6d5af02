// Command fuchsiacross is the command-line client for callers and operators.
//
// It parses flags and prints results; package client makes the calls. The commands,
// their flags and the exit codes are described in docs/client.md.
//
// # Usage
//
//	fuchsiacross --entry 10.0.0.1:7000 submit gates moisture_check --body lot.json
//	fuchsiacross --operator 10.0.0.1:7001 document show gates
package main
