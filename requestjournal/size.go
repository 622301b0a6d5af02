package requestjournal

// recordOverhead is the encoded size of a record without its variable fields,
// rounded up: a request with resources and digests takes about 150 bytes.
const recordOverhead = 200

// inlineLimit is the size in bytes above which a body or an answer is stored as
// an object and does not count.
const inlineLimit = 4096

// size estimates the encoded size of a record in bytes.
func (r *Record) size() int {
	n := recordOverhead + len(r.ID)
	if r.Request != nil {
		n += inline(r.Request.Body)
	}
	if r.Result != nil {
		n += inline(r.Result.Answer) + len(r.Result.Message)
	}
	if r.Outcome != nil {
		n += inline(r.Outcome.Answer) + len(r.Outcome.Reason)
	}
	return n
}

func inline(data []byte) int {
	if len(data) > inlineLimit {
		return 0
	}
	return len(data)
}
