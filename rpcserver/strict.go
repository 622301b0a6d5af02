package rpcserver

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"fuchsiacross/finding"
)

// maxEnvelopeBytes limits the size of a request without its largest field.
const maxEnvelopeBytes = 64 << 10

// HandlerOptions returns the options of a handler whose largest field may have maxField
// bytes. Requests of about twice that size are read, so that an oversized field can be
// reported by name and the base64 encoding in JSON fits.
func HandlerOptions(maxField int64) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(maxReadBytes(maxField)),
		connect.WithCodec(strictJSON{"json"}),
		connect.WithCodec(strictJSON{"json; charset=utf-8"}),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(addRetryAfter), connect.UnaryInterceptorFunc(releaseBody)),
	}
}

func maxReadBytes(maxField int64) int { return int(2*maxField + maxEnvelopeBytes) }

// InvalidArgument returns an invalid_argument error with one finding per line.
func InvalidArgument(fs finding.List) error {
	return connect.NewError(connect.CodeInvalidArgument, fs.Err())
}

// FindUnknownFields returns a finding for each message in m that has fields which the
// server does not know. Ignoring them would mislead callers with a newer protocol.
func FindUnknownFields(m proto.Message) finding.List {
	var fs finding.List
	addUnknownFields("", m.ProtoReflect(), &fs)
	return fs
}

func addUnknownFields(place string, m protoreflect.Message, fs *finding.List) {
	if n := len(m.GetUnknown()); n > 0 {
		fs.Add(place, fmt.Sprintf("has %d bytes of unknown fields", n))
	}
	m.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if d.Message() != nil && !d.IsList() && !d.IsMap() {
			addUnknownFields(string(d.Name()), v.Message(), fs)
		}
		return true
	})
}

// strictJSON is the JSON codec of connect, except that unknown fields are errors.
type strictJSON struct {
	name string
}

// Name returns the content subtype for which connect selects the codec.
func (c strictJSON) Name() string { return c.name }

// Marshal encodes a message as JSON.
func (strictJSON) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a message", message)
	}
	return protojson.Marshal(m)
}

// Unmarshal decodes a message from JSON.
func (strictJSON) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a message", message)
	}
	return protojson.Unmarshal(data, m)
}
