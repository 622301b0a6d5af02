package settings

// instanceSection documents the settings of fuchsiacross-instance that bound its load and that
// of its clients. Package instance reads them; docs/OPERATIONS.md lists the others.
const instanceSection = `
## fuchsiacross-instance

The program on the users' platform reads one JSON object, which ` + "`deploy/settings.json.tmpl`" + ` renders. Unknown fields are refused. Its addresses and times are in [OPERATIONS.md](OPERATIONS.md).

| field | type | range | default | description |
| --- | --- | --- | --- | --- |
| ` + "`processor_share`" + ` | number, processors | above 0 | required | share of one processor; determines with the next three how much of the load of a shard the instance can lead ([CAPACITY.md](CAPACITY.md)) |
| ` + "`memory_megabytes`" + ` | integer, MB | above 0 | required | memory of the instance; a sixth is for the jobs that a leader knows ([design/intake.md](design/intake.md)) |
| ` + "`link_megabits`" + ` | number, Mbit/s | at least 0 | 0, unknown | bandwidth of the machine's link |
| ` + "`max_descriptors`" + ` | integer, descriptors | at least 0 | 0, unknown | file descriptors of the process |
| ` + "`features`" + ` | string |  | "" | optional rules that the deployment asks for, separated by commas without spaces; the instance acts on ` + "`tenants`" + `: requests need keys ([design/keys.md](design/keys.md)) |
| ` + "`strict_revocation`" + ` | boolean |  | false | requests with keys are refused with status 503 once the configuration has not been confirmed for ` + "`revocation_milliseconds`" + ` |
| ` + "`revocation_milliseconds`" + ` | integer, milliseconds | at least 0 | 0 | 0 means 1500; without effect unless ` + "`strict_revocation`" + ` is set, but a leader that answers for the store uses it too |
| ` + "`max_connections`" + ` | integer, connections | 16 to 65536 | a quarter of memory_megabytes at 96 KiB each, 192 to 4096, and at most half of the descriptors above 200 | open connections of clients; 0 stands for the default here and below ([design/intake.md](design/intake.md) has the arithmetic) |
| ` + "`body_megabytes`" + ` | integer, MiB | 1 to a quarter of memory_megabytes | a sixteenth of memory_megabytes, at least 2 | memory for the bodies of all requests; a whole request counts with twice the length of its body |
| ` + "`header_timeout_milliseconds`" + ` | integer, milliseconds | 100 to 60000 | 5000 | longest time for the header of a request, at all listening addresses |
| ` + "`body_timeout_milliseconds`" + ` | integer, milliseconds | 100 to 60000 | 60000 | longest time for the body of a request; a shorter X-Deadline-Ms of the client counts before it |
`
