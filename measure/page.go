package measure

const introductionSection = `# Capacity at the design size

This page is written by ` + "`FUCHSIACROSS_WRITE_PAGES=1 go test ./measure`" + ` from the slopes in
measure/slope.go. Slopes were measured on one machine with 10 cores that other
work shared; everything at the size of section 1.7 of the design is worked out
from them, because no test runs 35,000 workers.

## Measured slopes

`

const limitsSection = `
## Where each limit breaks first

| limit | point at which the design breaks first | what would be done |
| --- | --- | --- |
| 3.6% of a core | the start's processor time in the adapters; the reducer takes 13 of 1,090 us | fewer goroutines and system calls for each Run call; wake the control goroutine by the next deadline instead of every 10 ms |
| 256 MB | running tasks, 1.9 KB each; met with few daemons | share the request of tasks of one workload |
| 29 KB/s | leases: 35,000 sessions take 3.9 MB/s at 112 B/s, starts 2.1 MB/s at 311 B | lease_milliseconds 1800, which the takeover bound allows; fewer bytes of the calls between entry and home |
| 29 KB/s, list | the platform answers a changed list with all workers: about 70 B each is 2.4 MB, and 6,670 changes a day are one in 13 s, so 190 KB/s for each daemon | a list that names the changes since a version; until then the limit is not met at the design size |
| 2.4 s | a lease above 2 s; takeovers are measured at 1.2 to 1.4 s with 1.2 s | keep lease_milliseconds at 1800 or less |
| 4 s | a remote peer hears each heartbeat of the rotation after (peers outside the data centre / 8) x 200 ms: 1.8 s with 70, 14 s with 560 | edits reach a data centre by its head poll; an instance cut off from the store hears from peers of its data centre at the full rate |
| 300 writes/s | the budget of 200 writes/s is shared by partitions held and cannot be exceeded in the steady state | larger batches at a longer wait |
| 1,000 reads/s | two list reads a second by each daemon: 500 daemons reach it | list_milliseconds 1500, or one reader for each data centre |

The limits cannot all be met at once at the design size: list reads pass 1,000/s
at 500 daemons with the default list_milliseconds, and a whole list for each
change is above 29 KB/s at any number of daemons. Control bytes of 6,800 starts a
second are 2.1 MB/s at 311 B and would be 1.7 MB/s at the target of 250 B.
`
