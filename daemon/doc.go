// Package daemon runs one instance of the scheduler. It connects the reducer, the state
// machine that takes every decision, to the adapters, which do the network I/O.
//
// A Daemon listens on the addresses of its settings. Only the control goroutine uses
// the reducer: it takes events from a mailbox, applies them and passes the resulting
// effects to the adapters. The adapters do their I/O in goroutines of their own, which
// post events to the mailbox, and never block the control goroutine.
//
// # Usage
//
//	d, err := daemon.New(settings, log)
//	if err != nil {
//		return err
//	}
//	<-ctx.Done()
//	return d.Shutdown(shutdownContext)
package daemon
