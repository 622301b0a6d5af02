package rpcserver

import (
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"fuchsiacross/finding"
)

// envelopeBytes is the room that a request may take besides its largest field.
const envelopeBytes = 64 << 10

// Options returns the handler options of a server whose largest field may have
// maxField bytes. Twice the field is read, so that a field above its limit is
// reported with its name, and so that the base64 form of JSON fits.
func HandlerOptions(maxField int64) []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithReadMaxBytes(readLimit(maxField)),
		connect.WithCodec(strictJSON{"json"}),
		connect.WithCodec(strictJSON{"json; charset=utf-8"}),
	}
}

func readLimit(maxField int64) int { return int(2*maxField + envelopeBytes) }

// LimitBody refuses a request whose declared length is above what Options
// reads. connect itself reports an oversized message as resource_exhausted,
// which callers would repeat.
func LimitBody(maxField int64, next http.Handler) http.Handler {
	limit := int64(readLimit(maxField))
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > limit {
			err := connect.NewError(connect.CodeInvalidArgument, errors.Errorf("body: %d bytes is above the limit of %d bytes", r.ContentLength, limit))
			_ = errorWriter.Write(w, r, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Invalid returns the findings as an invalid_argument error, one a line.
func InvalidArgument(fs finding.List) error {
	return connect.NewError(connect.CodeInvalidArgument, fs.Err())
}

// UnknownFields returns a finding for each message in m that carries fields
// which the server does not know. A newer caller must not believe that they
// were heeded.
func FindUnknownFields(m proto.Message) finding.List {
	var fs finding.List
	unknownFields("", m.ProtoReflect(), &fs)
	return fs
}

func unknownFields(place string, m protoreflect.Message, fs *finding.List) {
	if n := len(m.GetUnknown()); n > 0 {
		fs.Add(place, fmt.Sprintf("has %d bytes of unknown fields", n))
	}
	m.Range(func(d protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if d.Message() != nil && !d.IsList() && !d.IsMap() {
			unknownFields(string(d.Name()), v.Message(), fs)
		}
		return true
	})
}

// strictJSON is connect's JSON codec, except that unknown fields are errors.
type strictJSON struct {
	name string
}

// Name returns the name by which connect selects the codec.
func (c strictJSON) Name() string { return c.name }

// Marshal returns the JSON form of a message.
func (strictJSON) Marshal(message any) ([]byte, error) {
	m, ok := message.(proto.Message)
	if !ok {
		return nil, errors.Errorf("%T is not a message", message)
	}
	return protojson.Marshal(m)
}

// Unmarshal reads the JSON form of a message.
func (strictJSON) Unmarshal(data []byte, message any) error {
	m, ok := message.(proto.Message)
	if !ok {
		return errors.Errorf("%T is not a message", message)
	}
	return protojson.Unmarshal(data, m)
}
