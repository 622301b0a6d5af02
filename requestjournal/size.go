package requestjournal

// recordOverheadBytes is an upper estimate of the encoded size of a record without its
// variable fields: a request with resources and digests takes about 150 bytes.
const recordOverheadBytes = 200

// maxInlineBytes is the size above which a body or an answer is stored as an object
// outside the record, so that it does not count towards the record's size.
const maxInlineBytes = 4096

// estimatedBytes estimates the encoded size of a record.
func (r *Record) estimatedBytes() int {
	n := recordOverheadBytes + len(r.ID)
	if r.Request != nil {
		n += inlineBytes(r.Request.Body)
	}
	if r.Result != nil {
		n += inlineBytes(r.Result.Answer) + len(r.Result.Message)
	}
	if r.Outcome != nil {
		n += inlineBytes(r.Outcome.Answer) + len(r.Outcome.Reason)
	}
	return n
}

func inlineBytes(data []byte) int {
	if len(data) > maxInlineBytes {
		return 0
	}
	return len(data)
}
