// Package peer carries messages between the instances of a cell, which are all
// instances of the scheduler in all data centres, over WebSocket links with CBOR
// frames.
//
// There is one link for each pair of instances, which either side may open.
// Compared with one link for each direction, this halves the number of sockets,
// and TCP acknowledgements travel with the heartbeats of the other direction. If
// both sides open a link at the same time, the one opened by the instance with
// the lower identifier is kept.
//
// A link starts with a handshake. Each side sends a hello with the protocol
// version, its instance, its incarnation (one run of its process) and a nonce.
// If a shared key is configured, each side then proves that it has the key by an
// HMAC of both hellos. The key does not protect the frames that follow; to that
// extent the network between instances is trusted.
//
// A frame holds the number of its first message and all messages that were
// queued when it was written. Each side numbers its messages on a link from 1,
// and the incarnation in its hello applies to all of them. A heartbeat is sent
// as the difference from the previous one on the link, which TCP has delivered
// unless the link broke. A frame that cannot be decoded closes the link, and
// none of its messages is delivered.
//
// A peer that is neither listed nor has proved that it has the key may be a new
// instance or a stranger. Its link works like others, but the memory that its
// frames take is bounded: see readMessage and decodeFrame.
//
// Delivery is not guaranteed: a link that breaks loses the messages in flight,
// and a full queue drops new messages. Only the newest heartbeat is queued.
//
// # Usage
//
//	links := peer.New(peer.Options{
//		Self: self, Incarnation: 3, Post: post, CurrentDocument: document,
//	})
//	mux.Handle(peer.Path, links.Handler())
//	links.SetPeers(instances)
//	links.Apply(event.SendPeer{To: "entry-2", Message: heartbeat})
//	defer links.Close(ctx)
package peer
