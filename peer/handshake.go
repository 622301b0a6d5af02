package peer

import (
	"context"
	"crypto/hmac"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// handshakeAsDialer exchanges hellos and proofs on a connection that this
// instance opened. The acceptor sends its proof first, so that a dialer without
// the key learns nothing that it could use elsewhere.
func (l *Links) handshakeAsDialer(ctx context.Context, conn *websocket.Conn, to model.InstanceID) (*session, error) {
	conn.SetReadLimit(maxHelloBytes)
	local := l.localHello()
	local.recipient = to
	localData, err := encodeHello(local)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, localData); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	remote, remoteData, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if remote.instance.ID != to {
		return nil, errors.Errorf("hello: reached instance %q, want %q", remote.instance.ID, to)
	}
	secret := l.options.Secret()
	if err := verifyProof(ctx, conn, computeProof(secret, roleAcceptor, localData, remoteData)); err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, computeProof(secret, roleDialer, localData, remoteData)); err != nil {
		return nil, errors.Wrap(err, "send proof")
	}
	return newSession(conn, remote, local.keepaliveMilliseconds, l.options.Self.ID), nil
}

// handshakeAsAcceptor exchanges hellos and proofs on a connection that a peer
// opened.
func (l *Links) handshakeAsAcceptor(ctx context.Context, conn *websocket.Conn) (*session, error) {
	conn.SetReadLimit(maxHelloBytes)
	remote, remoteData, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if remote.recipient != l.options.Self.ID {
		return nil, errors.Errorf("hello: meant for instance %q, this is %q", remote.recipient, l.options.Self.ID)
	}
	local := l.localHello()
	localData, err := encodeHello(local)
	if err != nil {
		return nil, err
	}
	secret := l.options.Secret()
	for _, data := range [][]byte{localData, computeProof(secret, roleAcceptor, remoteData, localData)} {
		if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	if err := verifyProof(ctx, conn, computeProof(secret, roleDialer, remoteData, localData)); err != nil {
		return nil, err
	}
	return newSession(conn, remote, local.keepaliveMilliseconds, remote.instance.ID), nil
}

// localHello returns the hello of this instance, without a recipient.
func (l *Links) localHello() hello {
	return hello{
		instance:              l.options.Self,
		incarnation:           l.options.Incarnation,
		keepaliveMilliseconds: l.keepaliveInterval().Milliseconds(),
		maxFrameBytes:         l.options.MaxFrameBytes,
	}
}

func (l *Links) readHello(ctx context.Context, conn *websocket.Conn) (hello, []byte, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return hello{}, nil, errors.Wrap(err, "read hello")
	}
	remote, err := decodeHello(data)
	if err != nil {
		return hello{}, nil, err
	}
	if remote.instance.ID == l.options.Self.ID {
		return hello{}, nil, errors.Errorf("hello: instance %q is this one", remote.instance.ID)
	}
	return remote, data, nil
}

func verifyProof(ctx context.Context, conn *websocket.Conn, want []byte) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(data, want) {
		return errors.New("proof: the other side has a different key")
	}
	return nil
}

func newSession(conn *websocket.Conn, remote hello, keepaliveMilliseconds int64, dialer model.InstanceID) *session {
	return &session{
		conn:                  conn,
		remote:                remote,
		dialer:                dialer,
		openedAt:              time.Now(),
		keepaliveMilliseconds: keepaliveMilliseconds,
		done:                  make(chan struct{}),
	}
}
