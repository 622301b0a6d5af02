package tableservice

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// packLimit is the size in bytes above which an object takes no more answers.
const packLimit = 1 << 20

// location says where bytes are in the object store.
type location struct {
	object model.Digest
	offset int64
	length int64
}

// storeLong stores the long bytes of records and returns where they are. Those
// that are not in the store yet are joined into few objects: one object for
// each would make a batch of long answers cost as many writes as requests.
func (c *Client) storeLong(ctx context.Context, records []requestjournal.Record) (map[model.Digest]location, error) {
	var (
		at     = make(map[model.Digest]location)
		pack   []byte
		packed []model.Digest
	)
	flush := func() error {
		if len(packed) == 0 {
			return nil
		}
		object, err := c.StoreBody(ctx, pack)
		if err != nil {
			return errors.Wrap(err, "store long answers")
		}
		for _, digest := range packed {
			l := at[digest]
			l.object = object
			at[digest] = l
			c.known.add(digest, l)
		}
		pack, packed = nil, nil
		return nil
	}
	collect := func(data []byte) error {
		if len(data) <= externalLimit {
			return nil
		}
		digest := model.DigestOf(data)
		if _, ok := at[digest]; ok {
			return nil
		}
		if l, ok := c.known.get(digest); ok {
			at[digest] = l
			return nil
		}
		if len(pack) > 0 && len(pack)+len(data) > packLimit {
			if err := flush(); err != nil {
				return err
			}
		}
		at[digest] = location{offset: int64(len(pack)), length: int64(len(data))}
		pack = append(pack, data...)
		packed = append(packed, digest)
		return nil
	}
	for i := range records {
		for _, data := range longBytes(&records[i]) {
			if err := collect(data); err != nil {
				return nil, err
			}
		}
	}
	return at, flush()
}

// longBytes returns the bytes of a record that may be long.
func longBytes(r *requestjournal.Record) [][]byte {
	var all [][]byte
	if r.Request != nil {
		all = append(all, r.Request.Body)
	}
	if r.Result != nil {
		all = append(all, r.Result.Answer)
	}
	if r.Outcome != nil {
		all = append(all, r.Outcome.Answer)
	}
	return all
}

// unpacker fetches long bytes and keeps the objects of one load.
type unpacker struct {
	client  *Client
	objects map[model.Digest][]byte
}

// fetch returns a copy of the bytes at a location, so that one live answer does
// not keep a whole object in memory. Bytes that the store has lost are left out,
// so that they do not keep the rest of the partition from loading; their outcome
// is then no longer whole.
func (u *unpacker) fetch(ctx context.Context, l location) ([]byte, error) {
	object, ok := u.objects[l.object]
	if !ok {
		var err error
		object, err = u.client.FetchBody(ctx, l.object)
		switch {
		case errors.Is(err, ErrNoObject):
			logevent.AnswersLost.Log(u.client.log, zap.Error(err))
		case err != nil:
			return nil, err
		}
		u.objects[l.object] = object
	}
	if l.offset < 0 || l.length < 0 || l.offset+l.length > int64(len(object)) {
		return nil, nil
	}
	data := append([]byte{}, object[l.offset:l.offset+l.length]...)
	u.client.known.add(model.DigestOf(data), l)
	return data, nil
}
