package rpcserver

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"fuchsiacross/intake"
)

const (
	defaultBodyBytes   = 64 << 20
	defaultBodyTimeout = time.Minute
)

// DefaultBudget returns a budget for a server that shares none with others.
func DefaultBudget() *intake.Budget { return intake.NewBudget(defaultBodyBytes, defaultBodyTimeout) }

// maxBodyTime is the longest time for the body of a request without a timeout of its own.
const maxBodyTime = time.Hour

// BoundBodies reads the bodies of requests through a budget before next sees them, so that
// connect does not buffer bodies that are incomplete. Compressed bodies are inflated under the
// budget too. A body whose declared length exceeds the limit of HandlerOptions gets
// invalid_argument, because callers would retry the resource_exhausted with which connect
// reports an oversized message. A body that the budget does not keep gets resource_exhausted:
// its request has not run and never does.
func BoundBodies(budget *intake.Budget, maxField int64, next http.Handler) http.Handler {
	limit := int64(maxReadBytes(maxField))
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		deadline := time.Now().Add(requestTimeout(r.Header))
		received, err := budget.Receive(w, r, limit, deadline)
		if err == nil {
			received, err = inflate(budget, w, r, received, limit, deadline)
		}
		if err != nil {
			intake.PrepareRefusal(w, r, err)
			_ = errorWriter.Write(w, r, bodyError(w, r, err, limit))
			return
		}
		defer received.Release()
		r = r.WithContext(context.WithValue(r.Context(), receivedKey{}, received))
		r.Body, r.ContentLength = io.NopCloser(&bodyReader{received.Bytes}), int64(len(received.Bytes))
		received.Bytes = nil
		next.ServeHTTP(w, r)
	})
}

type receivedKey struct{}

// bodyReader reads a body and drops it at its end: the request outlives the decoding.
type bodyReader struct {
	rest []byte
}

// Read reads a part of the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		b.rest = nil
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// bodyError returns the error of a body that was not kept.
func bodyError(w http.ResponseWriter, r *http.Request, err error, limit int64) error {
	var refusal *intake.Refusal
	switch {
	case !errors.As(err, &refusal):
		return connect.NewError(connect.CodeInvalidArgument, errors.Wrap(err, "body"))
	case refusal.Cause == intake.CauseTooLarge && r.ContentLength > limit:
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("body: %d bytes is above the limit of %d bytes", r.ContentLength, limit))
	case refusal.Cause == intake.CauseTooLarge:
		return connect.NewError(connect.CodeInvalidArgument, errors.Errorf("body: above the limit of %d bytes", limit))
	}
	w.Header().Set(retryAfterHeader, strconv.Itoa(int(refusal.RetryAfter.Seconds())))
	return connect.NewError(connect.CodeResourceExhausted, refusal)
}

// releaseBody returns the bytes of an encoded body to the budget once the message is decoded,
// and keeps those of the message.
func releaseBody(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if received, ok := ctx.Value(receivedKey{}).(*intake.Received); ok {
			if m, ok := request.Any().(proto.Message); ok {
				received.Keep(int64(proto.Size(m)))
			}
		}
		return next(ctx, request)
	}
}

// requestTimeout returns the time that a call has by its headers.
func requestTimeout(h http.Header) time.Duration {
	if milliseconds, err := strconv.ParseInt(h.Get("Connect-Timeout-Ms"), 10, 64); err == nil && milliseconds > 0 {
		return min(maxBodyTime, time.Duration(min(milliseconds, maxBodyTime.Milliseconds()))*time.Millisecond)
	}
	text := h.Get("Grpc-Timeout")
	if text == "" {
		return maxBodyTime
	}
	units := []struct {
		suffix byte
		unit   time.Duration
	}{
		{'H', time.Hour}, {'M', time.Minute}, {'S', time.Second}, {'m', time.Millisecond}, {'u', time.Microsecond}, {'n', time.Nanosecond},
	}
	count, err := strconv.ParseInt(text[:len(text)-1], 10, 64)
	for _, u := range units {
		if err == nil && count > 0 && u.suffix == text[len(text)-1] && count < int64(maxBodyTime/u.unit) {
			return time.Duration(count) * u.unit
		}
	}
	return maxBodyTime
}

const (
	gzipName = "gzip"
	// gRPC and gRPC-Web put a byte with flags and a length before a message.
	envelopeBytes        = 5
	compressedFlag  byte = 1
	grpcEncoding         = "Grpc-Encoding"
	contentEncoding      = "Content-Encoding"
)

// inflate replaces a body that is compressed by its inflated form. Connect knows no other
// compression than gzip and reports it, if there is one.
func inflate(budget *intake.Budget, w http.ResponseWriter, r *http.Request, received *intake.Received, limit int64, deadline time.Time) (*intake.Received, error) {
	var envelope []byte
	body := received.Bytes
	switch {
	case r.Header.Get(contentEncoding) == gzipName:
	case r.Header.Get(grpcEncoding) == gzipName && len(body) >= envelopeBytes && body[0]&compressedFlag != 0:
		envelope = bytes.Clone(body[:envelopeBytes])
		if length := int64(binary.BigEndian.Uint32(envelope[1:])); length != int64(len(body)-envelopeBytes) {
			return received, nil // connect reports the wrong length
		}
		body = body[envelopeBytes:]
	default:
		return received, nil
	}
	defer received.Release()
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "gzip")
	}
	inner := r.WithContext(r.Context())
	inner.Body, inner.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(envelope), reader)), -1
	inflated, err := budget.Receive(w, inner, limit, deadline)
	if err != nil {
		return nil, err
	}
	if envelope == nil {
		r.Header.Del(contentEncoding)
		return inflated, nil
	}
	inflated.Bytes[0] &^= compressedFlag
	binary.BigEndian.PutUint32(inflated.Bytes[1:], uint32(len(inflated.Bytes)-envelopeBytes))
	return inflated, nil
}
