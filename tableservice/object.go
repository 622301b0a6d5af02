package tableservice

import (
	"context"
	"encoding/hex"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
)

const (
	// objectPatience bounds the wait of an object call at the gate.
	objectPatience = 2 * time.Second
	// knownLimit bounds the remembered locations. An entry takes about 150 bytes,
	// so they take at most 5 MB.
	knownLimit = 1 << 15
)

// ErrNoObject means that the object store has no object of a digest.
var ErrNoObject = errors.New("the object store has no such object")

// knownObjects remembers where bytes are in the store by their digest, so that a
// compaction stores no answer a second time. The oldest are forgotten first.
type knownObjects struct {
	mu    sync.Mutex
	at    map[model.Digest]location
	order []model.Digest
}

func (k *knownObjects) get(d model.Digest) (location, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, ok := k.at[d]
	return l, ok
}

func (k *knownObjects) add(d model.Digest, l location) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.at == nil {
		k.at = make(map[model.Digest]location)
	}
	if _, ok := k.at[d]; ok {
		return
	}
	if len(k.order) == knownLimit {
		delete(k.at, k.order[0])
		k.order = k.order[1:]
	}
	k.at[d] = l
	k.order = append(k.order, d)
}

// StoreBody stores data under its digest. Storing the same data again is
// harmless.
func (c *Client) StoreBody(ctx context.Context, data []byte) (model.Digest, error) {
	digest := model.DigestOf(data)
	if l, ok := c.known.get(digest); ok && l.object == digest {
		return digest, nil
	}
	if err := c.puts.wait(ctx); err != nil {
		return digest, err
	}
	request := &platformv1.PutRequest{Name: ObjectName(digest), Data: data}
	if _, err := invoke(ctx, c, writeCall, objectPatience, c.objects.Put, request); err != nil {
		return digest, errors.Wrapf(err, "store an object of %d bytes", len(data))
	}
	c.known.add(digest, location{object: digest, length: int64(len(data))})
	return digest, nil
}

// FetchBody returns the data that has a digest. The error is ErrNoObject when
// the store has none.
func (c *Client) FetchBody(ctx context.Context, digest model.Digest) ([]byte, error) {
	if err := c.gets.wait(ctx); err != nil {
		return nil, err
	}
	name := ObjectName(digest)
	response, err := invoke(ctx, c, readCall, objectPatience, c.objects.Get, &platformv1.GetRequest{Name: name})
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, errors.Wrapf(ErrNoObject, "object %q", name)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "fetch object %q", name)
	}
	if model.DigestOf(response.Data) != digest {
		return nil, errors.Errorf("object %q does not match its digest", name)
	}
	c.known.add(digest, location{object: digest, length: int64(len(response.Data))})
	return response.Data, nil
}

// ObjectName returns the name under which bytes with a digest are stored. A
// worker reads the stored body of a request under it.
func ObjectName(digest model.Digest) string {
	return "sha256/" + hex.EncodeToString(digest[:])
}
