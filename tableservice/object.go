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
	// objectBreakerTimeout limits how long an object call waits for the circuit
	// breaker.
	objectBreakerTimeout = 2 * time.Second
	// maxCachedLocations limits the location cache. An entry takes about 150 bytes,
	// so the cache takes at most 5 MB.
	maxCachedLocations = 1 << 15
)

// ErrObjectNotFound means that the object store has no object with a digest.
var ErrObjectNotFound = errors.New("the object store has no such object")

// locationCache maps the digests of bytes to their locations in the object store, so
// that a compaction does not store an answer again. It evicts the oldest entry first.
type locationCache struct {
	mu             sync.Mutex
	byDigest       map[model.Digest]location
	insertionOrder []model.Digest
}

func (c *locationCache) get(d model.Digest) (location, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.byDigest[d]
	return l, ok
}

func (c *locationCache) add(d model.Digest, l location) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byDigest == nil {
		c.byDigest = make(map[model.Digest]location)
	}
	if _, ok := c.byDigest[d]; ok {
		return
	}
	if len(c.insertionOrder) == maxCachedLocations {
		delete(c.byDigest, c.insertionOrder[0])
		c.insertionOrder = c.insertionOrder[1:]
	}
	c.byDigest[d] = l
	c.insertionOrder = append(c.insertionOrder, d)
}

// StoreBody stores data in the object store under its digest. It is idempotent.
func (c *Client) StoreBody(ctx context.Context, data []byte) (model.Digest, error) {
	digest := model.DigestOf(data)
	if l, ok := c.locations.get(digest); ok && l.object == digest {
		return digest, nil
	}
	if err := c.putLimiter.wait(ctx); err != nil {
		return digest, err
	}
	request := &platformv1.PutRequest{Name: ObjectName(digest), Data: data}
	if _, err := invoke(ctx, c, writeCall, objectBreakerTimeout, c.objects.Put, request); err != nil {
		return digest, errors.Wrapf(err, "store an object of %d bytes", len(data))
	}
	c.locations.add(digest, location{object: digest, length: int64(len(data))})
	return digest, nil
}

// FetchBody returns the object that has a digest. The error is ErrObjectNotFound if
// the store has none.
func (c *Client) FetchBody(ctx context.Context, digest model.Digest) ([]byte, error) {
	if err := c.getLimiter.wait(ctx); err != nil {
		return nil, err
	}
	name := ObjectName(digest)
	response, err := invoke(ctx, c, readCall, objectBreakerTimeout, c.objects.Get, &platformv1.GetRequest{Name: name})
	if connect.CodeOf(err) == connect.CodeNotFound {
		return nil, errors.Wrapf(ErrObjectNotFound, "object %q", name)
	}
	if err != nil {
		return nil, errors.Wrapf(err, "fetch object %q", name)
	}
	if model.DigestOf(response.Data) != digest {
		return nil, errors.Errorf("object %q does not match its digest", name)
	}
	c.locations.add(digest, location{object: digest, length: int64(len(response.Data))})
	return response.Data, nil
}

// ObjectName returns the name of the object with a digest. Workers read the stored
// body of a request under this name.
func ObjectName(digest model.Digest) string {
	return "sha256/" + hex.EncodeToString(digest[:])
}
