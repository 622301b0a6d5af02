package settings

// instanceSection is the part of docs/settings.md on the bounds of untrusted clients of
// fuchsiacross-instance, which package instance checks.
const instanceSection = `
## fuchsiacross-instance: bounds of untrusted clients

The settings of fuchsiacross-instance are one JSON object, whose other fields are in [OPERATIONS.md](OPERATIONS.md). These are optional; 0 stands for the default. [design/intake.md](design/intake.md) has the arithmetic.

| field | unit | range | default | description |
| --- | --- | --- | --- | --- |
| ` + "`max_connections`" + ` | connections | 16 to 65536 | a quarter of memory_megabytes at 96 KiB each, 192 to 4096, and at most half of the descriptors above 200 | open connections of clients |
| ` + "`body_megabytes`" + ` | MiB | 1 to a quarter of memory_megabytes | a sixteenth of memory_megabytes, at least 2 | memory for the bodies of all requests; a whole request counts with twice the length of its body |
| ` + "`header_timeout_milliseconds`" + ` | milliseconds | 100 to 60000 | 5000 | longest time for the header of a request, at all listening addresses |
| ` + "`body_timeout_milliseconds`" + ` | milliseconds | 100 to 60000 | 60000 | longest time for the body of a request; a shorter X-Deadline-Ms of the client counts before it |
`
