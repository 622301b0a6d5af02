package home

import "fuchsiacross/model"

// requestStateBytes is the memory of a request besides its body and its tasks.
const requestStateBytes = 512

// TaskBytes is the memory of each task of a request, with its item in the queue.
const TaskBytes = 640

// requestBytes estimates the memory that a request takes at its home.
func requestBytes(spec *model.Request) int64 {
	return requestStateBytes + int64(len(spec.Body)) + int64(spec.Tasks)*TaskBytes
}

// hasMemoryFor reports whether a new request fits into the limit. It fits if it is the only one.
func (t *Table) hasMemoryFor(spec *model.Request) bool {
	limit := t.opts.MaxRequestBytes
	return limit == 0 || t.requestBytes == 0 || t.requestBytes+requestBytes(spec) <= limit
}

func (t *Table) keepRequest(r *request) {
	t.requests[r.spec.ID] = r
	t.requestBytes += requestBytes(r.spec)
}

func (t *Table) removeRequest(r *request) {
	t.requestBytes -= requestBytes(r.spec)
	delete(t.requests, r.spec.ID)
}

// dropBody drops the body of a request that no attempt needs any more.
func (t *Table) dropBody(r *request) {
	t.requestBytes -= int64(len(r.spec.Body))
	r.spec = withoutBody(r.spec)
}
