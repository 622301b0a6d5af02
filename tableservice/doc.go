// Package tableservice is the client of the platform: its table service, its
// object store and its list of instances. The protocol is connect, as defined in
// platformv1.
//
// The reducer is the state machine of the instance. It takes events and returns
// effects. A Client carries out the reducer's journal and document effects and
// posts their results as events. It also polls the list of instances and the head
// of the document, stores and fetches request bodies, and commits edits of the
// document.
//
// The table holds these rows; their values are CBOR with integer keys:
//
//	journal/<p>/head              numbers of the first and the next batch of partition p
//	journal/<p>/<n>               batch n of partition p, n padded with zeros
//	document/head                 revisions of the document and of its sections
//	document/section/<name>       one section
//	document/edits/<revision>     the edit that committed a document revision
//	document/edit_ids/<digest>    the document revision that an edit id committed
//
// The table service counts the writes of a row in its version. Each transaction
// writes a head row once, so the version of a journal's head row is the
// partition's version, and that of the document's head row is the document
// revision. Likewise, the version of a section's row is the section's revision.
//
// The result of a transaction is posted only when it is certain. If the answer to
// a commit is lost, the client resolves the token of the commit: it asks the table
// service whether the transaction with this token was applied, and retries until it
// gets an answer. While the platform fails, a circuit breaker limits the calls of the
// instance to a few per second.
//
// # Usage
//
//	client := tableservice.New(tableservice.Options{
//		Address:     settings.Platform,
//		Self:        settings.Instance,
//		Incarnation: incarnation,
//		Post:        control.Post,
//		Log:         log,
//	})
//	defer client.Close(ctx)
//	for _, e := range effects {
//		if client.Apply(e) {
//			continue
//		}
//	}
package tableservice
