package tableservice

// Stored forms of the document's rows.
type (
	// documentHeadWire is the value of the document's head row.
	documentHeadWire struct {
		Revision uint64            `cbor:"1,keyasint"`
		Sections []sectionHeadWire `cbor:"2,keyasint"`
	}
	// sectionHeadWire is the entry of one section in the document's head.
	sectionHeadWire struct {
		Name             string `cbor:"1,keyasint"`
		Revision         uint64 `cbor:"2,keyasint"`
		DocumentRevision uint64 `cbor:"3,keyasint"` // document revision at which the section was committed
	}
	// sectionWire is the value of a section's row.
	sectionWire struct {
		Name             string   `cbor:"1,keyasint"`
		Owners           []string `cbor:"2,keyasint,omitempty"`
		Revision         uint64   `cbor:"3,keyasint"`
		DocumentRevision uint64   `cbor:"4,keyasint"`
		EditID           string   `cbor:"5,keyasint"`
		Body             []byte   `cbor:"6,keyasint"`
	}
	// editWire records a committed edit. It is the value of two rows: one under the
	// document revision and one under the digest of the edit id.
	editWire struct {
		EditID           string `cbor:"1,keyasint"`
		Section          string `cbor:"2,keyasint"`
		SectionRevision  uint64 `cbor:"3,keyasint"` // revision that the edit committed
		DocumentRevision uint64 `cbor:"4,keyasint"` // document revision that the edit committed
		Team             string `cbor:"5,keyasint,omitempty"`
		At               int64  `cbor:"6,keyasint"` // ns since 1970
		BodyDigest       []byte `cbor:"7,keyasint"`
	}
)
