package measure

// leaderSection describes what bounds the load that an instance can lead. Package
// leadercapacity has the figures and measures the bytes.
const leaderSection = `
### What a leader needs

` + "`" + `leadercapacity.Estimate` + "`" + ` gives the share of a full shard (500 workers with 2 starts a
second each, one processor) that an instance can lead. The processor share, divided by the
measured slowdown and the number of shards led, is multiplied by the scarcest of the other
resources where that is below the need of a full shard. Unknown resources do not limit.

| resource | need of a full shard | where the figure is from |
| --- | --- | --- |
| link | 39.5 Mbit/s | 1,000 starts a second x (600 + 1,100 + 3 x 256 bytes) x 8, twice that for bursts, packet headers and the store |
| memory | 284 MB | 255 MB measured at 900 starts a second (platform.md, "Scale") |
| descriptors | 3,000 beside 200 reserved ones | 1,766 connections at 300 workers, six for each worker |

Bytes of HTTP or WebSocket on an open connection, both directions together, measured by
` + "`" + `go test -v ./leadercapacity` + "`" + `, which fails if a figure passes its bound:

| exchange | measured | bound |
| --- | --- | --- |
| start with its answer, ticket and specification of 64 bytes each | 564 B | 600 B |
| reading with eight active runs and one end | 1,055 B | 1,100 B |
| request for advice for 16 workers to an instance | 244 B | 256 B |

A link of 10 Mbit/s therefore allows a quarter of a full shard, one of 200 Mbit/s all of it.
`
