package link

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// maxListElements limits each list of a message. The workers and tickets of a message about
// advice are at most those of a data centre.
const maxListElements = 1 << 16

// decMode bounds the decoded form of a frame, which may be far larger than the frame.
var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, MaxArrayElements: maxListElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeFrame returns the messages of a frame, of which it may have maxFrameMessages.
func decodeFrame(data []byte) ([]wireMessage, error) {
	count, err := readArrayLength(data)
	if err != nil {
		return nil, err
	}
	if count > maxFrameMessages {
		return nil, errors.Errorf("%d messages, limit %d", count, maxFrameMessages)
	}
	var messages []wireMessage
	if err := decMode.Unmarshal(data, &messages); err != nil {
		return nil, err
	}
	return messages, nil
}

// readArrayLength returns the length of the CBOR array that the data starts with (RFC 8949,
// section 3).
func readArrayLength(data []byte) (uint64, error) {
	const (
		arrayType         = 4
		firstSizeArgument = 24 // the length follows in 1, 2, 4 or 8 bytes
		lastSizeArgument  = 27
	)
	if len(data) == 0 || data[0]>>5 != arrayType {
		return 0, errors.New("not a list of messages")
	}
	argument := uint64(data[0] & 0x1f)
	if argument < firstSizeArgument {
		return argument, nil
	}
	size := 1 << (argument - firstSizeArgument)
	if argument > lastSizeArgument || len(data) <= size {
		return 0, errors.New("the list of messages has no length")
	}
	var length uint64
	for _, b := range data[1 : 1+size] {
		length = length<<8 | uint64(b)
	}
	return length, nil
}
