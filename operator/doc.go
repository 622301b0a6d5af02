// Package operator is the connect server for operators. It serves the document, views
// of the instance's state, and the timeline.
//
// The reducer is the state machine of the instance. It provides the views: the server
// posts event.Query with a token, and the reducer's event.AnswerQuery with the same
// token completes the call. The document is read and edited through functions in
// Options, so that the package does not depend on the platform.
//
// A bearer token identifies the team that makes a call. The team operators may edit
// the section of the cell and create sections; each team may edit the sections that
// list it as an owner. If credentials are configured, reading requires a valid token
// of any team. Otherwise, anyone may read and nobody may edit.
//
// An edit names the revision of the section that it replaces. It is authorised by the
// owners in that revision and is committed only if that revision is current, so a
// former owner cannot edit through an instance with a stale copy of the document.
//
// # Usage
//
//	credentials, err := operator.LoadCredentials("credentials.json", time.Now, log)
//	s := operator.New(operator.Options{
//		Instance:     "entry-1",
//		Post:         control.Post,
//		NextToken:    tokens.Next,
//		Now:          time.Now,
//		Document:     control.Document,
//		ReadDocument: documents.Read,
//		Edit:         documents.Edit,
//		History:      documents.History,
//		Timeline:     ring,
//		Credentials:  credentials,
//	})
//	mux.Handle(s.Handler())
//	// In the goroutine that carries out effects:
//	s.Apply(effect)
package operator
