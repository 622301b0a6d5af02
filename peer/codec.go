package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// The CBOR modes are strict, so that both sides interpret a frame in the same
// way: no unknown or repeated keys, no tags and no indefinite lengths.
var (
	encMode = must(cbor.EncOptions{
		IndefLength: cbor.IndefLengthForbidden,
		TagsMd:      cbor.TagsForbidden,
	}.EncMode())
	decMode = newDecMode(1 << 16)
	// strangersDecMode is for large frames of strangers, whose decoded form is bounded by the
	// lengths of their lists.
	strangersDecMode = newDecMode(256)
)

func newDecMode(maxArrayElements int) cbor.DecMode {
	return must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   16,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       64,
	}.DecMode())
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// encoder encodes the messages of one direction of a link into frames.
type encoder struct {
	nextNumber uint64 // number of the next message
	heartbeat  heartbeatEncoder
}

func newEncoder() *encoder { return &encoder{nextNumber: 1} }

// encodeMessage returns the wire form of a message. A heartbeat is encoded as
// the difference from the previous one.
func (e *encoder) encodeMessage(now time.Time, m event.Message) (wireMessage, error) {
	e.heartbeat.now = now
	kind, wire, err := messageToWire(m, e)
	if err != nil {
		return wireMessage{}, err
	}
	body, err := encMode.Marshal(wire)
	if err != nil {
		return wireMessage{}, errors.Wrap(err, "encode message")
	}
	return wireMessage{Kind: kind, Body: body}, nil
}

// encodeFrame returns a frame with the messages. Messages must be passed to
// encodeMessage and encodeFrame in the same order.
func (e *encoder) encodeFrame(messages []wireMessage) ([]byte, error) {
	data, err := encMode.Marshal(wireFrame{FirstNumber: e.nextNumber, Messages: messages})
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	e.nextNumber += uint64(len(messages))
	return data, nil
}

// decoder decodes the frames of one direction of a link into messages.
type decoder struct {
	nextNumber uint64
	heartbeat  heartbeatDecoder
	mode       cbor.DecMode
}

func newDecoder(from model.Instance, incarnation model.Incarnation) *decoder {
	return &decoder{nextNumber: 1, heartbeat: newHeartbeatDecoder(from, incarnation), mode: decMode}
}

// decodeFrame returns the messages of a frame, or an error that names the
// invalid message and field. The decoder must not be used after an error.
func (d *decoder) decodeFrame(data []byte) ([]event.Message, error) {
	var w wireFrame
	if err := d.mode.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	if w.FirstNumber != d.nextNumber {
		return nil, errors.Errorf("frame: starts with message %d, want %d", w.FirstNumber, d.nextNumber)
	}
	messages := make([]event.Message, 0, len(w.Messages))
	for _, m := range w.Messages {
		decoded, err := d.decodeMessage(m)
		if err != nil {
			return nil, errors.Wrapf(err, "message %d", d.nextNumber)
		}
		messages = append(messages, decoded)
		d.nextNumber++
	}
	return messages, nil
}

func (d *decoder) decodeMessage(m wireMessage) (event.Message, error) {
	if int(m.Kind) >= len(messageDecoders) || messageDecoders[m.Kind].decode == nil {
		return nil, errors.Errorf("unknown kind %d", m.Kind)
	}
	decoded, err := messageDecoders[m.Kind].decode(d, m.Body)
	if err != nil {
		return nil, errors.Wrap(err, messageDecoders[m.Kind].name)
	}
	return decoded, nil
}

// messageDecoder decodes the body of one kind of message.
type messageDecoder struct {
	name   string
	decode func(*decoder, cbor.RawMessage) (event.Message, error)
}

// messageDecoders is indexed by message kind.
var messageDecoders = [...]messageDecoder{
	kindHeartbeat:          {"heartbeat", decodeHeartbeat},
	kindForward:            {"forward", statelessDecoder(forwardFromWire)},
	kindForwardReply:       {"forward reply", statelessDecoder(forwardReplyFromWire)},
	kindReserve:            {"reserve", statelessDecoder(reserveFromWire)},
	kindReserved:           {"reserved", statelessDecoder(reservedFromWire)},
	kindConfirm:            {"confirm", statelessDecoder(confirmFromWire)},
	kindReleaseReservation: {"release reservation", statelessDecoder(releaseReservationFromWire)},
	kindAttemptUpdate:      {"attempt update", statelessDecoder(attemptUpdateMessageFromWire)},
	kindAttemptAck:         {"attempt ack", statelessDecoder(attemptAckFromWire)},
	kindStopAttempt:        {"stop attempt", statelessDecoder(stopAttemptFromWire)},
	kindCancelQuery:        {"cancel query", statelessDecoder(cancelQueryFromWire)},
	kindStatusQuery:        {"status query", statelessDecoder(statusQueryFromWire)},
	kindOutcomeReply:       {"outcome reply", statelessDecoder(outcomeReplyFromWire)},
	kindFenceQuery:         {"fence query", statelessDecoder(fenceQueryFromWire)},
	kindFenceReply:         {"fence reply", statelessDecoder(fenceReplyFromWire)},
	kindRunningQuery:       {"running query", statelessDecoder(runningQueryFromWire)},
	kindRunningReply:       {"running reply", statelessDecoder(runningReplyFromWire)},
	kindDocumentFetch:      {"document fetch", statelessDecoder(documentFetchFromWire)},
	kindDocumentCopy:       {"document copy", statelessDecoder(documentCopyFromWire)},
}

// decodeLargeFrameOfStranger is decodeFrame for a frame above minFrameBytes, of which senders
// make one for each message.
func (d *decoder) decodeLargeFrameOfStranger(data []byte) ([]event.Message, error) {
	d.mode = strangersDecMode
	defer func() { d.mode = decMode }()
	var w wireFrame
	if err := d.mode.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "frame")
	}
	if len(w.Messages) > 1 {
		return nil, errors.Errorf("frame: %d bytes with %d messages, want one", len(data), len(w.Messages))
	}
	return d.decodeFrame(data)
}

// statelessDecoder returns a decoder for messages that do not depend on earlier
// ones.
func statelessDecoder[W any](convert func(*W) (event.Message, error)) func(*decoder, cbor.RawMessage) (event.Message, error) {
	return func(d *decoder, body cbor.RawMessage) (event.Message, error) {
		var w W
		if err := d.mode.Unmarshal(body, &w); err != nil {
			return nil, err
		}
		return convert(&w)
	}
}

func decodeHeartbeat(d *decoder, body cbor.RawMessage) (event.Message, error) {
	var w wireHeartbeat
	if err := d.mode.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	return d.heartbeat.decode(&w)
}
