// Package crowd tests that the programs survive clients that exhaust their resources.
//
// Each test starts a process of cmd/fuchsiacross-instance or cmd/fuchsiacrossd on loopback
// addresses with a stand-in of the store, and opens many connections that stop just short of
// the end of a request, read no response, or hand in work that nothing runs. The process must
// stay within the memory and the descriptors of its machine and must answer an ordinary
// request while the connections are still open; asked to stop, it must end by itself. No time
// and no share of served requests is checked, so that the outcome does not depend on the
// machine's speed.
//
// The tests need a machine without other load and therefore have a build tag of their own.
//
// # Usage
//
//	go test -tags crowd -p 1 ./crowd
package crowd
