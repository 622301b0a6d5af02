// Package loopback allocates addresses in 127.0.0.0/8 for the processes of a cell that
// runs on one machine. Outgoing connections use 127.0.0.1 as their source, so they
// cannot take the port of a process on another loopback address while it is down.
//
// # Usage
//
//	network := loopback.New()
//	address, err := network.FreeAddress(0) // for the first process, also after its restart
package loopback
