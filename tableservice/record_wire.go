package tableservice

// The wire forms of journal records. Keys are never reused for another meaning.
// Stored names the object that holds bytes that are too long for a row.
type (
	recordWire struct {
		Kind       uint8        `cbor:"1,keyasint"`
		At         int64        `cbor:"2,keyasint,omitempty"` // ns since 1970
		ID         string       `cbor:"3,keyasint,omitempty"`
		Holder     string       `cbor:"4,keyasint,omitempty"`
		Life       uint64       `cbor:"5,keyasint,omitempty"`
		Request    *requestWire `cbor:"6,keyasint,omitempty"`
		Attempt    *attemptWire `cbor:"7,keyasint,omitempty"`
		Worker     string       `cbor:"8,keyasint,omitempty"`
		Result     *resultWire  `cbor:"9,keyasint,omitempty"`
		Outcome    *outcomeWire `cbor:"10,keyasint,omitempty"`
		WorkerLife uint64       `cbor:"11,keyasint,omitempty"`
	}
	requestWire struct {
		ID          string        `cbor:"1,keyasint,omitempty"` // that of the record when empty
		Team        string        `cbor:"2,keyasint,omitempty"`
		Workload    string        `cbor:"3,keyasint,omitempty"`
		Kind        uint8         `cbor:"4,keyasint"`
		Class       uint8         `cbor:"5,keyasint"`
		Resources   resourcesWire `cbor:"6,keyasint"`
		Tasks       uint32        `cbor:"7,keyasint"`
		Gang        bool          `cbor:"8,keyasint,omitempty"`
		Idempotent  bool          `cbor:"9,keyasint,omitempty"`
		Preemptible bool          `cbor:"10,keyasint,omitempty"`
		Deadline    int64         `cbor:"11,keyasint,omitempty"` // ns since 1970
		Body        bytesWire     `cbor:"12,keyasint"`
		BodyLength  int64         `cbor:"13,keyasint,omitempty"`
		BodyDigest  []byte        `cbor:"14,keyasint"`
		BodyStored  bool          `cbor:"15,keyasint,omitempty"` // the request names the object itself
		SubmittedAt int64         `cbor:"16,keyasint,omitempty"` // ns since 1970
	}
	resourcesWire struct {
		MilliCPU     int64 `cbor:"1,keyasint,omitempty"`
		MemoryBytes  int64 `cbor:"2,keyasint,omitempty"`
		Accelerators int64 `cbor:"3,keyasint,omitempty"`
		Slots        int64 `cbor:"4,keyasint,omitempty"`
	}
	attemptWire struct {
		Request string `cbor:"1,keyasint,omitempty"` // that of the record when empty
		Task    uint32 `cbor:"2,keyasint,omitempty"`
		Number  uint32 `cbor:"3,keyasint,omitempty"`
	}
	resultWire struct {
		Succeeded bool      `cbor:"1,keyasint,omitempty"`
		Message   string    `cbor:"2,keyasint,omitempty"`
		Answer    bytesWire `cbor:"3,keyasint"`
		Digest    []byte    `cbor:"4,keyasint"`
	}
	outcomeWire struct {
		Status  uint8        `cbor:"1,keyasint"`
		Reason  string       `cbor:"2,keyasint,omitempty"`
		Proof   uint8        `cbor:"3,keyasint,omitempty"`
		Answer  bytesWire    `cbor:"4,keyasint"`
		Digest  []byte       `cbor:"5,keyasint"`
		Worker  string       `cbor:"6,keyasint,omitempty"`
		Attempt *attemptWire `cbor:"7,keyasint,omitempty"`
	}
	bytesWire struct {
		Inline []byte `cbor:"1,keyasint,omitempty"`
		Stored []byte `cbor:"2,keyasint,omitempty"` // SHA-256 digest of the object
		Offset int64  `cbor:"3,keyasint,omitempty"` // within the object
		Length int64  `cbor:"4,keyasint,omitempty"` // within the object
	}
	// headWire is the value of a journal's head row. Batches before First are
	// left over from a compaction.
	headWire struct {
		First uint64 `cbor:"1,keyasint"`
		Next  uint64 `cbor:"2,keyasint"`
	}
	// batchWire is the value of a batch row.
	batchWire struct {
		Records []recordWire `cbor:"1,keyasint"`
	}
)
