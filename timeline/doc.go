// Package timeline keeps records of the events in a process, and merges and renders the
// records of several processes.
//
// Each process keeps its latest records in a Ring. A client collects them from all
// processes, merges them into one order, and writes them as text or as a self-contained
// HTML page.
//
// # Usage
//
//	ring := timeline.NewRing(100_000)
//	ring.Add(timeline.Record{At: now, Process: "entry-1", Kind: "started", Request: "check-17"})
//	records := timeline.Merge(ring.Select(time.Time{}, "check-17", 0), fromPeer)
//	err := timeline.WriteText(os.Stdout, records)
package timeline
