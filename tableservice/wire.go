package tableservice

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// encMode is the deterministic encoding of CBOR, with shortest forms and sorted keys,
// so that equal values have equal bytes.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode limits the memory that a damaged row can make the decoder allocate. A row
// has at most 256 KiB, and an element takes at least a byte.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxRowBytes, MaxMapPairs: maxRowBytes}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode returns the CBOR encoding of a wire struct.
func encode(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// decode decodes the value of the row with the given key into a wire struct.
func decode(key string, data []byte, to any) error {
	if err := decMode.Unmarshal(data, to); err != nil {
		return errors.Wrapf(err, "decode row %q", key)
	}
	return nil
}

// toUnixNano returns the stored form of a time: nanoseconds since 1970, or 0 for the
// zero time.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// fromUnixNano reverses toUnixNano.
func fromUnixNano(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
