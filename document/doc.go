// Package document parses and checks the operators' document: the configuration of
// workloads, priorities and limits of a cell. It consists of sections in JSON, each
// owned by one or more teams.
//
// A Document is immutable. An edit replaces one section and yields a new Document
// with the next revision. A field that a section omits has its default value; an
// unknown field is an error.
//
// # Usage
//
//	doc, err := document.Assemble(revision, sections)
//	if err != nil {
//		return err // wraps a finding.List with JSON pointers
//	}
//	w, ok := doc.Workload("gates", "moisture_check")
package document
