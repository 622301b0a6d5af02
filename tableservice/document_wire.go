package tableservice

// The wire forms of the document's rows.
type (
	documentHeadWire struct {
		Revision uint64            `cbor:"1,keyasint"`
		Sections []sectionHeadWire `cbor:"2,keyasint"`
	}
	sectionHeadWire struct {
		Name     string `cbor:"1,keyasint"`
		Revision uint64 `cbor:"2,keyasint"`
		Document uint64 `cbor:"3,keyasint"` // document revision that committed it
	}
	sectionWire struct {
		Name     string   `cbor:"1,keyasint"`
		Owners   []string `cbor:"2,keyasint,omitempty"`
		Revision uint64   `cbor:"3,keyasint"`
		Document uint64   `cbor:"4,keyasint"`
		EditID   string   `cbor:"5,keyasint"`
		Body     []byte   `cbor:"6,keyasint"`
	}
	editWire struct {
		EditID          string `cbor:"1,keyasint"`
		Section         string `cbor:"2,keyasint"`
		SectionRevision uint64 `cbor:"3,keyasint"` // that the edit committed
		Revision        uint64 `cbor:"4,keyasint"` // of the document
		Team            string `cbor:"5,keyasint,omitempty"`
		At              int64  `cbor:"6,keyasint"` // ns since 1970
		BodyDigest      []byte `cbor:"7,keyasint"`
	}
)
