// Package tableservice is the adapter to the platform's table service, object store
// and list of instances, over connect as defined in platformv1.
//
// A Client carries out the reducer's journal and document effects and posts
// their answers as events. It also polls the list of instances and the head of
// the document, stores and fetches bodies, and commits edits.
//
// The table holds these rows; their values are CBOR with integer keys:
//
//	journal/<p>/head              first and next batch of partition p
//	journal/<p>/<n>               one row of a batch, n padded with zeros
//	document/head                 document revision and the sections' revisions
//	document/section/<name>       one section
//	document/edits/<revision>     the edit that committed a document revision
//	document/edit_ids/<digest>    the document revision that an edit id committed
//
// The version of a journal's head row is the partition's version, that of the
// document's head row is the document revision, and that of a section's row is
// the section's revision, because each is written once for each step.
//
// A transaction is certain before its result is posted: when the answer to a
// commit is lost, its token is resolved until the table says whether it was
// applied. While the platform fails, all calls of an instance together are
// limited to a few in a second.
//
// # Usage
//
//	client := tableservice.New(tableservice.Options{
//		Address: settings.Platform,
//		Self:    settings.Instance,
//		Life:    life,
//		Post:    control.Post,
//		Log:     log,
//	})
//	defer client.Close(ctx)
//	for _, e := range effects {
//		if client.Apply(e) {
//			continue
//		}
//	}
package tableservice
