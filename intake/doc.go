// Package intake bounds what clients outside the operator's control can make an instance
// hold: connections, descriptors, and the bytes of request bodies.
//
// Table decides which connections stay open and Ledger which bodies are kept; both are
// reducers without I/O. Listener and Budget apply their decisions to connections and to the
// reading of bodies. docs/design/intake.md gives the arithmetic of the bounds.
//
// # Usage
//
//	bounds := intake.DefaultBounds(memoryMegabytes, descriptors)
//	listener, err := intake.Listen(address, intake.Options{MaxConnections: bounds.CallerConnections})
//	budget := intake.NewBudget(bounds.BodyBytes, bounds.BodyTimeout)
//	server := &http.Server{Handler: intake.Handler(next), ConnState: intake.RecordState, ConnContext: intake.ConnContext}
//	body, release, err := budget.ReadBody(w, r, limit, deadline)
package intake
