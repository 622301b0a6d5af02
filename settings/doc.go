// Package settings reads and validates the settings of the daemon from one JSON file.
//
// One table lists every field with its type, range, default and description. It is
// used for decoding and for the generated documentation. Findings, the errors in a
// settings file, are reported all at once, each with the file, the line and the JSON
// pointer of its value. A settings file with findings is rejected as a whole.
//
// # Usage
//
//	s, err := settings.Load("daemon.json")
//	if err != nil {
//		fmt.Fprintln(os.Stderr, err) // one line for each finding
//		os.Exit(2)
//	}
package settings
