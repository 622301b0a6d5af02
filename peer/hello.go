package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/netip"

	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// protocolVersion is sent in the hello. Links between different versions are
// refused.
const protocolVersion = 1

const (
	nonceBytes = 16
	maxIDBytes = 256
	// minFrameBytes is the frame size that every instance must accept, so that
	// instances with different settings can exchange heartbeats and commands.
	minFrameBytes = 64 << 10
)

// The roles prevent reflection attacks: the proof of one side is not valid as the
// proof of the other.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// hello is the first message of each side of a link.
type hello struct {
	instance              model.Instance
	incarnation           model.Incarnation
	recipient             model.InstanceID // the instance that the dialer intends to reach; empty from the acceptor
	keepaliveMilliseconds int64            // the side sends a frame at least this often
	maxFrameBytes         int64            // largest frame that the side accepts; at least minFrameBytes
}

// wireHello is the wire form of hello.
type wireHello struct {
	Version               uint64  `cbor:"1,keyasint"`
	Instance              string  `cbor:"2,keyasint"`
	Incarnation           uint64  `cbor:"3,keyasint"`
	DataCentre            string  `cbor:"4,keyasint"`
	Address               string  `cbor:"5,keyasint"`
	Weight                float64 `cbor:"6,keyasint"`
	KeepaliveMilliseconds int64   `cbor:"7,keyasint"`
	Nonce                 []byte  `cbor:"8,keyasint"`
	Recipient             string  `cbor:"9,keyasint,omitempty"`
	MaxFrameBytes         int64   `cbor:"10,keyasint"`
}

func encodeHello(h hello) ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails
	return encMode.Marshal(wireHello{
		Version:               protocolVersion,
		Instance:              string(h.instance.ID),
		Incarnation:           uint64(h.incarnation),
		DataCentre:            string(h.instance.DataCentre),
		Address:               h.instance.Address.String(),
		Weight:                h.instance.Weight,
		KeepaliveMilliseconds: h.keepaliveMilliseconds,
		Nonce:                 nonce,
		Recipient:             string(h.recipient),
		MaxFrameBytes:         h.maxFrameBytes,
	})
}

func decodeHello(data []byte) (hello, error) {
	var w wireHello
	if err := decMode.Unmarshal(data, &w); err != nil {
		return hello{}, errors.Wrap(err, "hello")
	}
	switch {
	case w.Version != protocolVersion:
		return hello{}, errors.Errorf("hello: version %d, want %d", w.Version, protocolVersion)
	case w.Instance == "" || len(w.Instance) > maxIDBytes:
		return hello{}, errors.Errorf("hello: instance has %d bytes, limit 1 to %d", len(w.Instance), maxIDBytes)
	case len(w.DataCentre) > maxIDBytes:
		return hello{}, errors.Errorf("hello: data centre has %d bytes, limit %d", len(w.DataCentre), maxIDBytes)
	case len(w.Nonce) != nonceBytes:
		return hello{}, errors.Errorf("hello: nonce has %d bytes, want %d", len(w.Nonce), nonceBytes)
	case w.KeepaliveMilliseconds < 10 || w.KeepaliveMilliseconds > 60_000:
		return hello{}, errors.Errorf("hello: keepalive interval %d ms is outside 10 to 60000", w.KeepaliveMilliseconds)
	case w.MaxFrameBytes < minFrameBytes:
		return hello{}, errors.Errorf("hello: accepts frames of %d bytes, want at least %d", w.MaxFrameBytes, minFrameBytes)
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil && w.Address != (netip.AddrPort{}).String() {
		return hello{}, errors.Wrap(err, "hello: address")
	}
	return hello{
		instance: model.Instance{
			ID:         model.InstanceID(w.Instance),
			Address:    address,
			DataCentre: model.DataCentre(w.DataCentre),
			Weight:     w.Weight,
		},
		incarnation:           model.Incarnation(w.Incarnation),
		recipient:             model.InstanceID(w.Recipient),
		keepaliveMilliseconds: w.KeepaliveMilliseconds,
		maxFrameBytes:         w.MaxFrameBytes,
	}, nil
}

// computeProof returns the HMAC by which the side with a role proves that it has
// the shared key. It is empty without a key.
func computeProof(secret []byte, role string, dialer, acceptor []byte) []byte {
	if len(secret) == 0 {
		return []byte{}
	}
	mac := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(role), dialer, acceptor} {
		// Hashing each part separately makes the boundaries between the parts
		// unambiguous.
		sum := sha256.Sum256(part)
		mac.Write(sum[:])
	}
	return mac.Sum(nil)
}
