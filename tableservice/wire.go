package tableservice

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// encoding writes shortest forms in a fixed order, so that equal values have
// equal bytes.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoding limits what a damaged row can make the reader allocate. A row has at
// most 256 KiB, and a list element takes at least a byte.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: rowLimit, MaxMapPairs: rowLimit}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// encode returns the CBOR form of a wire struct.
func encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return data, nil
}

// decode reads the CBOR form of a wire struct from a row.
func decode(key string, data []byte, to any) error {
	if err := decoding.Unmarshal(data, to); err != nil {
		return errors.Wrapf(err, "decode row %q", key)
	}
	return nil
}

// nanoseconds returns a time's wire form, 0 for the zero time.
func nanoseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// timeOf returns the time of a wire form.
func timeOf(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}
