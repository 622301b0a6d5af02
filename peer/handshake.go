package peer

import (
	"context"
	"crypto/hmac"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// greetAsDialer exchanges the hellos and the proofs on a connection that this
// instance opened. The acceptor proves first, so that a dialer without the key
// learns nothing that it could use elsewhere.
func (l *Links) greetAsDialer(ctx context.Context, conn *websocket.Conn, to model.InstanceID) (*session, error) {
	conn.SetReadLimit(maxHelloBytes)
	own := l.hello()
	own.to = to
	mine, err := encodeHello(own)
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, mine); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	remote, theirs, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if remote.instance.ID != to {
		return nil, errors.Errorf("hello: reached instance %q, want %q", remote.instance.ID, to)
	}
	secret := l.options.Secret()
	if err := readProof(ctx, conn, proof(secret, roleAcceptor, mine, theirs)); err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, websocket.MessageBinary, proof(secret, roleDialer, mine, theirs)); err != nil {
		return nil, errors.Wrap(err, "send proof")
	}
	return newSession(conn, remote, own.idleMilliseconds, l.options.Self.ID), nil
}

// greetAsAcceptor exchanges the hellos and the proofs on a connection that a
// peer opened.
func (l *Links) greetAsAcceptor(ctx context.Context, conn *websocket.Conn) (*session, error) {
	conn.SetReadLimit(maxHelloBytes)
	remote, theirs, err := l.readHello(ctx, conn)
	if err != nil {
		return nil, err
	}
	if remote.to != l.options.Self.ID {
		return nil, errors.Errorf("hello: meant for instance %q, this is %q", remote.to, l.options.Self.ID)
	}
	own := l.hello()
	mine, err := encodeHello(own)
	if err != nil {
		return nil, err
	}
	secret := l.options.Secret()
	for _, data := range [][]byte{mine, proof(secret, roleAcceptor, theirs, mine)} {
		if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
			return nil, errors.Wrap(err, "send hello")
		}
	}
	if err := readProof(ctx, conn, proof(secret, roleDialer, theirs, mine)); err != nil {
		return nil, err
	}
	return newSession(conn, remote, own.idleMilliseconds, remote.instance.ID), nil
}

// hello returns what this instance says of itself.
func (l *Links) hello() hello {
	return hello{
		instance:         l.options.Self,
		life:             l.options.Incarnation,
		idleMilliseconds: l.idle().Milliseconds(),
		limit:            l.options.MaxFrameBytes,
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

func readProof(ctx context.Context, conn *websocket.Conn, want []byte) error {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read proof")
	}
	if !hmac.Equal(data, want) {
		return errors.New("proof: the other side has another key")
	}
	return nil
}

func newSession(conn *websocket.Conn, remote hello, idleMilliseconds int64, dialer model.InstanceID) *session {
	return &session{
		conn:             conn,
		remote:           remote,
		dialer:           dialer,
		openedAt:         time.Now(),
		idleMilliseconds: idleMilliseconds,
		done:             make(chan struct{}),
	}
}
