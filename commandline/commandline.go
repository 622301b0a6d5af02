// Package commandline parses command lines in the same way for all programs.
//
// # Usage
//
//	var o options
//	if code, done := commandline.Parse(&o, os.Args[1:]); done {
//		return code
//	}
package commandline

import (
	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// ExitUsage is the exit code for an invalid command line or invalid settings.
const ExitUsage = 2

// Parse parses args into options, a pointer to a struct with the tags of go-flags. If
// help was requested or the command line is invalid, go-flags prints the help or the
// error, and Parse returns done and the exit code of the program.
func Parse(options any, args []string) (code int, done bool) {
	_, err := flags.NewParser(options, flags.Default).ParseArgs(args)
	if err == nil {
		return 0, false
	}
	if parsed, ok := errors.Into[*flags.Error](err); ok && parsed.Type == flags.ErrHelp {
		return 0, true
	}
	return ExitUsage, true
}
