// Package finding collects the errors of an input, each with its place, so that all of
// them are reported at once.
//
// # Usage
//
//	var fs finding.List
//	fs.Add("/quota/memory", "-1 is negative")
//	fs.Add("/workloads/0/kind", "is missing")
//	if fs.Any() {
//		return fs.Err()
//	}
package finding
