package tableservice

// Stored forms of journal records. A key is never reused for another meaning.
type (
	recordWire struct {
		Kind              uint8        `cbor:"1,keyasint"`
		At                int64        `cbor:"2,keyasint,omitempty"` // ns since 1970
		ID                string       `cbor:"3,keyasint,omitempty"`
		Holder            string       `cbor:"4,keyasint,omitempty"`
		HolderIncarnation uint64       `cbor:"5,keyasint,omitempty"`
		Request           *requestWire `cbor:"6,keyasint,omitempty"`
		Attempt           *attemptWire `cbor:"7,keyasint,omitempty"`
		Worker            string       `cbor:"8,keyasint,omitempty"`
		Result            *resultWire  `cbor:"9,keyasint,omitempty"`
		Outcome           *outcomeWire `cbor:"10,keyasint,omitempty"`
		WorkerIncarnation uint64       `cbor:"11,keyasint,omitempty"`
	}
	requestWire struct {
		ID          string        `cbor:"1,keyasint,omitempty"` // empty if equal to that of the record
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
		BodyStored  bool          `cbor:"15,keyasint,omitempty"` // the body is an object named by BodyDigest
		SubmittedAt int64         `cbor:"16,keyasint,omitempty"` // ns since 1970
	}
	resourcesWire struct {
		MilliCPU     int64 `cbor:"1,keyasint,omitempty"`
		MemoryBytes  int64 `cbor:"2,keyasint,omitempty"`
		Accelerators int64 `cbor:"3,keyasint,omitempty"`
		Slots        int64 `cbor:"4,keyasint,omitempty"`
	}
	attemptWire struct {
		Request string `cbor:"1,keyasint,omitempty"` // empty if equal to the identifier of the record
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
	// bytesWire holds bytes, or their location if they are longer than
	// maxInlineBytes.
	bytesWire struct {
		Inline []byte `cbor:"1,keyasint,omitempty"`
		Stored []byte `cbor:"2,keyasint,omitempty"` // SHA-256 digest of the object
		Offset int64  `cbor:"3,keyasint,omitempty"` // within the object
		Length int64  `cbor:"4,keyasint,omitempty"` // within the object
	}
	// journalHeadWire is the value of a journal's head row. The journal consists of
	// the batches from First to before Next. Rows of earlier batches are left over
	// from a compaction.
	journalHeadWire struct {
		First uint64 `cbor:"1,keyasint"`
		Next  uint64 `cbor:"2,keyasint"`
	}
	// batchWire is the value of a batch row.
	batchWire struct {
		Records []recordWire `cbor:"1,keyasint"`
	}
)
