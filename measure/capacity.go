package measure

import (
	"fmt"
	"math"
	"strings"
)

// The design size of a cell and the limits of one daemon, from section 1.7 of
// the design.
const (
	designWorkers         = 35_000
	designTasks           = 700_000
	designJobsPerDay      = 150_000
	designStartsPerSecond = 6_800
	designEditsPerDay     = 30_000
	designDataCentres     = 15

	maxProcessorMicrosecondsPerSecond = 36_000 // 3.6% of a core
	maxMemoryBytes                    = 256_000_000
	maxControlBytesPerSecond          = 29_000
)

// Inputs of the capacity page that are not slopes.
const (
	timelineBytes    = 65_536 * 200 // 65,536 records, the default size of the ring buffer, of 200 bytes each
	idleProcessBytes = 30_000_000   // an idle Go process with its adapters, assumed
	retentionDays    = 1
)

// daemonsForControlBytes returns the number of daemons at which each stays within
// the limit of control bytes.
func daemonsForControlBytes(startBytes, sessionBytes float64) float64 {
	work := designWorkers*sessionBytes + designStartsPerSecond*startBytes
	return math.Ceil(work / (maxControlBytesPerSecond - LinkBytes.Value))
}

// daemonsForProcessor returns the number of daemons at which each stays within
// the limit of processor time. It counts half of a session, whose measurement
// covers both ends, and processorFraction of a start, whose measurement covers
// the whole process.
func daemonsForProcessor(processorFraction float64) float64 {
	work := designStartsPerSecond*StartCPU.Value*processorFraction + designWorkers*SessionCPU.Value/2
	return math.Ceil(work / (maxProcessorMicrosecondsPerSecond - DaemonCPU.Value))
}

// daemonsForMemory returns the number of daemons at which each stays within the
// memory limit.
func daemonsForMemory() float64 {
	work := designWorkers*LeasedMemory.Value + designTasks*TaskMemory.Value +
		designJobsPerDay*retentionDays*RecordMemory.Value
	fixed := designWorkers*ListedMemory.Value + timelineBytes + idleProcessBytes
	return math.Ceil(work / (maxMemoryBytes - fixed))
}

// sessionBytesWithLongLease returns the session traffic with lease_milliseconds
// 1800, which renews every 600 ms instead of every 400 ms.
func sessionBytesWithLongLease() float64 { return SessionBytes.Value * 400 / 600 }

// CapacityPage returns the text of docs/CAPACITY.md.
func CapacityPage() string {
	var b strings.Builder
	b.WriteString(introductionSection)
	b.WriteString("| figure | value | spread | command |\n| --- | --- | --- | --- |\n")
	for _, s := range slopes() {
		fmt.Fprintf(&b, "| %s | %s %s | %s | `%s` |\n", s.Name, formatNumber(s.Value), s.Unit, s.Spread, strings.ReplaceAll(s.Command, "|", "\\|"))
	}
	writeDaemonTable(&b)
	writeRoleTable(&b)
	b.WriteString(limitsSection)
	b.WriteString(platformSection)
	b.WriteString(leaderSection)
	return b.String()
}

// platformSection describes the capacity of the program for the users' platform,
// which this package does not measure.
const platformSection = `
## On the users' platform

The figures above are those of the project's own cell. The program for the users'
platform divides a large fleet into shards of 240 to 480 workers with a leader each.

Measured by fleetbench sweep on the large site, one day at three sizes (journal
946cb4f0): no rule broken, 0.965, 0.968 and 0.967 of the jobs served. Middle and
busiest instance, the power of the fleet's size with which the busiest grows, and
what the bench works out from it for the 35,370 machines that the site names as its
target. The last column was not played.

| figure | 30 instances, 300 workers | 97, 1,002 | 297, 3,000 | power | at 35,370 |
| --- | --- | --- | --- | --- | --- |
| processor, % | 2.8, 14.1 | 3.1, 21.2 | 4.3, 24.7 | 0.24 | 79 |
| memory, MB | 9, 137 | 7, 180 | 9, 180 | 0.12 | 318 |
| kB a second | 13, 511 | 9, 758 | 11, 1,092 | 0.33 | 5,270 |
| wake-ups a second | 92, 455 | 124, 723 | 153, 837 | 0.27 | 2,982 |
| connections | 27, 1,766 | 23, 1,743 | 20, 1,409 | -0.1 | 1,409 |
| new connections a second | 2.1, 41 | 2.0, 47 | 2.8, 43 | 0.02 | 46 |
| configuration in force after, ms | 65, 66 | 88, 89 | 162, 163 | 0.39 | 1,049 |
| a worker's leaving known after, ms | 31, 38 | 29, 73 | 29, 59 | 0.08 | 85 |
| first answer after all were killed, ms | 0 | 500 | 1,000 | 1.31 | see below |

What carries each role, at 35,370 instances with ten workers each:

| role | what it carries | mechanism | where it breaks first |
| --- | --- | --- | --- |
| leader | 353,700 workers in 64 shards are 5,530 workers each, ten times the largest shard that was played | shards of whole racks; the store's 100 tables bound them to 64 | its processor, at 64 x 480 = 30,700 workers, a tenth of the target; then a table for the jobs of several shards, so that there are more shards |
| leader, links | one link to each instance, two frames a second for most | instances of other shards are heard once a second | before that: 7,000 frames a second at 3,500 instances, 0.2 of a processor at 30 us a frame (assumed); then relays in each data centre |
| leader, registrations | all changes of all registrations | none: the store's changes of a table cannot be filtered | when many workers change at once; then one follower that tells the others |
| instance | 64 links, its own clients | the same | its bytes: 5,270 kB a second of the busiest on a link of 20 Mbit/s (2,500 kB a second) |
| store, writes | one for each job and cancellation (118 jobs a second on 97 instances: 43,000 at the target), 250 saves a second in all | 128 partitions for each shard's jobs, saves of up to 90 rows | the store's writes: 3,200 a second on the large site. Several jobs in one transaction would divide them |
| store, reads | one long poll a second of each instance, four of each leader: 35,600 a second | instances of other shards wait before they look for a leader | the store's reads: 16,000 a second on the large site; then relays of the configuration |
| start after all were killed | each instance reads the map, the configuration and its rank, and the leaders read all jobs | instances of other shards wait before they look for a leader | the power of 1.31 rests on steps of 500 ms and is not trusted; the store's reads bound it at the target |
`

func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2f", v)
}

func writeDaemonTable(b *strings.Builder) {
	b.WriteString("\n## Number of daemons\n\nAll numbers are worked out from the slopes above.\n\n")
	b.WriteString("| limit of one daemon | assumption | daemons |\n| --- | --- | --- |\n")
	row := func(limit, assumption string, n float64) {
		fmt.Fprintf(b, "| %s | %s | %.0f |\n", limit, assumption, n)
	}
	row("29 KB/s", "every start as in Cobán's mixture, lease of 1.2 s", daemonsForControlBytes(MixedBytes.Value, SessionBytes.Value))
	row("29 KB/s", "every start as in Cobán's mixture, lease of 1.8 s", daemonsForControlBytes(MixedBytes.Value, sessionBytesWithLongLease()))
	row("29 KB/s", "every start urgent, lease of 1.8 s", daemonsForControlBytes(UrgentBytes.Value, sessionBytesWithLongLease()))
	row("3.6% of a core", "all processor time of the measured process counts", daemonsForProcessor(1))
	row("3.6% of a core", "half of it belongs to callers, workers and the platform", daemonsForProcessor(0.5))
	row("256 MB", "one day of journaled requests, 30 MB for the process (assumed)", daemonsForMemory())
	n := max(daemonsForProcessor(1), daemonsForControlBytes(MixedBytes.Value, SessionBytes.Value), daemonsForMemory())
	fmt.Fprintf(b, "\nThe largest is %.0f daemons. The limit of a core decides: an idle daemon\nalone takes %.1f%% of a core, and %.1f%% is left for starts and sessions.\n", n, DaemonCPU.Value/1e4, (maxProcessorMicrosecondsPerSecond-DaemonCPU.Value)/1e4)
}

func writeRoleTable(b *strings.Builder) {
	n := max(daemonsForProcessor(1), daemonsForControlBytes(MixedBytes.Value, SessionBytes.Value), daemonsForMemory())
	workers, starts, tasks := designWorkers/n, designStartsPerSecond/n, designTasks/n
	fmt.Fprintf(b, "\n## Roles with %.0f daemons\n\nEach daemon has every role. Shares are worked out from the slopes.\n\n", n)
	b.WriteString("| role | state | messages | bytes/s | processor, % of a core | memory, MB | store | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	fmt.Fprintf(b, "| entry | open calls | %.1f starts/s | %.0f with its starts | %.2f | below 1 | none for urgent work | placement on own leases, two sampled peers |\n",
		starts, starts*MixedBytes.Value, starts*StartCPU.Value/1e4)
	fmt.Fprintf(b, "| owner of workers | %.0f leases, %.0f running tasks | %.0f renewals and answers/s | %.0f | %.2f | %.1f | none | lease granted by the worker, renewed at a third |\n",
		workers, tasks, workers*5.45, workers*SessionBytes.Value, workers*SessionCPU.Value/2/1e4+ReducerTasks.Value*tasks/7_000/1e4,
		(workers*LeasedMemory.Value+tasks*TaskMemory.Value)/1e6)
	fmt.Fprintf(b, "| journal home | %.0f requests kept for a day | forward, acceptance, answer for each request | within those of a start | %.3f | %.1f | below 200 writes/s in the cell | partitions by rendezvous hash, group commit |\n",
		designJobsPerDay/n, float64(designJobsPerDay)/86_400/n*ReducerJournal.Value/1e4, designJobsPerDay/n*RecordMemory.Value/1e6)
	fmt.Fprintf(b, "| document follower | one document | %.2f edits/s in the cell | heartbeats carry the revision | below 0.01 | below 1 | %d head reads/s in the cell | one poller for each data centre, sections from peers |\n",
		float64(designEditsPerDay)/86_400, designDataCentres)
	fmt.Fprintf(b, "| peer | one heartbeat for each of %.0f peers | %.0f heartbeats/s sent | %.0f (measured with 99 peers) | %.1f with the idle daemon | below 1 | none | full rate in the data centre, rotation elsewhere |\n",
		n-1, 5*(n/designDataCentres-1+8), LinkBytes.Value, DaemonCPU.Value/1e4)
	fmt.Fprintf(b, "| operator | timeline of 65,536 records | on demand | on demand | on demand | %.1f | one write for each edit | ring buffer, conditional write |\n", timelineBytes/1e6)
	fmt.Fprintf(b, "| worker, as seen by us | term, tasks, fences | 5.45/s idle | %.0f | not ours | not ours | none | one lease |\n", SessionBytes.Value)
	fmt.Fprintf(b, "| platform, as seen by us | table, objects, list of %d workers | %.0f list reads/s | see the limits below | not ours | not ours | %.0f reads/s, 200 writes/s | list of every instance at 500 ms, head of each data centre |\n",
		designWorkers, 2*n, 2*n+designDataCentres)
}
